#include "rattandock/core/scheduler.hpp"

#include <algorithm>
#include <array>
#include <cassert>

namespace rattandock::core {

namespace {

/// A job goes before the virtual time of teams in this last part of its time. Shares are kept by
/// admission. Without it, 48 to 149 of about 2,300 admitted jobs ended late at twice the capacity.
constexpr double urgentPart = 0.5;
/// Weight of a completed task in the estimate of tasks that declare none.
constexpr double typicalEstimateWeight = 0.02;
/// Part of their expected time that running tasks need yet: half on average, and more since long
/// tasks are found running more often.
constexpr double runningPart = 0.6;
/// A stopped attempt that ran this many times longer than expected counts against its upstream:
/// the job was given up since the upstream hangs, and no other result will ever tell.
constexpr double hangingFactor = 8.0;
/// Time to come back when there is no upstream at all.
constexpr Duration noUpstreamsRetryAfter = std::chrono::milliseconds{1000};

Duration scaled(Duration time, double factor)
{
    return Duration{static_cast<Duration::rep>(static_cast<double>(time.count()) * factor)};
}

/// Whether the result tells of the upstream. The pool's own limits do not.
bool blamesUpstream(const AttemptResult &result)
{
    if (const auto *it = std::get_if<AttemptNotStarted>(&result)) {
        return it->reason == NotStartedReason::ConnectionRefused
               || it->reason == NotStartedReason::UpstreamRefused;
    }
    return std::holds_alternative<AttemptFailed>(result);
}

} // namespace

Scheduler::Scheduler(const DispatcherOptions &options, std::uint64_t seed)
    : m_options(options)
    , m_upstreams(options.zone)
    , m_placement(options.placement, seed)
    , m_admission({options.maxQueuedTasks, options.maxQueuedBytes.value()})
    , m_retries(options.retryBudgetShare, options.retryBackoff, seed + 1)
{
}

void Scheduler::configure(const std::vector<UpstreamSpec> &upstreams,
                          const std::vector<TeamSpec> &teams, TimePoint /*now*/)
{
    m_shares.configure(teams);
    m_upstreams.configure(upstreams);
    m_queue.refit([this](QueuedTask &it) { it.fit = m_upstreams.fitMaskFor(it.needs); });
}

void Scheduler::seeUpstream(const UpstreamId &upstream, UpstreamLife life, TimePoint /*now*/,
                            Actions &actions)
{
    const auto index = m_upstreams.find(upstream);
    if (index && m_upstreams.setLife(*index, life) && life == UpstreamLife::Leaving) {
        actions.emplace_back(Note{NoteKind::UpstreamLeaving, "leaving", {}, upstream.value()});
    }
}

std::optional<NotRun> Scheduler::refusalFor(const JobSpec &job, TimePoint now) const
{
    if (m_upstreams.empty()) {
        return NotRun{RefusalReason::NoUpstreams, noUpstreamsRetryAfter};
    }
    Admission::Request request;
    request.team = m_shares.find(job.team);
    request.deadline = job.deadline;
    request.tasks = job.tasks.size();
    bool runnable = true;
    for (const TaskSpec &it : job.tasks) {
        const FitMask fit = m_upstreams.fitMaskFor(it.needs);
        if (fit == 0) {
            return NotRun{RefusalReason::NoUpstreamFits, std::nullopt};
        }
        runnable = runnable && m_upstreams.canRun(fit);
        const Duration estimate = reckonedEstimate(it.estimate);
        request.bytes += it.payload.size();
        request.work += estimate;
        request.longest = std::max(request.longest, estimate);
    }
    if (!runnable) {
        return NotRun{RefusalReason::NoUpstreams, noUpstreamsRetryAfter};
    }
    return m_admission.refusalFor(request, {m_queue.size(), m_queue.bytes()}, capacity(), m_shares,
                                  now);
}

void Scheduler::enqueue(JobHandle job, const JobSpec &spec, TimePoint now)
{
    const TeamIndex team = m_shares.indexOf(spec.team);
    const TimePoint deadline = now + spec.deadline;
    std::vector<QueuedTask> tasks;
    tasks.reserve(spec.tasks.size());
    Duration work{};
    for (std::uint32_t n = 0; n < spec.tasks.size(); ++n) {
        tasks.push_back(queuedTask(n, spec.tasks[n]));
        work += tasks.back().estimate;
    }
    Job &record = m_jobs[job];
    record.team = team;
    record.deadline = deadline;
    record.urgentFrom = deadline - scaled(spec.deadline, urgentPart);
    m_queue.add(job, team, deadline, tasks);
    m_admission.add(team, deadline, work, now);
    m_shares.setWaiting(team, m_queue.hasReady(team));
}

void Scheduler::withdraw(JobHandle job)
{
    if (const auto withdrawn = m_queue.withdraw(job)) {
        m_admission.remove(withdrawn->team, withdrawn->deadline, withdrawn->work);
        m_shares.setWaiting(withdrawn->team, m_queue.hasReady(withdrawn->team));
    }
    if (const auto it = m_jobs.find(job); it != m_jobs.end()) {
        it->second.withdrawn = true;
        forgetIfDone(job);
    }
}

std::vector<JobHandle> Scheduler::strandedJobs() const
{
    return m_queue.jobsWithFit([this](FitMask fit) { return !m_upstreams.canRunIncludingEjected(fit); });
}

void Scheduler::attemptEnded(const TaskRef &task, const UpstreamId & /*upstream*/,
                             const AttemptResult &result, Duration elapsed, TimePoint now,
                             Actions &actions)
{
    Job &job = m_jobs.at(task.job);
    const auto it = std::ranges::find(job.running, task.task, &RunningTask::task);
    assert(it != job.running.end());
    const RunningTask running = *it;
    *it = job.running.back();
    job.running.pop_back();
    --m_running;
    m_expectedTimes -= running.lease.expectedEnd - running.lease.started;
    --job.racks[running.rack];
    m_shares.ended(job.team, running.lease.expectedEnd - running.lease.started, elapsed);
    judge(running, task.job, job.withdrawn, result, elapsed, now, actions);
    m_upstreams.end(running.lease);
    // A task that did not start follows in requeue(), which needs its number of re-sends.
    if (job.withdrawn || !std::holds_alternative<AttemptNotStarted>(result)) {
        forgetIfDone(task.job);
    }
}

void Scheduler::judge(const RunningTask &running, JobHandle job, bool withdrawn,
                      const AttemptResult &result, Duration elapsed, TimePoint now,
                      Actions &actions)
{
    const UpstreamIndex upstream = running.lease.upstream;
    auto change = UpstreamHealth::Change::None;
    if (std::holds_alternative<AttemptCompleted>(result)) {
        change = m_upstreams.succeeded(upstream, job);
        m_admission.observe(running.lease.expectedEnd - running.lease.started, elapsed);
        if (running.estimateKnown) {
            m_upstreams.recordRunTime(upstream, running.estimate, elapsed);
        }
        const Duration atSpeedOne = scaled(elapsed, 1.0 / m_upstreams.cost(upstream));
        m_typicalEstimate += scaled(atSpeedOne - m_typicalEstimate, typicalEstimateWeight);
    } else if (blamesUpstream(result)
               && (!withdrawn
                   || elapsed > scaled(running.lease.expectedEnd - running.lease.started,
                                       hangingFactor))) {
        change = m_upstreams.failed(upstream, job, now);
    } else {
        m_upstreams.recordInconclusive(upstream);
    }
    const std::string &id = m_upstreams.at(upstream).spec.id.value();
    if (change == UpstreamHealth::Change::Ejected) {
        actions.emplace_back(Note{NoteKind::UpstreamSetAside, "consecutive-failures", {}, id});
    } else if (change == UpstreamHealth::Change::Restored) {
        actions.emplace_back(Note{NoteKind::UpstreamRestored, "probe-completed", {}, id});
    }
}

RetryVerdict Scheduler::requeue(const TaskRef &task, const TaskSpec &spec, const TeamId &team,
                                TimePoint deadline, TimePoint now)
{
    if (!m_retries.spend()) {
        forgetIfDone(task.job);
        return RetryVerdict::BudgetEmpty;
    }
    Job &job = m_jobs[task.job];
    job.team = m_shares.indexOf(team);
    job.deadline = deadline;
    auto it = std::ranges::find(job.resends, task.task,
                                [](const auto &entry) { return entry.first; });
    if (it == job.resends.end()) {
        it = job.resends.insert(it, {task.task, 0});
    }
    const QueuedTask queued = queuedTask(task.task.value(), spec);
    m_queue.addDelayed(task.job, job.team, deadline, queued, now + m_retries.backoff(it->second++));
    m_admission.add(job.team, deadline, queued.estimate, now);
    return RetryVerdict::Requeued;
}

std::optional<TimePoint> Scheduler::nextTimer() const
{
    if (m_queue.size() == 0) {
        return std::nullopt;
    }
    std::optional<TimePoint> next;
    for (const auto &time :
         std::array{m_queue.nextRelease(), m_upstreams.nextRelease(), m_recheck}) {
        if (time && (!next || *time < *next)) {
            next = time;
        }
    }
    return next;
}

QueuedTask Scheduler::queuedTask(std::uint32_t index, const TaskSpec &spec) const
{
    return {TaskIndex{index},
            spec.needs,
            reckonedEstimate(spec.estimate),
            static_cast<std::uint32_t>(spec.payload.size()),
            m_upstreams.fitMaskFor(spec.needs),
            spec.estimate > Duration{}};
}

Duration Scheduler::reckonedEstimate(Duration estimate) const
{
    return estimate > Duration{} ? estimate : std::max(m_typicalEstimate, Duration{1});
}

Admission::Capacity Scheduler::capacity() const
{
    return {m_upstreams.usableSlots(), m_upstreams.meanCost(), m_upstreams.fastestCost(),
            scaled(m_expectedTimes, runningPart)};
}

void Scheduler::forgetIfDone(JobHandle job)
{
    const auto it = m_jobs.find(job);
    if (it != m_jobs.end() && it->second.running.empty() && m_queue.remaining(job) == 0) {
        m_jobs.erase(it);
    }
}

} // namespace rattandock::core
