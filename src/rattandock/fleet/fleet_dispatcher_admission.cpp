// Admission of new jobs of a FleetDispatcher, and the limits at which jobs are given up.
#include <algorithm>

#include "rattandock/fleet/fleet_dispatcher.hpp"
#include "rattandock/fleet/wait_limit.hpp"

namespace rattandock::fleet {

namespace {

/// Short, as the other VMs take over the work of a stopping VM at once.
constexpr Duration stoppingRetryAfter = std::chrono::milliseconds{500};
/// The next read of the list of upstreams may return some.
constexpr Duration noUpstreamsRetryAfter = std::chrono::seconds{1};
/// Long, as upstreams of another size are rarely added.
constexpr Duration nothingFitsRetryAfter = std::chrono::seconds{30};
constexpr Duration pausedRetryAfter = std::chrono::milliseconds{100};
/// Time after a pause of this process in which requests that were buffered in the sockets are
/// read. Their callers may have sent them to another VM meanwhile, so they are refused.
constexpr Duration pauseBacklogTime = std::chrono::milliseconds{100};
/// Time from the start of this VM until it has claimed upstreams and received their first reports.
constexpr Duration startupTime = std::chrono::milliseconds{1000};
/// A stopping VM accepts jobs on open connections until this long before its stop limit, so that
/// they can end in time.
constexpr Duration stoppingReserve = std::chrono::milliseconds{2000};

} // namespace

CoreWork FleetDispatcher::queuedWork(TimePoint before) const
{
    CoreWork sum = 0;
    for (const auto &[number, job] : m_jobs) {
        const Duration expected = expectedRun(job.spec);
        if (job.waiting > 0 && job.objective - expected < before) {
            sum += expectedWork(job.spec, job.waiting);
        }
    }
    return sum;
}

std::uint64_t FleetDispatcher::usableCpu(TimePoint now) const
{
    return m_sharedRoom.usableCpu() + ownUsableCpu(now);
}

std::uint64_t FleetDispatcher::ownUsableCpu(TimePoint now) const
{
    std::uint64_t sum = 0;
    for (const auto &[id, kept] : m_keptUpstreams) {
        sum += mayPlaceOn(kept, now) ? kept.ledger.entry().capacity.cpu.value() : 0;
    }
    return sum;
}

void FleetDispatcher::setStartLimits(Job &job, TimePoint now) const
{
    const TimePoint latestUseful = job.deadline - shortestRun(job.spec, runFactors());
    // Where priorities compete, a job waits for as long as it can be served, unless the order shows
    // that it is hopeless.
    job.firstStartLimit = m_queueProfiles.hasSeveralPriorities(job.spec.service, now)
                                  ? latestUseful
                                  : firstStartLimit(now, job.deadline);
}

std::optional<Duration> FleetDispatcher::refusalByOrder(const FleetJob &job, TimePoint now) const
{
    JobOrderView view{now, 0, 0, {}};
    const RunFactors factors = runFactors();
    for (const auto &[number, waiting] : m_jobs) {
        if (waiting.waiting > 0 && waiting.spec.service == job.service) {
            view.jobs.push_back(waitingJobOf(number, waiting, factors));
        }
    }
    const JobNumber number{m_nextJob};
    view.jobs.push_back(waitingJobOf(job, job.taskCount, job.taskCount, now + job.objective,
                                     now + job.deadline - m_options.answerMargin, factors));
    view.jobs.back().number = number;
    setRates(view, job.service, now);
    if (view.rate <= 0) {
        return std::nullopt;
    }
    const JobOrder order = orderWaitingJobs(view);
    const auto it = std::ranges::find(order.hopeless, number, &HopelessJob::number);
    if (it == order.hopeless.end()) {
        return std::nullopt;
    }
    return it->drainTime;
}

bool FleetDispatcher::hasRoomForJob(std::size_t tasks) const
{
    for (const auto &[number, job] : m_jobs) {
        tasks += job.tasks.size();
    }
    return m_jobs.size() < m_options.maxOpenJobs && tasks <= m_options.maxOpenTasks;
}

std::optional<JobTurnedAway> FleetDispatcher::checkAdmission(const FleetJob &job,
                                                             TimePoint now) const
{
    const auto refusal = [&](TurnAwayReason reason) {
        return JobTurnedAway{reason, retryAfterFor(reason, job.id)};
    };
    if (m_stopAt && now > *m_stopAt - stoppingReserve) {
        return refusal(TurnAwayReason::Stopping);
    }
    if (m_pausedAt && now - *m_pausedAt < pauseBacklogTime) {
        return refusal(TurnAwayReason::Paused);
    }
    if (!hasRoomForJob(job.taskCount)) {
        return refusal(TurnAwayReason::Overload);
    }
    bool isServed = false;
    bool fits = false;
    bool fitsInEvacuatedZone = false;
    for (const auto &[id, listed] : m_listedUpstreams) {
        if (fits) {
            break;
        }
        const bool serves = listed.entry.service == job.service;
        isServed = isServed || serves;
        const bool isFit =
                serves && listed.entry.capacity.covers(job.need) && hasLabel(listed.entry, job);
        const bool isEvacuated = m_evacuations.isEvacuated(listed.entry.zone);
        fits = isFit && !isEvacuated;
        fitsInEvacuatedZone = fitsInEvacuatedZone || (isFit && isEvacuated);
    }
    if (!isServed || (!fits && fitsInEvacuatedZone)) {
        return refusal(TurnAwayReason::NoUpstreams);
    }
    if (!fits) {
        return refusal(TurnAwayReason::NothingFits);
    }
    const Duration expected = expectedRun(job);
    AdmissionInputs view;
    view.usableCpu = usableCpu(now);
    // dispatch() found no use of the room that is free now for any waiting job.
    view.fitsNow = placesFor(job, job.deadline, now) >= job.taskCount;
    view.minRunTime = shortestRun(job, runFactors());
    view.isStarting = !isMembershipSettled(now) || now - *m_startedAt < startupTime;
    view.untilObjective = job.objective;
    view.untilDeadline = job.deadline - m_options.answerMargin;
    const CoreWork queued = queuedWork(TimePoint::max()) + m_sharedRoom.queuedWork();
    const bool usesOrder = queued > 0 && m_queueProfiles.hasSeveralPriorities(job.service, now);
    if (!usesOrder) {
        view.jobWork = expectedWork(job, job.taskCount);
        view.queuedWorkAhead =
                queuedWork(now + job.objective - expected) + m_sharedRoom.queuedWork();
    }
    auto drainTime = refusalRetryAfter(view);
    if (!drainTime && usesOrder && !view.fitsNow) {
        drainTime = refusalByOrder(job, now);
    }
    if (drainTime) {
        const auto reason =
                view.usableCpu == 0 ? TurnAwayReason::NoUpstreams : TurnAwayReason::Overload;
        return JobTurnedAway{reason, spreadRetryAfter(*drainTime, job.id)};
    }
    return std::nullopt;
}

Duration FleetDispatcher::retryAfterFor(TurnAwayReason reason, const JobId &id)
{
    switch (reason) {
    case TurnAwayReason::Stopping:
        return stoppingRetryAfter;
    case TurnAwayReason::Paused:
        return pausedRetryAfter;
    case TurnAwayReason::NothingFits:
        return nothingFitsRetryAfter;
    default:
        return spreadRetryAfter(noUpstreamsRetryAfter, id);
    }
}

void FleetDispatcher::expireJobs(TimePoint now, FleetActions &actions)
{
    std::vector<JobNumber> missingDeadline;
    std::vector<JobNumber> unstarted;
    const RunFactors factors = runFactors();
    for (const auto &[number, job] : m_jobs) {
        const Duration shortest = job.waiting > 0 ? shortestRun(job.spec, factors) : Duration{};
        if (now + shortest >= job.deadline) {
            missingDeadline.push_back(number);
        } else if (job.isUnstarted() && now >= job.firstStartLimit) {
            unstarted.push_back(number);
        }
    }
    for (const JobNumber it : missingDeadline) {
        abortJob(it, TurnAwayReason::DeadlinePassed, BreakOffReason::DeadlinePassed, now, actions);
    }
    for (const JobNumber it : unstarted) {
        abortJob(it, TurnAwayReason::WaitedTooLong, BreakOffReason::DeadlinePassed, now, actions);
    }
    if (!m_stopAt || now < *m_stopAt) {
        return;
    }
    while (!m_jobs.empty()) {
        abortJob(m_jobs.begin()->first, TurnAwayReason::Stopping, BreakOffReason::Stopping, now,
                 actions);
    }
}

} // namespace rattandock::fleet
