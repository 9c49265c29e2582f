// Start, offer, repetition and end of the runs of a FleetDispatcher's jobs.
#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

#include "rattandock/fleet/fast_reserve.hpp"
#include "rattandock/fleet/fleet_dispatcher.hpp"
#include "rattandock/fleet/overdue.hpp"
#include "rattandock/fleet/placement.hpp"

namespace rattandock::fleet {

namespace {

/// Crashes of upstreams under a task after which it is not started again, if the task was among the
/// last that were started there each time. One crash may have another cause.
constexpr std::uint32_t maxSuspectedCrashes = 2;
/// The same if other tasks were started later.
constexpr std::uint32_t maxCrashes = 3;
/// A task waits for a faster upstream for at most this share of its caller's time.
constexpr double maxWaitForFasterShare = 0.2;
/// A job needs fast upstreams if they raise its chance to end before the deadline by more than
/// this. Small, as many of the largest jobs run for twice as long as predicted.
constexpr double minChanceGainOnFast = 0.002;
/// Fast upstreams are kept free for this long after the last job that needs them.
constexpr Duration fastNeededMemory = std::chrono::seconds{10};

Duration scaled(Duration time, double factor)
{
    return Duration{static_cast<Duration::rep>(static_cast<double>(time.count()) * factor)};
}

/// Jobs have one step and do not repeat, see toFleetJob().
RunName runNameOf(const FleetJob &job, std::uint32_t task)
{
    return {job.id.value(), 0, 0, task};
}

bool isOnRack(const UpstreamEntry &entry, const RackId &rack)
{
    return rack.value().empty()
           || std::ranges::find(entry.labels, rack.value()) != entry.labels.end();
}

} // namespace

void FleetDispatcher::predictRunTime(FleetJob &job) const
{
    job.predicted = m_estimates.corrected(job.queue, job.estimate);
    // The objective counts from the actual run time, which the estimate misses by 40%.
    job.objective += scaled(job.predicted - job.estimate, job.stretch);
    job.stretch = 0;
}

Duration FleetDispatcher::expectedRun(const FleetJob &job) const
{
    return scaled(predictedRun(job), m_runTimes.meanFactor());
}

double FleetDispatcher::ownFastestFactor() const
{
    const bool hasSlowUpstream =
            m_warmUp.limitedCount() > 0
            || (m_warmUp.hasColdUpstreams()
                && std::ranges::any_of(m_keptUpstreams, [this](const auto &it) {
                       return m_warmUp.isCold(it.first);
                   }));
    if (m_evacuations.zones().empty() && !hasSlowUpstream) {
        return m_runTimes.fastestFactor();
    }
    // No task may wait for an upstream of an evacuated zone, or for a fast one that is slow now.
    double fastest = m_runTimes.meanFactor();
    for (const auto &[id, kept] : m_keptUpstreams) {
        const UpstreamEntry &entry = kept.ledger.entry();
        if (!m_evacuations.isEvacuated(entry.zone)) {
            fastest = std::min(fastest, runFactor(entry));
        }
    }
    return fastest;
}

Duration FleetDispatcher::fastestRun(const FleetJob &job) const
{
    const double own = ownFastestFactor();
    const double others = m_sharedRoom.fastestPercent() / 100.0;
    return scaled(predictedRun(job), others > 0 ? std::min(own, others) : own);
}

void FleetDispatcher::dispatchJob(JobNumber number, Job &job, bool canStartHere, Duration ownWait,
                                  TimePoint now, FleetActions &actions)
{
    // A job of another VM is never offered on.
    const bool mayOfferTasks =
            std::holds_alternative<CallerRequestId>(job.origin) && mayOffer(job, now);
    for (std::size_t n = 0; canStartHere && n < job.tasks.size(); ++n) {
        const Task &task = job.tasks[n];
        if (task.state == TaskState::Waiting && task.notBefore <= now
            && !startOrOfferTask(number, job, n, mayOfferTasks, now, actions)) {
            break;
        }
    }
    if (job.waiting > 0 && mayOfferTasks) {
        offerWaitingTasks(number, job, ownWait, now, actions);
    }
}

bool FleetDispatcher::needsFastUpstream(const FleetJob &job, Duration untilDeadline) const
{
    const double spread = m_estimates.logSpread();
    return chanceToEndWithin(fastestRun(job), untilDeadline, spread)
           > chanceToEndWithin(expectedRun(job), untilDeadline, spread) + minChanceGainOnFast;
}

std::optional<double> FleetDispatcher::reservedFactor(const Job &job, TimePoint now) const
{
    if (!m_fastNeededAt || now - *m_fastNeededAt > fastNeededMemory
        || needsFastUpstream(job.spec, job.deadline - now)) {
        return std::nullopt;
    }
    const RunFactors factors = runFactors();
    const auto limit = fastFactorLimit(factors.fastest, factors.mean);
    if (!limit) {
        return std::nullopt;
    }
    ZoneCpu cpu{m_sharedRoom.freeCpuInZone(static_cast<std::uint32_t>(100 * *limit)),
                m_sharedRoom.usableCpuInZone()};
    for (const auto &[id, kept] : m_keptUpstreams) {
        if (mayPlaceOn(kept, now)) {
            const bool isFast = runFactor(kept.ledger.entry()) <= *limit;
            cpu.fastFree += isFast ? usableRoom(kept).cpu.value() : 0;
            cpu.total += kept.ledger.entry().capacity.cpu.value();
        }
    }
    return leavesFastReserve(cpu, job.spec.need.cpu.value()) ? std::nullopt : limit;
}

std::vector<PlacementCandidate>
FleetDispatcher::placementCandidates(const Job &job, TimePoint now,
                                     std::vector<KeptUpstream *> &kept)
{
    std::vector<PlacementCandidate> candidates;
    const auto reserved = reservedFactor(job, now);
    for (auto &[id, it] : m_keptUpstreams) {
        const UpstreamEntry &entry = it.ledger.entry();
        if (entry.service != job.spec.service || !mayPlaceOn(it, now) || !it.ledger.mayStart(now)
            || (reserved && runFactor(entry) <= *reserved)) {
            continue;
        }
        const Resources room = usableRoom(it);
        if (!room.covers(job.spec.need) || !hasLabel(entry, job.spec)) {
            continue;
        }
        if (job.spec.maxPerUpstream > 0
            && it.ledger.runCountOfStep(runNameOf(job.spec, 0)) >= job.spec.maxPerUpstream) {
            continue;
        }
        Duration expected = scaled(predictedRun(job.spec), runFactor(entry));
        if (!isOnRack(entry, job.spec.preferredRack)) {
            expected = scaled(expected, m_options.farRunFactor);
        }
        candidates.push_back({kept.size(), room.minus(job.spec.need).cpu.value(), expected});
        kept.push_back(&it);
    }
    return candidates;
}

bool FleetDispatcher::startOrOfferTask(JobNumber number, Job &job, std::size_t index,
                                       bool mayOfferTasks, TimePoint now, FleetActions &actions)
{
    std::vector<KeptUpstream *> kept;
    std::vector<PlacementCandidate> candidates = placementCandidates(job, now, kept);
    Task &task = job.tasks[index];
    if (mayOfferTasks && !task.wasReturned) {
        offerToFasterUpstream(number, job, candidates, now, actions);
        if (task.state == TaskState::Offered) {
            return true;
        }
    }
    const bool isSuspect = task.isCrashSuspect;
    if (isSuspect) {
        isolate(candidates, kept);
    }
    const auto choice = choosePlacement(candidates, placementLimitsOf(job, now));
    if (!choice) {
        return false;
    }
    UpstreamLedger &ledger = kept[*choice]->ledger;
    const UpstreamId &upstream = ledger.entry().id;
    const TaskRef ref{number, TaskIndex{static_cast<std::uint32_t>(index)}};
    if (isSuspect) {
        kept[*choice]->isolatedRun = ref;
    }
    task.state = TaskState::Running;
    task.upstream = upstream;
    task.expected = candidates[*choice].expected;
    task.startedAt = now;
    job.lastStartAt = now;
    task.isOverdue = false;
    task.isColdRun = m_warmUp.isCold(upstream) || m_warmUp.isLimited(upstream);
    --job.waiting;
    job.hasStarted = true;
    const RunName name = runNameOf(job.spec, job.indices[index]);
    const RunNumber run{task.nextRun++};
    const UpstreamTime leaseUntil = ledger.leaseUntil(now);
    ledger.startSent(ref, name, run, job.spec.need, now);
    m_upstreamWatch.started(upstream, ref);
    actions.emplace_back(
            StartOrder{upstream, name, run, ledger.token(), leaseUntil, job.spec.payload});
    return true;
}

PlacementLimits FleetDispatcher::placementLimits(const FleetJob &job, Duration untilObjective,
                                                 Duration untilDeadline,
                                                 Duration waitForFaster) const
{
    return {untilObjective, untilDeadline, fastestRun(job), m_estimates.logSpread(), waitForFaster};
}

PlacementLimits FleetDispatcher::placementLimitsOf(const Job &job, TimePoint now) const
{
    const TimePoint waitEnd =
            job.arrivedAt + scaled(job.deadline - job.arrivedAt, maxWaitForFasterShare);
    return placementLimits(job.spec, job.objective - now, job.deadline - now,
                           std::max(waitEnd - now, Duration{}));
}

std::uint32_t FleetDispatcher::maxUsefulRunTimePercent(const FleetJob &job,
                                                       const PlacementLimits &limits)
{
    const auto predicted = static_cast<double>(predictedRun(job).count());
    if (predicted <= 0) {
        return std::numeric_limits<std::uint32_t>::max();
    }
    const double percent =
            std::ceil(100 * static_cast<double>(maxUsefulRunTime(limits).count()) / predicted);
    return static_cast<std::uint32_t>(std::clamp(percent, 0.0, 1e6));
}

void FleetDispatcher::requeueTask(Job &job, Task &task, TimePoint notBefore)
{
    task.state = TaskState::Waiting;
    task.notBefore = notBefore;
    ++job.waiting;
    m_dispatchAgainAt = std::min(m_dispatchAgainAt, notBefore);
}

void FleetDispatcher::completeTask(JobNumber number, Job &job, Task &task, FleetActions &actions)
{
    task.state = TaskState::Done;
    if (++job.done == job.tasks.size()) {
        endJob(number, JobCompleted{}, TimePoint{}, actions);
    }
}

void FleetDispatcher::addRunTime(const UpstreamEntry &upstream, const FleetJob &job, Task &task,
                                 Duration elapsed)
{
    // The averages predict runs on the upstream after it has warmed up.
    if (task.isColdRun) {
        m_warmUp.addColdRun(warmRunTime(upstream, job), elapsed);
        return;
    }
    const double speed = m_runTimes.factor(upstream.id, upstreamKind(upstream));
    m_estimates.addSample(job.queue, job.estimate, scaled(elapsed, 1 / speed));
    task.elapsed = elapsed;
}

void FleetDispatcher::addSpeeds(const Job &job)
{
    std::vector<FinishedRun> runs;
    for (const Task &it : job.tasks) {
        const auto listed = m_listedUpstreams.find(it.upstream);
        if (it.elapsed && listed != m_listedUpstreams.end()) {
            runs.push_back({it.upstream, upstreamKind(listed->second.entry), *it.elapsed});
        }
    }
    if (!runs.empty()) {
        m_runTimes.addJob(job.spec.estimate, runs);
    }
}

void FleetDispatcher::handleRunEnd(const UpstreamId &upstream, const RunEnded &over, TimePoint now,
                                   FleetActions &actions)
{
    m_isDispatchDue = true;
    const auto kept = m_keptUpstreams.find(upstream);
    if (kept != m_keptUpstreams.end()) {
        kept->second.idleSince = now;
        if (kept->second.isolatedRun == over.task) {
            kept->second.isolatedRun.reset();
        }
        if (over.kind == RunEndKind::Done) {
            kept->second.lastSuccess = now;
        }
    }
    const JobNumber number = over.task.job;
    const auto found = m_jobs.find(number);
    if (found == m_jobs.end()) {
        m_endingRuns.runEnded(number, m_abandonedRunsEndAt.value_or(now));
        if (over.kind == RunEndKind::Done) {
            recordRunResult(upstream, over.task, true, "", now, actions);
        }
        m_upstreamWatch.ended(upstream, over.task);
        return;
    }
    Job &job = found->second;
    Task &task = job.tasks[over.task.task.value()];
    if (task.state != TaskState::Running) {
        m_upstreamWatch.ended(upstream, over.task);
        return;
    }
    if (over.kind == RunEndKind::Done || over.kind == RunEndKind::Failed) {
        recordRunResult(upstream, over.task, over.kind == RunEndKind::Done, "failures", now,
                        actions);
    }
    m_upstreamWatch.ended(upstream, over.task);
    if (over.kind == RunEndKind::Done) {
        raiseLimit(upstream, task, over.elapsed, now, actions);
        const auto listed = m_listedUpstreams.find(upstream);
        if (listed != m_listedUpstreams.end() && job.spec.estimate > Duration{}
            && isOnRack(listed->second.entry, job.spec.preferredRack)) {
            addRunTime(listed->second.entry, job.spec, task, over.elapsed);
        }
        return completeTask(number, job, task, actions);
    }
    if (over.kind == RunEndKind::Failed && ++task.failures >= job.spec.maxAttempts) {
        return endJob(number, JobFailed{}, now, actions);
    }
    task.isCrashSuspect = task.isCrashSuspect || over.isCrashSuspect;
    const bool isGivenUp =
            over.kind == RunEndKind::Crashed && recordCrash(task, over.isCrashSuspect);
    static constexpr std::array<std::string_view, 7> names{"done",   "failed", "stopped", "lapsed",
                                                           "broken", "alone",  "crashed"};
    actions.emplace_back(FleetLogRecord{
            FleetLogRecordKind::RunRepeated, names.at(static_cast<std::size_t>(over.kind)),
            job.spec.id,
            "task " + std::to_string(job.indices[over.task.task.value()]) + ", " + upstream.value()
                    + ", after " + std::to_string(toMilliseconds(over.elapsed)) + " ms"});
    requeueTask(job, task, m_abandonedRunsEndAt.value_or(now));
    if (isGivenUp) {
        endJob(number, JobFailed{FailureReason::UpstreamCrashes}, now, actions);
    }
}

bool FleetDispatcher::recordCrash(Task &task, bool isSuspect)
{
    ++task.crashes;
    task.suspectedCrashes += isSuspect ? 1U : 0U;
    return task.suspectedCrashes >= maxSuspectedCrashes || task.crashes >= maxCrashes;
}

void FleetDispatcher::handleLapsedRunCrash(const LapsedRunCrashed &crash, TimePoint now,
                                           FleetActions &actions)
{
    const auto found = m_jobs.find(crash.task.job);
    if (found == m_jobs.end()) {
        return;
    }
    Task &task = found->second.tasks[crash.task.task.value()];
    if (task.state == TaskState::Done || task.state == TaskState::Returned) {
        return;
    }
    task.isCrashSuspect = task.isCrashSuspect || crash.isCrashSuspect;
    if (recordCrash(task, crash.isCrashSuspect)) {
        endJob(crash.task.job, JobFailed{FailureReason::UpstreamCrashes}, now, actions);
    }
}

void FleetDispatcher::isolate(std::vector<PlacementCandidate> &candidates,
                              const std::vector<KeptUpstream *> &kept)
{
    const auto runs = [&](const PlacementCandidate &it) {
        return kept[it.index]->ledger.runCount();
    };
    const auto least = std::ranges::min_element(candidates, {}, runs);
    if (least != candidates.end()) {
        std::erase_if(candidates,
                      [&, n = runs(*least)](const PlacementCandidate &it) { return runs(it) > n; });
    }
}

void FleetDispatcher::handleRunNotStarted(const UpstreamId &upstream, const RunNeverStarted &run,
                                          TimePoint now, FleetActions &actions)
{
    m_isDispatchDue = true;
    if (const auto kept = m_keptUpstreams.find(upstream);
        kept != m_keptUpstreams.end() && kept->second.isolatedRun == run.task) {
        kept->second.isolatedRun.reset();
    }
    const JobNumber number = run.task.job;
    const auto found = m_jobs.find(number);
    if (run.reason == OrderResult::Unhealthy && found != m_jobs.end()) {
        recordRunResult(upstream, run.task, false, "unhealthy", now, actions);
    }
    m_upstreamWatch.ended(upstream, run.task);
    if (found == m_jobs.end()) {
        m_endingRuns.runEnded(number, now);
        return;
    }
    Job &job = found->second;
    Task &task = job.tasks[run.task.task.value()];
    if (task.state != TaskState::Running) {
        return;
    }
    actions.emplace_back(FleetLogRecord{FleetLogRecordKind::RunRepeated, name(run.reason),
                                        job.spec.id,
                                        "task " + std::to_string(job.indices[run.task.task.value()])
                                                + ", " + upstream.value()});
    if (run.reason == OrderResult::Rejected) {
        return endJob(number, JobFailed{}, now, actions);
    }
    // Prevents a busy loop of starts on an upstream that refuses each of them at once.
    constexpr Duration refusedStartDelay = std::chrono::milliseconds{5};
    requeueTask(job, task, now + refusedStartDelay);
    forgetRefusedStart(job, task, run.reason);
}

void FleetDispatcher::forgetRefusedStart(Job &job, Task &task, OrderResult reason)
{
    // After other results, an earlier process of the upstream may have executed the start or
    // another run of the task.
    static constexpr std::array refusals{OrderResult::Fenced,  OrderResult::Late,
                                         OrderResult::NoRoom,  OrderResult::Unhealthy,
                                         OrderResult::NotSent, OrderResult::ConnectionRefused};
    if (std::ranges::find(refusals, reason) == refusals.end()) {
        return;
    }
    ++task.unusedRuns;
    const bool canHaveRun = std::ranges::any_of(job.tasks, [&](const Task &it) {
        const bool isOver = it.state == TaskState::Done || it.state == TaskState::Returned;
        return isOver || it.nextRun > job.firstRun + it.unusedRuns;
    });
    job.hasStarted = job.hasStartedElsewhere || canHaveRun;
}

void FleetDispatcher::handleOverdueRuns(TimePoint now, FleetActions &actions)
{
    for (auto &[number, job] : m_jobs) {
        for (std::uint32_t n = 0; n < job.tasks.size(); ++n) {
            Task &task = job.tasks[n];
            if (task.state != TaskState::Running || task.isOverdue) {
                continue;
            }
            const auto kept = m_keptUpstreams.find(task.upstream);
            if (kept == m_keptUpstreams.end()) {
                continue;
            }
            const OverdueAction verdict =
                    decideOverdueAction({now - task.startedAt, task.expected, job.overdueStops,
                                         kept->second.lastSuccess > task.startedAt,
                                         fastestRun(job.spec), job.deadline - now});
            if (verdict == OverdueAction::Wait) {
                continue;
            }
            task.isOverdue = true;
            const UpstreamEntry &entry = kept->second.ledger.entry();
            if (task.isColdRun && isOnRack(entry, job.spec.preferredRack)) {
                m_warmUp.addUnfinishedColdRun(warmRunTime(entry, job.spec), now - task.startedAt);
            }
            recordRunResult(task.upstream, {number, TaskIndex{n}}, false, "overdue", now, actions);
            if (verdict == OverdueAction::Restart) {
                ++job.overdueStops;
                LedgerOutputs outputs;
                // The job's own next start waits for the end of this run, so it has no limit.
                kept->second.ledger.stop({number, TaskIndex{n}}, TimePoint::max(), now, outputs);
                applyLedgerOutputs(kept->first, outputs, now, actions);
            }
        }
    }
}

} // namespace rattandock::fleet
