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
                          const std::vector<TeamSpec> & /*teams*/, TimePoint /*now*/)
{
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
        || m_queuedBytes + bytes > m_options.maxQueuedBytes.value()) {
        return NotRun{RefusalReason::QueueFull, refusalRetryAfter};
    }
    return std::nullopt;
}

void Scheduler::enqueue(JobHandle job, const JobSpec &spec, TimePoint now)
{
    for (std::uint32_t n = 0; n < spec.tasks.size(); ++n) {
        const TaskSpec &task = spec.tasks[n];
        const TaskRef ref{job, TaskIndex{n}};
        const TimePoint deadline = now + spec.deadline;
        m_queue.emplace(std::pair{deadline, ref}, QueuedTask{ref, task.needs, task.estimate,
                                                             deadline, now, task.payload.size()});
        m_queuedBytes += task.payload.size();
    }
}

void Scheduler::withdraw(JobHandle job)
{
    for (auto it = m_queue.begin(); it != m_queue.end();) {
        if (it->second.task.job == job) {
            m_queuedBytes -= it->second.payloadBytes;
            it = m_queue.erase(it);
        } else {
            ++it;
        }
    }
}

void Scheduler::dispatch(TimePoint now, std::vector<PlacedTask> &placed)
{
    for (auto it = m_queue.begin(); it != m_queue.end();) {
        Upstream *upstream = it->second.notBefore <= now ? choose(it->second) : nullptr;
        if (upstream == nullptr) {
            ++it;
            continue;
        }
        ++upstream->running;
        ++m_running;
        m_retryTokens = std::min(maxRetryTokens, m_retryTokens + m_options.retryBudgetShare);
        placed.push_back({it->second.task, upstream->spec.id, "least-outstanding"});
        m_queuedBytes -= it->second.payloadBytes;
        it = m_queue.erase(it);
    }
}

void Scheduler::attemptEnded(const TaskRef & /*task*/, const UpstreamId &upstream,
                             const AttemptResult & /*result*/, Duration /*elapsed*/,
                             TimePoint /*now*/, Actions & /*actions*/)
{
    const auto it = m_upstreams.find(upstream);
    assert(it != m_upstreams.end() && it->second.running > 0);
    --it->second.running;
    --m_running;
    if (!it->second.configured && it->second.running == 0) {
        m_upstreams.erase(it);
    }
}

RetryVerdict Scheduler::requeue(const TaskRef &task, const TaskSpec &spec, const TeamId & /*team*/,
                                TimePoint deadline, TimePoint now)
{
    if (m_retryTokens < 1.0) {
        return RetryVerdict::BudgetEmpty;
    }
    m_retryTokens -= 1.0;
    std::uniform_int_distribution<Duration::rep> jitter(m_options.retryBackoff.count() / 2,
                                                        m_options.retryBackoff.count());
    m_queue.emplace(std::pair{deadline, task},
                    QueuedTask{task, spec.needs, spec.estimate, deadline,
                               now + Duration{jitter(m_random)}, spec.payload.size()});
    m_queuedBytes += spec.payload.size();
    return RetryVerdict::Requeued;
}

std::optional<TimePoint> Scheduler::nextTimer() const
{
    std::optional<TimePoint> next;
    for (const auto &[key, task] : m_queue) {
        if (!next || task.notBefore < *next) {
            next = task.notBefore;
        }
    }
    return next;
}

std::size_t Scheduler::queuedTasks() const
{
    return m_queue.size();
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
