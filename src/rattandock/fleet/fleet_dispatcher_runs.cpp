// Start, offer, repetition and end of the runs of a FleetDispatcher's jobs.
#include <algorithm>
#include <array>
#include <limits>
#include <tuple>

#include "rattandock/fleet/fleet_dispatcher.hpp"
#include "rattandock/fleet/overdue.hpp"
#include "rattandock/fleet/placement.hpp"

namespace rattandock::fleet {

namespace {

/// Factor on the expected run time away from the rack with the data. The platform states 1.5 to 3.
constexpr double remoteDataFactor = 2.0;
/// Safety margin before the caller's deadline, relative to the expected run time, as run times
/// spread by 40%.
constexpr double deadlineMarginFactor = 0.4;
/// A job is nearly done if at most one in this many of its tasks waits for a start.
constexpr std::size_t nearlyDoneDivisor = 3;
/// Maximum number of jobs that one call of dispatch() considers, which bounds the time that an
/// event takes while the queue is long.
constexpr std::size_t maxJobsPerRound = 100;

Duration scaled(Duration time, double factor)
{
    return Duration{static_cast<Duration::rep>(static_cast<double>(time.count()) * factor)};
}

bool isOnRack(const UpstreamEntry &entry, const RackId &rack)
{
    return rack.value().empty()
           || std::ranges::find(entry.labels, rack.value()) != entry.labels.end();
}

} // namespace

Duration FleetDispatcher::expectedRun(const FleetJob &job) const
{
    return scaled(job.estimate, m_runTimes.meanFactor());
}

Duration FleetDispatcher::fastestRun(const FleetJob &job) const
{
    const double own = m_runTimes.fastestFactor();
    const double others = m_sharedRoom.fastestPercent() / 100.0;
    return scaled(job.estimate, others > 0 ? std::min(own, others) : own);
}

TimePoint FleetDispatcher::latestStartOf(const Job &job) const
{
    // A long job may still meet its objective but not, with the margin, its caller's deadline.
    const Duration run = fastestRun(job.spec);
    return std::min(job.objective, job.deadline - scaled(run, deadlineMarginFactor)) - run;
}

std::vector<JobNumber> FleetDispatcher::waitingJobsInOrder(TimePoint now) const
{
    // Order: started jobs (rank 0), jobs that have not started (1), late jobs (2). Ranks 0 and 1
    // are ordered by the latest start in time. Late jobs are ordered by size, the smallest first,
    // so that most callers get an answer. A late job that is nearly done stays in rank 0, ordered
    // by its deadline: it needs little more room, and breaking it off would waste its finished
    // work.
    using Rank = std::tuple<int, Duration::rep, std::uint32_t, JobNumber>;
    std::vector<Rank> order;
    for (const auto &[number, job] : m_jobs) {
        if (job.waiting == 0) {
            continue;
        }
        const TimePoint latestStart = latestStartOf(job);
        const bool isLate = latestStart < now;
        const bool isNearlyDone = job.waiting * nearlyDoneDivisor <= job.tasks.size();
        const bool comesFirst = !job.isUnstarted() && (!isLate || isNearlyDone);
        const int rank = comesFirst ? 0 : isLate ? 2 : 1;
        Duration::rep key = latestStart.time_since_epoch().count();
        if (rank == 2) {
            key = static_cast<Duration::rep>(job.waiting) * job.spec.need.cpu.value()
                  * job.spec.estimate.count();
        } else if (isLate) {
            key = job.deadline.time_since_epoch().count();
        }
        order.emplace_back(rank, key, job.spec.priority, number);
    }
    std::ranges::sort(order);
    std::vector<JobNumber> result;
    for (std::size_t n = 0; n < std::min(order.size(), maxJobsPerRound); ++n) {
        result.push_back(std::get<JobNumber>(order[n]));
    }
    return result;
}

void FleetDispatcher::dispatch(TimePoint now, FleetActions &actions)
{
    for (const JobNumber number : waitingJobsInOrder(now)) {
        Job &job = m_jobs.at(number);
        if (!m_endingRuns.mayExecute(job.spec.id, now)) {
            dispatchJob(number, job, now, actions);
        }
    }
}

void FleetDispatcher::dispatchJob(JobNumber number, Job &job, TimePoint now, FleetActions &actions)
{
    for (std::size_t n = 0; n < job.tasks.size(); ++n) {
        const Task &task = job.tasks[n];
        if (task.state == TaskState::Waiting && task.notBefore <= now
            && !startOnKeptUpstream(number, job, n, now, actions)) {
            break;
        }
    }
    // A job past its first start limit is due to be turned away, which an open offer would prevent.
    const bool mayOffer = job.hasStarted || now < job.firstStartLimit;
    if (job.waiting > 0 && mayOffer && std::holds_alternative<CallerRequestId>(job.origin)) {
        offerWaitingTasks(number, job, now, actions);
    }
}

bool FleetDispatcher::startOnKeptUpstream(JobNumber number, Job &job, std::size_t index,
                                          TimePoint now, FleetActions &actions)
{
    std::vector<PlacementCandidate> candidates;
    std::vector<KeptUpstream *> kept;
    for (auto &[id, it] : m_keptUpstreams) {
        const UpstreamEntry &entry = it.ledger.entry();
        if (entry.service != job.spec.service || !mayPlaceOn(it, now)) {
            continue;
        }
        const Resources room = it.ledger.freeRoom();
        if (!room.covers(job.spec.need) || !hasLabel(entry, job.spec)) {
            continue;
        }
        if (job.spec.maxPerUpstream > 0
            && it.ledger.runCountOfJob(number) >= job.spec.maxPerUpstream) {
            continue;
        }
        Duration expected = m_runTimes.expected(id, upstreamKind(entry), job.spec.estimate);
        if (!isOnRack(entry, job.spec.preferredRack)) {
            expected = scaled(expected, remoteDataFactor);
        }
        candidates.push_back({kept.size(), room.minus(job.spec.need).cpu.value(), expected});
        kept.push_back(&it);
    }
    const auto choice = choosePlacement(
            candidates, {job.objective - now, job.deadline - now, fastestRun(job.spec)});
    if (!choice) {
        return false;
    }
    UpstreamLedger &ledger = kept[*choice]->ledger;
    const UpstreamId &upstream = ledger.entry().id;
    Task &task = job.tasks[index];
    task.state = TaskState::Running;
    task.upstream = upstream;
    task.expected = candidates[*choice].expected;
    task.startedAt = now;
    task.isOverdue = false;
    --job.waiting;
    job.hasStarted = true;
    const RunName name{job.spec.id.value(), 0, 0, job.indices[index]};
    const RunNumber run{task.nextRun++};
    const UpstreamTime leaseUntil = ledger.leaseUntil(now);
    ledger.startSent({number, TaskIndex{static_cast<std::uint32_t>(index)}}, name, run,
                     job.spec.need, now);
    m_upstreamWatch.started(upstream, {number, TaskIndex{static_cast<std::uint32_t>(index)}});
    actions.emplace_back(
            StartOrder{upstream, name, run, ledger.token(), leaseUntil, job.spec.payload});
    return true;
}

std::uint32_t FleetDispatcher::maxUsefulRunTimePercent(const FleetJob &job, Duration timeLeft) const
{
    const auto estimate = static_cast<double>(job.estimate.count());
    const auto left = static_cast<double>(timeLeft.count());
    if (estimate <= 0) {
        return std::numeric_limits<std::uint32_t>::max();
    }
    // As in choosePlacement(): a run has to be safe (see deadlineSafetyFactor) if the fastest
    // upstream allows it; else it only has to be expected to end before the deadline.
    const bool canBeSafe =
            deadlineSafetyFactor * static_cast<double>(fastestRun(job).count()) <= left;
    const double percent = 100 * left / estimate / (canBeSafe ? deadlineSafetyFactor : 1.0);
    return static_cast<std::uint32_t>(std::clamp(percent, 0.0, 1e6));
}

void FleetDispatcher::offerWaitingTasks(JobNumber number, Job &job, TimePoint now,
                                        FleetActions &actions)
{
    std::vector<std::uint32_t> waiting;
    for (std::uint32_t n = 0; n < job.tasks.size(); ++n) {
        if (job.tasks[n].state == TaskState::Waiting && job.tasks[n].notBefore <= now) {
            waiting.push_back(n);
        }
    }
    const std::uint32_t maxPercent = maxUsefulRunTimePercent(job.spec, job.deadline - now);
    std::size_t next = 0;
    while (next < waiting.size()) {
        const auto share =
                m_sharedRoom.reserve(job.spec.need.cpu, waiting.size() - next, maxPercent);
        if (!share) {
            return;
        }
        TaskOffer offer{m_nextOffer++, job.spec, {}, 1};
        // Adds the answer margin, as the receiver subtracts it again and would otherwise abort the
        // job before this VM does.
        offer.job.deadline = job.deadline - now + m_options.answerMargin;
        offer.job.objective = job.objective - now;
        Offer &record = m_offers[offer.number];
        record.vm = share->vm;
        record.job = number;
        for (std::size_t n = 0; n < share->tasks; ++n) {
            const std::uint32_t index = waiting[next++];
            Task &task = job.tasks[index];
            task.state = TaskState::Offered;
            offer.firstRun = std::max(offer.firstRun, task.nextRun);
            offer.tasks.push_back(job.indices[index]);
            record.tasks.push_back(index);
        }
        job.waiting -= share->tasks;
        ++job.openOffers;
        actions.emplace_back(
                FleetLogRecord{FleetLogRecordKind::TasksOffered, "no-room-here", job.spec.id,
                               share->vm.value() + ", tasks " + std::to_string(share->tasks)});
        actions.emplace_back(SendToVm{share->vm, std::move(offer)});
    }
}

void FleetDispatcher::requeueTask(Job &job, Task &task, TimePoint notBefore)
{
    task.state = TaskState::Waiting;
    task.notBefore = notBefore;
    ++job.waiting;
}

void FleetDispatcher::completeTask(JobNumber number, Job &job, Task &task, FleetActions &actions)
{
    task.state = TaskState::Done;
    if (++job.done == job.tasks.size()) {
        endJob(number, JobCompleted{}, TimePoint{}, actions);
    }
}

void FleetDispatcher::handleRunEnd(const UpstreamId &upstream, const RunEnded &over, TimePoint now,
                                   FleetActions &actions)
{
    const auto kept = m_keptUpstreams.find(upstream);
    if (kept != m_keptUpstreams.end() && over.kind == RunEndKind::Done) {
        kept->second.lastSuccess = now;
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
        const auto listed = m_listedUpstreams.find(upstream);
        if (listed != m_listedUpstreams.end() && job.spec.estimate > Duration{}
            && isOnRack(listed->second.entry, job.spec.preferredRack)) {
            m_runTimes.addSample(upstream, upstreamKind(listed->second.entry), job.spec.estimate,
                                 over.elapsed);
        }
        return completeTask(number, job, task, actions);
    }
    if (over.kind == RunEndKind::Failed && ++task.failures >= job.spec.maxAttempts) {
        return endJob(number, JobFailed{}, now, actions);
    }
    static constexpr std::array<std::string_view, 6> names{"done",   "failed", "stopped",
                                                           "lapsed", "broken", "alone"};
    actions.emplace_back(FleetLogRecord{
            FleetLogRecordKind::RunRepeated, names.at(static_cast<std::size_t>(over.kind)),
            job.spec.id,
            "task " + std::to_string(job.indices[over.task.task.value()]) + ", " + upstream.value()
                    + ", after " + std::to_string(toMilliseconds(over.elapsed)) + " ms"});
    requeueTask(job, task, m_abandonedRunsEndAt.value_or(now));
}

void FleetDispatcher::handleRunNotStarted(const UpstreamId &upstream, const RunNeverStarted &run,
                                          TimePoint now, FleetActions &actions)
{
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
            recordRunResult(task.upstream, {number, TaskIndex{n}}, false, "overdue", now, actions);
            if (verdict == OverdueAction::Restart) {
                ++job.overdueStops;
                LedgerOutputs outputs;
                kept->second.ledger.stop({number, TaskIndex{n}}, now, outputs);
                applyLedgerOutputs(kept->first, outputs, now, actions);
            }
        }
    }
}

} // namespace rattandock::fleet
