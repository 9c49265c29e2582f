// Executes the commands of a schedule.
#include "contract_world_test.hpp"

namespace rattandock::core::test {

using namespace std::chrono_literals;

void ContractWorld::execute(const Step &step)
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
            scheduleAfter(delay(0, 400),
                          [this, number = process.number, id] { post(number, JobCancelled{id}); });
        }
        return;
    case StepKind::CallerLeaves:
        if (!m_deliveredRequests.empty()) {
            const auto [number, request] =
                    m_deliveredRequests[step.choice % m_deliveredRequests.size()];
            count("callers that left");
            m_checker.waiveAnswer(request);
            post(number, CallerDisconnected{request});
        }
        return;
    case StepKind::PassTime:
        return passTime(std::chrono::milliseconds{step.choice % 2000});
    case StepKind::PassLongTime:
        // One in four choices allows a time span longer than a lease plus a quarantine.
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
        terminate(process);
        return startProcess(slot);
    case StepKind::Pause:
        if (process.alive && !process.paused) {
            count("pauses");
            process.paused = true;
        }
        return;
    case StepKind::ReplacePaused:
        if (process.paused) {
            count("replaced while paused");
            return startProcess(slot);
        }
        return;
    case StepKind::Resume:
        for (std::size_t n = 0; n < m_processes.size(); ++n) {
            if (m_processes[n]->alive && m_processes[n]->paused) {
                return resume(*m_processes[n]);
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
            m_platformUnreachable.fill(true);
        }
        m_platformUnreachable[slot] = true;
        return;
    case StepKind::PlatformUp:
        m_platformUnreachable.fill(false);
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
    case StepKind::ClearFaults:
        m_platformUnreachable.fill(false);
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
        // No upstream has enough cores. Delayed copies must not run after the refusal.
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
        // A duplicate can arrive at any VM and with a delay.
        const std::size_t to = n == 0 ? slot : m_random() % vmCount;
        const bool late = chance(15);
        if (late) {
            count("caller requests delayed");
        }
        scheduleAfter(late ? delay(500, 8000) : delay(0, 20),
                      [this, job, to] { receive(at(to).number, job); });
    }
}

void ContractWorld::receive(int number, const Job &job)
{
    Process &process = *m_processes[static_cast<std::size_t>(number)];
    const Duration sinceFirst = m_now - job.firstSent;
    // A caller that uses the key form stops resubmitting when the key validity of 15 s has passed
    // (docs/design.md, section 4.2, assumptions). Requests may arrive up to 3 s later; the
    // remaining 9 s of the travel time allow for two undetected pauses and a delayed message.
    if (!process.alive || (job.keyForm && sinceFirst > 15s + 3s)) {
        return;
    }
    const CallerRequestId request{m_nextRequest++};
    m_checker.requestDelivered(request, job.spec, number);
    m_deliveredRequests.emplace_back(number, request);
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
    // Each end detects the change after its own delay and reads the link state at that time.
    for (const auto &[end, peer] : {std::pair{a, b}, std::pair{b, a}}) {
        scheduleAfter(delay(0, 200), [this, end = end, peer = peer] {
            post(at(end).number, PeerLinkChanged{vmName(peer), !m_cut[end][peer]});
        });
    }
}

} // namespace rattandock::core::test
