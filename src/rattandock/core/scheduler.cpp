#include "rattandock/core/scheduler.hpp"

#include <algorithm>
#include <cassert>

namespace rattandock::core {

namespace {

bool fits(const Resources &needs, const Resources &capacity)
{
    return needs.cores <= capacity.cores && needs.memory <= capacity.memory
           && needs.accelerators <= capacity.accelerators;
}

/// Time to come back after a refusal for lack of room.
constexpr Duration refusalRetryAfter = std::chrono::milliseconds{200};
constexpr double maxRetryTokens = 100.0;

} // namespace

Scheduler::Scheduler(const DispatcherOptions &options, std::uint64_t seed)
    : m_options(options)
    , m_random(seed)
{
}

void Scheduler::configure(const std::vector<UpstreamSpec> &upstreams,
                          const std::vector<TeamSpec> &teams, TimePoint /*now*/)
{
    m_shares.configure(teams);
    for (auto &[id, upstream] : m_upstreams) {
        upstream.configured = false;
    }
    for (const UpstreamSpec &it : upstreams) {
        Upstream &upstream = m_upstreams[it.id];
        upstream.spec = it;
        upstream.configured = true;
    }
    std::erase_if(m_upstreams, [](const auto &entry) {
        return !entry.second.configured && entry.second.running == 0;
    });
}

void Scheduler::seeUpstream(const UpstreamId &upstream, UpstreamLife life, TimePoint /*now*/,
                            Actions &actions)
{
    const auto it = m_upstreams.find(upstream);
    if (it == m_upstreams.end() || it->second.life == life) {
        return;
    }
    it->second.life = life;
    if (life == UpstreamLife::Leaving) {
        actions.emplace_back(Note{NoteKind::UpstreamLeaving, "leaving", {}, upstream.value()});
    }
}

std::optional<NotRun> Scheduler::refusalFor(const JobSpec &job, TimePoint /*now*/) const
{
    if (m_upstreams.empty()) {
        return NotRun{RefusalReason::NoUpstreams, refusalRetryAfter};
    }
    const auto fitsSomewhere = [this](const TaskSpec &task) {
        return std::ranges::any_of(m_upstreams, [&task](const auto &entry) {
            return entry.second.configured && fits(task.needs, entry.second.spec.capacity);
        });
    };
    if (!std::ranges::all_of(job.tasks, fitsSomewhere)) {
        return NotRun{RefusalReason::NoUpstreamFits, std::nullopt};
    }
    std::uint64_t bytes = 0;
    for (const TaskSpec &it : job.tasks) {
        bytes += it.payload.size();
        if (it.estimate > job.deadline) {
            return NotRun{RefusalReason::DeadlineTooShort, std::nullopt};
        }
    }
    if (m_queue.size() + job.tasks.size() > m_options.maxQueuedTasks
        || m_queue.bytes() + bytes > m_options.maxQueuedBytes.value()) {
        return NotRun{RefusalReason::QueueFull, refusalRetryAfter};
    }
    return std::nullopt;
}

void Scheduler::enqueue(JobHandle job, const JobSpec &spec, TimePoint now)
{
    const TeamIndex team = m_shares.indexOf(spec.team);
    std::vector<QueuedTask> tasks;
    tasks.reserve(spec.tasks.size());
    for (std::uint32_t n = 0; n < spec.tasks.size(); ++n) {
        const TaskSpec &it = spec.tasks[n];
        tasks.push_back({TaskIndex{n}, it.needs, it.estimate,
                         static_cast<std::uint32_t>(it.payload.size()), 1});
    }
    m_queue.add(job, team, now + spec.deadline, tasks);
    m_shares.setWaiting(team, m_queue.hasReady(team));
}

void Scheduler::withdraw(JobHandle job)
{
    if (const auto withdrawn = m_queue.withdraw(job)) {
        m_shares.setWaiting(withdrawn->team, m_queue.hasReady(withdrawn->team));
    }
}

void Scheduler::dispatch(TimePoint now, std::vector<PlacedTask> &placed)
{
    std::vector<TeamIndex> released;
    m_queue.release(now, released);
    for (const TeamIndex it : released) {
        m_shares.setWaiting(it, true);
    }
    while (startNext(now, placed)) { }
}

bool Scheduler::startNext(TimePoint /*now*/, std::vector<PlacedTask> &placed)
{
    const auto start = [&](const auto &entry) { return startFromTeam(entry.second, placed); };
    return std::ranges::any_of(m_shares.belowQuota(), start)
           || std::ranges::any_of(m_shares.atQuota(), start);
}

bool Scheduler::startFromTeam(TeamIndex team, std::vector<PlacedTask> &placed)
{
    for (const auto &[fit, jobs] : m_queue.lanes(team)) {
        for (const JobOrderKey &key : jobs) {
            Upstream *upstream = choose(m_queue.longest(key.job, fit));
            if (upstream == nullptr) {
                continue;
            }
            const JobHandle job = key.job;
            const QueuedTask task = m_queue.takeLongest(job, fit);
            ++upstream->running;
            ++m_running;
            m_runningTasks[{job, task.task}] = {team, task.estimate};
            m_shares.setWaiting(team, m_queue.hasReady(team));
            m_shares.started(team, task.estimate);
            m_retryTokens = std::min(maxRetryTokens, m_retryTokens + m_options.retryBudgetShare);
            placed.push_back({{job, task.task}, upstream->spec.id, "least-outstanding"});
            return true;
        }
    }
    return false;
}

void Scheduler::attemptEnded(const TaskRef &task, const UpstreamId &upstream,
                             const AttemptResult & /*result*/, Duration elapsed, TimePoint /*now*/,
                             Actions & /*actions*/)
{
    const auto it = m_upstreams.find(upstream);
    assert(it != m_upstreams.end() && it->second.running > 0);
    --it->second.running;
    --m_running;
    if (!it->second.configured && it->second.running == 0) {
        m_upstreams.erase(it);
    }
    const auto running = m_runningTasks.find(task);
    assert(running != m_runningTasks.end());
    m_shares.ended(running->second.team, running->second.expected, elapsed);
    m_runningTasks.erase(running);
}

RetryVerdict Scheduler::requeue(const TaskRef &task, const TaskSpec &spec, const TeamId &team,
                                TimePoint deadline, TimePoint now)
{
    if (m_retryTokens < 1.0) {
        return RetryVerdict::BudgetEmpty;
    }
    m_retryTokens -= 1.0;
    std::uniform_int_distribution<Duration::rep> jitter(m_options.retryBackoff.count() / 2,
                                                        m_options.retryBackoff.count());
    m_queue.addDelayed(task.job, m_shares.indexOf(team), deadline,
                       {task.task, spec.needs, spec.estimate,
                        static_cast<std::uint32_t>(spec.payload.size()), 1},
                       now + Duration{jitter(m_random)});
    return RetryVerdict::Requeued;
}

Scheduler::Upstream *Scheduler::choose(const QueuedTask &task)
{
    Upstream *best = nullptr;
    for (auto &[id, it] : m_upstreams) {
        const bool usable = it.configured && it.life == UpstreamLife::Live
                            && it.running < it.spec.slots.value()
                            && fits(task.needs, it.spec.capacity);
        if (usable && (best == nullptr || it.running < best->running)) {
            best = &it;
        }
    }
    return best;
}

} // namespace rattandock::core
