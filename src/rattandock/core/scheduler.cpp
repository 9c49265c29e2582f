#include "rattandock/core/scheduler.hpp"

#include <algorithm>
#include <array>
#include <cassert>

namespace rattandock::core {

namespace {

/// A job is urgent during this last share of its deadline: it is then dispatched regardless of the
/// virtual times of the teams, whose shares admission control enforces. Without this rule, 48 to
/// 149 of about 2,300 admitted jobs missed their deadline at twice the capacity.
constexpr double urgentDeadlineShare = 0.5;
/// Weight of a completed task in the moving average that estimates tasks without an estimate.
constexpr double typicalEstimateSmoothing = 0.02;
/// Mean share of their expected run time that running tasks still need. It is more than half,
/// because a long task is more likely to be running at a given moment than a short one.
constexpr double remainingRunTimeShare = 0.6;
/// An aborted attempt that ran this many times longer than expected counts as a failure of its
/// upstream. A hanging upstream returns no result, so no other event would reveal the fault.
constexpr double hangingFactor = 8.0;
/// Retry-after time of jobs that are refused because no upstream is available.
constexpr Duration noUpstreamsRetryAfter = std::chrono::milliseconds{1000};

Duration scaled(Duration time, double factor)
{
    return Duration{static_cast<Duration::rep>(static_cast<double>(time.count()) * factor)};
}

/// Returns whether the result counts against the upstream. Results caused by limits of the local
/// connection pool do not.
bool isUpstreamFault(const AttemptResult &result)
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
    , m_retryBudget(options.retryBudgetShare, options.retryBackoff, seed + 1)
{
}

void Scheduler::configure(const std::vector<UpstreamSpec> &upstreams,
                          const std::vector<TeamSpec> &teams, TimePoint /*now*/)
{
    m_shares.configure(teams);
    m_upstreams.configure(upstreams);
    m_queue.updateFits([this](QueuedTask &it) { it.fit = m_upstreams.fitMaskFor(it.needs); });
}

void Scheduler::setUpstreamLife(const UpstreamId &upstream, UpstreamLife life, TimePoint /*now*/,
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
        const Duration estimate = effectiveEstimate(it.estimate);
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
    record.urgentFrom = deadline - scaled(spec.deadline, urgentDeadlineShare);
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
        eraseIfDone(job);
    }
}

std::vector<JobHandle> Scheduler::unplaceableJobs() const
{
    return m_queue.jobsWithFit(
            [this](FitMask fit) { return !m_upstreams.canRunIncludingEjected(fit); });
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
    m_expectedRunTimes -= running.lease.expectedEnd - running.lease.started;
    --job.racks[running.rack];
    m_shares.recordEnd(job.team, running.lease.expectedEnd - running.lease.started, elapsed);
    recordResult(running, task.job, job.withdrawn, result, elapsed, now, actions);
    m_upstreams.end(running.lease);
    // The dispatcher calls requeue() for a task that was not started, which needs the number of
    // re-sends stored in the job.
    if (job.withdrawn || !std::holds_alternative<AttemptNotStarted>(result)) {
        eraseIfDone(task.job);
    }
}

void Scheduler::recordResult(const RunningTask &running, JobHandle job, bool withdrawn,
                             const AttemptResult &result, Duration elapsed, TimePoint now,
                             Actions &actions)
{
    const UpstreamIndex upstream = running.lease.upstream;
    auto change = UpstreamHealth::Change::None;
    if (std::holds_alternative<AttemptCompleted>(result)) {
        change = m_upstreams.succeeded(upstream, job);
        m_admission.observeRunTime(running.lease.expectedEnd - running.lease.started, elapsed);
        if (running.estimateKnown) {
            m_upstreams.recordRunTime(upstream, running.estimate, elapsed);
        }
        const Duration atSpeedOne = scaled(elapsed, 1.0 / m_upstreams.cost(upstream));
        m_typicalEstimate += scaled(atSpeedOne - m_typicalEstimate, typicalEstimateSmoothing);
    } else if (isUpstreamFault(result)
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

RequeueResult Scheduler::requeue(const TaskRef &task, const TaskSpec &spec, const TeamId &team,
                                 TimePoint deadline, TimePoint now)
{
    if (!m_retryBudget.tryAcquire()) {
        eraseIfDone(task.job);
        return RequeueResult::BudgetEmpty;
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
    m_queue.addDelayed(task.job, job.team, deadline, queued,
                       now + m_retryBudget.backoff(it->second++));
    m_admission.add(job.team, deadline, queued.estimate, now);
    return RequeueResult::Requeued;
}

std::optional<TimePoint> Scheduler::nextTimer() const
{
    if (m_queue.size() == 0) {
        return std::nullopt;
    }
    std::optional<TimePoint> next;
    for (const auto &time :
         std::array{m_queue.nextRelease(), m_upstreams.nextRelease(), m_recheckAt}) {
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
            effectiveEstimate(spec.estimate),
            static_cast<std::uint32_t>(spec.payload.size()),
            m_upstreams.fitMaskFor(spec.needs),
            spec.estimate > Duration{}};
}

Duration Scheduler::effectiveEstimate(Duration estimate) const
{
    return estimate > Duration{} ? estimate : std::max(m_typicalEstimate, Duration{1});
}

Admission::Capacity Scheduler::capacity() const
{
    return {m_upstreams.usableSlots(), m_upstreams.meanCost(), m_upstreams.fastestCost(),
            scaled(m_expectedRunTimes, remainingRunTimeShare)};
}

void Scheduler::eraseIfDone(JobHandle job)
{
    const auto it = m_jobs.find(job);
    if (it != m_jobs.end() && it->second.running.empty() && m_queue.remaining(job) == 0) {
        m_jobs.erase(it);
    }
}

} // namespace rattandock::core
