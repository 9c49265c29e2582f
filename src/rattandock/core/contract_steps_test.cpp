// The commands of a schedule.
#include "contract_world_test.hpp"

namespace rattandock::core::test {

using namespace std::chrono_literals;

void ContractWorld::take(const Step &step)
{
    const std::size_t slot = step.vm % vmCount;
    Process &process = at(slot);
    switch (step.kind) {
    case StepKind::Submit:
        return submitNew(step);
    case StepKind::Resubmit:
        if (!m_jobs.empty()) {
            // Prefers recent jobs, which are more likely to be running.
            const std::size_t back = step.choice % std::min<std::size_t>(m_jobs.size(), 6);
            sendCopy(m_jobs[m_jobs.size() - 1 - back], slot);
        }
        return;
    case StepKind::ReuseId:
        if (!m_jobs.empty()) {
            Job other = m_jobs[step.choice % m_jobs.size()];
            for (TaskSpec &it : other.spec.tasks) {
                it.payload += "-other";
            }
            count("reused ids");
            sendCopy(other, slot);
        }
        return;
    case StepKind::Cancel:
        if (!m_jobs.empty()) {
            count("cancels");
            const JobId id = m_jobs[m_jobs.size() - 1 - step.choice % m_jobs.size()].spec.id;
            later(delay(0, 400),
                  [this, number = process.number, id] { post(number, JobCancelled{id}); });
        }
        return;
    case StepKind::CallerLeaves:
        if (!m_asked.empty()) {
            const auto [number, request] = m_asked[step.choice % m_asked.size()];
            count("callers that left");
            m_checker.excuse(request);
            post(number, CallerDisconnected{request});
        }
        return;
    case StepKind::PassTime:
        return passTime(std::chrono::milliseconds{step.choice % 2000});
    case StepKind::PassLongTime:
        // Every fourth one may outlast a lease and a quarantine.
        return passTime(
                std::chrono::milliseconds{step.choice % (step.choice % 4 == 0 ? 45'000 : 16'000)});
    case StepKind::CutLink:
        return cutLink(slot, (slot + 1) % vmCount, true);
    case StepKind::RestoreLinks:
        for (std::size_t n = 0; n < vmCount; ++n) {
            cutLink(n, (n + 1) % vmCount, false);
        }
        return;
    case StepKind::Crash:
        count("crashes");
        end(process);
        return boot(slot);
    case StepKind::Pause:
        if (process.alive && !process.paused) {
            count("pauses");
            process.paused = true;
        }
        return;
    case StepKind::ReplacePaused:
        if (process.paused) {
            count("replaced while paused");
            return boot(slot);
        }
        return;
    case StepKind::Wake:
        for (std::size_t n = 0; n < m_processes.size(); ++n) {
            if (m_processes[n]->alive && m_processes[n]->paused) {
                return wake(*m_processes[n]);
            }
        }
        return;
    case StepKind::PlannedStop:
        if (process.alive && !process.draining) {
            count("planned stops");
            process.draining = true;
            handle(process, DrainRequested{});
        }
        return;
    case StepKind::PlatformDown:
        count("platform outages");
        if (step.choice % 2 == 0) {
            m_platformCut.fill(true);
        }
        m_platformCut[slot] = true;
        return;
    case StepKind::PlatformUp:
        m_platformCut.fill(false);
        return;
    case StepKind::LoseMessages:
        m_messageLoss = 30;
        return;
    case StepKind::LoseReplies:
        m_replyLoss = 40;
        return;
    case StepKind::UpstreamFaults:
        m_upstreamFaults = 40;
        return;
    case StepKind::Calm:
        m_platformCut.fill(false);
        m_messageLoss = 0;
        m_replyLoss = 0;
        m_upstreamFaults = 0;
        return;
    }
}

void ContractWorld::submitNew(const Step &step)
{
    Job job;
    job.keyForm = step.choice % 3 == 0;
    const std::string key = std::to_string(m_jobs.size()) + "-key";
    job.spec.id = JobId{key};
    if (!job.keyForm) {
        const Process &home = at(step.choice / 3 % vmCount);
        if (!home.alive || home.paused || !home.core->issuesTokens()) {
            return;
        }
        job.spec.id = JobId{format(home.core->issueToken(localTime(home))) + '/' + key};
    }
    job.firstSent = m_now;
    job.spec.deadline = delay(1000, 5000);
    job.spec.tasks.resize(1 + step.choice / 16 % 4, TaskSpec{key + "-payload", 100ms, {}});
    if (step.choice % 17 == 0) {
        // No upstream fits: the refusal must hold for delayed copies.
        job.spec.tasks.back().needs.cores = Cores{1000};
    }
    m_jobs.push_back(job);
    sendCopy(job, step.vm % vmCount);
}

void ContractWorld::sendCopy(const Job &job, std::size_t slot)
{
    count("submissions");
    if (chance(10)) {
        return count("caller requests lost");
    }
    const int copies = chance(15) ? 2 : 1;
    if (copies == 2) {
        count("caller requests duplicated");
    }
    for (int n = 0; n < copies; ++n) {
        // A duplicate may reach any VM, and late.
        const std::size_t to = n == 0 ? slot : m_random() % vmCount;
        const bool late = chance(15);
        if (late) {
            count("caller requests delayed");
        }
        later(late ? delay(500, 8000) : delay(0, 20),
              [this, job, to] { receive(at(to).number, job); });
    }
}

void ContractWorld::receive(int number, const Job &job)
{
    Process &process = *m_processes[static_cast<std::size_t>(number)];
    const Duration sinceFirst = m_now - job.firstSent;
    // A key-form caller stops resubmitting after the key validity (section 4.2, assumptions).
    // The other 9 s of the travel time are for two pauses that go unnoticed and a late message.
    if (!process.alive || (job.keyForm && sinceFirst > 15s + 3s)) {
        return;
    }
    const CallerRequestId request{m_nextRequest++};
    m_checker.asked(request, job.spec, number);
    m_asked.emplace_back(number, request);
    handle(process, JobSubmitted{request, job.spec});
}

void ContractWorld::cutLink(std::size_t a, std::size_t b, bool cut)
{
    if (m_cut[a][b] == cut) {
        return;
    }
    m_cut[a][b] = cut;
    m_cut[b][a] = cut;
    if (cut) {
        count("links cut");
    }
    // Both ends notice at different times, and see the state of then.
    for (const auto &[end, peer] : {std::pair{a, b}, std::pair{b, a}}) {
        later(delay(0, 200), [this, end = end, peer = peer] {
            post(at(end).number, PeerLinkChanged{vmName(peer), !m_cut[end][peer]});
        });
    }
}

} // namespace rattandock::core::test
