// Offers of tasks between the FleetDispatchers of different VMs.
#include <algorithm>
#include <set>
#include <utility>

#include "rattandock/fleet/fleet_dispatcher.hpp"
#include "rattandock/fleet/wait_limit.hpp"

namespace rattandock::fleet {

namespace {

/// Maximum number of offers for one job and event, which bounds the work of an event. The tasks
/// that are left are offered with the next event.
constexpr std::size_t maxOffersPerEvent = 2;
/// Time that a task of another VM, whose run here has lapsed or was refused, may wait for another
/// start here. About one heartbeat interval, after which the other VM has newer reports. Longer
/// than the wait of a new offer, as room here may come back with the run.
constexpr Duration requeuedWait = std::chrono::milliseconds{100};
/// Time that an offered task waits for the end of an earlier run of its job here. Another VM that
/// started it meanwhile would run it twice.
constexpr Duration endingRunWait = std::chrono::milliseconds{100};
/// Safety margin before the caller's deadline, relative to the expected run time, as run times
/// spread by 40%.
constexpr double runTimeMargin = 0.4;

/// Longest time until a VM of a former build returns an offer unstarted: its limit of 100 ms, its
/// check every 20 ms, and the network.
constexpr Duration formerBuildReturnTime = std::chrono::milliseconds{130};

/// Limits of a plausible offer. Larger values in a malformed message would overflow the arithmetic
/// on times or take much memory. The submission codec accepts jobs of up to 10,000 tasks, and
/// callers wait for seconds.
constexpr std::size_t maxOfferedTasks = 10'000;
constexpr std::uint32_t maxOfferedRun = 1'000'000;
constexpr Duration maxOfferedTime = std::chrono::hours{1};

/// With at least this many free places a VM's last regular report is accurate enough for its peers.
constexpr std::size_t scarcePlaces = 2;
/// Least mean time between two such heartbeats over all links. A heartbeat takes about 70 us of CPU
/// time at both ends, so these use at most 1.4% of a core, however many VMs a zone has.
constexpr Duration scarceReportInterval = std::chrono::milliseconds{5};

bool isPlausible(const OfferReceived &event)
{
    const TaskOffer &offer = event.offer;
    const FleetJob &job = offer.job;
    const auto isShort = [](Duration it) { return it <= maxOfferedTime && it >= -maxOfferedTime; };
    if (offer.tasks.empty() || offer.tasks.size() > maxOfferedTasks || offer.firstRun == 0
        || offer.firstRun > maxOfferedRun || job.estimate < Duration{} || !isShort(job.estimate)
        || !isShort(job.deadline) || !isShort(job.objective)
        || !isShort(event.startWithin.value_or(Duration{}))) {
        return false;
    }
    std::vector<std::uint32_t> tasks = offer.tasks;
    std::ranges::sort(tasks);
    return tasks.back() < job.taskCount && std::ranges::adjacent_find(tasks) == tasks.end();
}

Duration scaled(Duration time, double factor)
{
    return Duration{static_cast<Duration::rep>(static_cast<double>(time.count()) * factor)};
}

} // namespace

bool FleetDispatcher::knowsReturns(const VmId &vm) const
{
    const auto it = m_peerRevisions.find(vm);
    return it != m_peerRevisions.end() && it->second >= 1;
}

bool FleetDispatcher::mayOffer(const Job &job, TimePoint now) const
{
    if (job.hasStarted) {
        return true;
    }
    const bool areReturnsKnown =
            std::ranges::all_of(m_linkedVms, [this](const VmId &it) { return knowsReturns(it); });
    const TimePoint lastOffer = lastReturnOf(job) + offerReturnReserve
                                - (areReturnsKnown ? offerReturnReserve : formerBuildReturnTime);
    return now < std::min(job.firstStartLimit, lastOffer);
}

TimePoint FleetDispatcher::lastReturnOf(const Job &job) const
{
    return job.deadline - scaled(fastestRun(job.spec), minRunTimeFactor) - offerReturnReserve;
}

void FleetDispatcher::offerWaitingTasks(JobNumber number, Job &job, Duration ownWait, TimePoint now,
                                        FleetActions &actions)
{
    const TimePoint lastReturn = lastReturnOf(job);
    const PlacementLimits limits = offerLimitsOf(job, now);
    const std::uint32_t maxPercent = maxUsefulRunTimePercent(job.spec, limits);
    for (std::size_t n = 0; n < maxOffersPerEvent && job.waiting > 0 && now < lastReturn; ++n) {
        const std::uint64_t seed = offerSeed(m_options.vm, job.spec.id, m_nextOffer);
        std::optional<Duration> startWithin;
        const auto reserved = reservedFactor(job, now);
        const std::uint32_t minPercent =
                reserved ? static_cast<std::uint32_t>(100 * *reserved) + 1 : 0;
        auto share = m_sharedRoom.reserve(job.spec.need.cpu, job.waiting,
                                          PeerRoom::PercentRange{minPercent, maxPercent}, seed);
        // Only whole jobs wait in another queue. In a trial that also split jobs, three VMs at
        // three times the load that fits completed 3% fewer jobs, as tasks of started jobs waited
        // there behind jobs that had not started.
        const bool isWhole = job.isUnstarted() && job.waiting == job.tasks.size();
        if (!share && isWhole) {
            const Duration expected = expectedRun(job.spec);
            // Half of the slack is left to place the tasks elsewhere if they come back.
            const Duration slack =
                    job.deadline - now - scaled(fastestRun(job.spec), 1 + runTimeMargin);
            startWithin = std::min(slack / 2, lastReturn - now);
            // The expected wait is known within about 40%.
            const Duration maxWait = *startWithin * 2 / 3;
            const CoreWork taskWork = static_cast<CoreWork>(job.spec.need.cpu.value())
                                      * static_cast<CoreWork>(expected.count());
            share = m_sharedRoom.reserveQueue({job.waiting, taskWork, maxPercent, ownWait, maxWait},
                                              seed);
        }
        if (!share) {
            return;
        }
        std::vector<std::uint32_t> indices = offerableTasks(job, share->tasks, false, now);
        if (indices.empty()) {
            return;
        }
        sendOffer(number, job, share->vm, std::move(indices), startWithin,
                  startWithin ? "shorter-queue" : "no-room-here", now, actions);
    }
}

PlacementLimits FleetDispatcher::offerLimitsOf(const Job &job, TimePoint now) const
{
    PlacementLimits limits = placementLimitsOf(job, now);
    if (const auto percent = m_sharedRoom.fastestFreePercent(job.spec.need.cpu)) {
        limits.runTimeElsewhere = scaled(predictedRun(job.spec), *percent / 100.0);
    }
    return limits;
}

void FleetDispatcher::offerToFasterUpstream(JobNumber number, Job &job,
                                            const std::vector<PlacementCandidate> &candidates,
                                            TimePoint now, FleetActions &actions)
{
    // Most tasks are so short that not even the fastest upstream of the fleet would help.
    PlacementLimits limits = placementLimitsOf(job, now);
    limits.runTimeElsewhere = limits.fastestRunTime;
    if (now >= lastReturnOf(job) || !isBetterElsewhere(candidates, limits)) {
        return;
    }
    limits = offerLimitsOf(job, now);
    std::vector<std::uint32_t> indices = offerableTasks(job, job.waiting, true, now);
    if (indices.empty() || !isBetterElsewhere(candidates, limits)) {
        return;
    }
    const std::uint64_t seed = offerSeed(m_options.vm, job.spec.id, m_nextOffer);
    const auto share = m_sharedRoom.reserve(job.spec.need.cpu, indices.size(),
                                            maxUsefulRunTimePercent(job.spec, limits), seed);
    if (share) {
        indices.resize(share->tasks);
        sendOffer(number, job, share->vm, std::move(indices), std::nullopt, "faster-upstream", now,
                  actions);
    }
}

std::vector<std::uint32_t> FleetDispatcher::offerableTasks(const Job &job, std::size_t count,
                                                           bool skipReturned, TimePoint now)
{
    std::vector<std::uint32_t> indices;
    for (std::uint32_t it = 0; it < job.tasks.size() && indices.size() < count; ++it) {
        const Task &task = job.tasks[it];
        // The crashes of a task are counted here, so another VM would start it too often.
        const bool hasCrashes = task.crashes > 0 || task.isCrashSuspect;
        if (task.state == TaskState::Waiting && task.notBefore <= now && !hasCrashes
            && !(skipReturned && task.wasReturned)) {
            indices.push_back(it);
        }
    }
    return indices;
}

void FleetDispatcher::sendOffer(JobNumber number, Job &job, const VmId &vm,
                                std::vector<std::uint32_t> indices,
                                std::optional<Duration> startWithin, std::string_view reason,
                                TimePoint now, FleetActions &actions)
{
    TaskOffer offer{m_nextOffer++, job.spec, {}, 1};
    // Adds the answer margin, as the receiver subtracts it again and would otherwise abort the job
    // before this VM does.
    offer.job.deadline = job.deadline - now + m_options.answerMargin;
    offer.job.objective = job.objective - now;
    for (const std::uint32_t index : indices) {
        Task &task = job.tasks[index];
        task.state = TaskState::Offered;
        offer.firstRun = std::max(offer.firstRun, task.nextRun);
        offer.tasks.push_back(job.indices[index]);
    }
    job.waiting -= indices.size();
    ++job.openOffers;
    actions.emplace_back(FleetLogRecord{FleetLogRecordKind::TasksOffered, reason, job.spec.id,
                                        vm.value() + ", tasks " + std::to_string(indices.size())});
    m_offers[offer.number] = Offer{vm, number, std::move(indices), offer.firstRun};
    if (startWithin) {
        actions.emplace_back(SendToVm{vm, QueuedTaskOffer{std::move(offer), *startWithin}});
    } else {
        actions.emplace_back(SendToVm{vm, std::move(offer)});
    }
}

void FleetDispatcher::handleEvent(const OfferReceived &event, TimePoint now, FleetActions &actions)
{
    const TaskOffer &offer = event.offer;
    if (!m_linkedVms.contains(event.from)) {
        // The result could not be sent. The other VM sees the end of the link as the end of its
        // input, and may already have broken off the job.
        actions.emplace_back(FleetLogRecord{FleetLogRecordKind::OfferAnswered, "link-down",
                                            offer.job.id, "from " + event.from.value()});
        if (auto &held = m_heldRefusals[event.from]; held.size() < m_options.maxOpenJobs) {
            held.push_back(offer.number);
        }
        return;
    }
    // Reports of free room don't name services and labels.
    const bool canRun = std::ranges::any_of(m_keptUpstreams, [&](const auto &it) {
        const UpstreamEntry &entry = it.second.ledger.entry();
        return entry.service == offer.job.service && entry.capacity.covers(offer.job.need)
               && hasLabel(entry, offer.job) && (!event.startWithin || mayPlaceOn(it.second, now));
    });
    if (m_stopAt || !canRun || !isPlausible(event) || m_staleLinks.contains(event.from)
        || !hasRoomForJob(offer.tasks.size()) || areKeptUpstreamsEvacuated()) {
        actions.emplace_back(
                SendToVm{event.from, TaskOfferEnded{offer.number, OfferResult::NotRun}});
        return;
    }
    replaceJob(offer.job.id, event.from, now, actions);
    FleetJob spec = offer.job;
    predictRunTime(spec);
    const JobNumber number = addJob(std::move(spec), OfferOrigin{event.from, offer.number},
                                    offer.tasks, offer.firstRun, now);
    Job &job = m_jobs.at(number);
    std::optional<Duration> startWithin = event.startWithin;
    if (m_endingRuns.mayExecute(offer.job.id, now)) {
        startWithin = std::max(startWithin.value_or(Duration{}), endingRunWait);
    }
    job.firstStartLimit = offeredStartLimit(now, lastReturnOf(job), startWithin);
    m_queueProfiles.recordOffer(offer.job, now);
    m_jobsByOffer[{event.from, offer.number}] = number;
}

void FleetDispatcher::sendHeldRefusals(const VmId &vm, FleetActions &actions)
{
    if (const auto held = m_heldRefusals.extract(vm); !held.empty()) {
        for (const std::uint64_t it : held.mapped()) {
            actions.emplace_back(SendToVm{vm, TaskOfferEnded{it, OfferResult::NotRun}});
        }
    }
}

void FleetDispatcher::handleEvent(const OfferWithdrawn &event, TimePoint now, FleetActions &actions)
{
    // An offer that has ended was answered before, so the withdrawal needs no answer then.
    const auto it = m_jobsByOffer.find({event.from, event.withdrawal.number});
    if (it == m_jobsByOffer.end()) {
        return;
    }
    const JobNumber number = it->second;
    Job &job = m_jobs.at(number);
    actions.emplace_back(FleetLogRecord{FleetLogRecordKind::OfferAnswered, "withdrawn", job.spec.id,
                                        "from " + event.from.value() + describeJob(job)
                                                + describeUnfinishedTasks(number, job, now)});
    stopTasks(number, job, now, actions);
    if (knowsReturns(event.from)) {
        const OfferResult result = job.isUnstarted() ? OfferResult::NotRun : OfferResult::GivenUp;
        actions.emplace_back(SendToVm{event.from, TaskOfferEnded{event.withdrawal.number, result}});
    }
    m_jobsByOffer.erase(it);
    m_jobs.erase(number);
    m_isDispatchDue = true;
}

void FleetDispatcher::handleEvent(const OfferEnded &event, TimePoint now, FleetActions &actions)
{
    const auto it = m_offers.find(event.end.number);
    if (it == m_offers.end() || it->second.vm != event.from) {
        return;
    }
    const Offer offer = std::move(it->second);
    m_offers.erase(it);
    const auto found = m_jobs.find(offer.job);
    if (found == m_jobs.end()) {
        return;
    }
    Job &job = found->second;
    --job.openOffers;
    m_isDispatchDue = true;
    if (event.end.result != OfferResult::NotRun) {
        job.hasStarted = true;
        job.hasStartedElsewhere = true;
    }
    if (event.end.result == OfferResult::Failed || event.end.result == OfferResult::GivenUp) {
        // The other VM answers at once and stops the tasks that are still at work.
        m_endingRuns.holdUntil(job.spec.id, now + m_options.lease.runsEndAfter({}));
    }
    switch (event.end.result) {
    case OfferResult::Done:
        for (const std::uint32_t index : offer.tasks) {
            job.tasks[index].state = TaskState::Done;
        }
        job.done += offer.tasks.size();
        if (job.done == job.tasks.size()) {
            return endJob(offer.job, JobCompleted{}, now, actions);
        }
        return endWithdrawnJob(offer.job, now, actions);
    case OfferResult::Failed:
        return endJob(offer.job, JobFailed{}, now, actions);
    case OfferResult::GivenUp:
        job.unfinishedOffers.push_back({event.from, offer.tasks.size(), "given up by"});
        return abortJob(offer.job, TurnAwayReason::DeadlinePassed, BreakOffReason::DeadlinePassed,
                        now, actions);
    case OfferResult::NotRun:
        if (!job.isWithdrawn) {
            m_sharedRoom.markFull(event.from);
        }
        for (const std::uint32_t index : offer.tasks) {
            ++job.tasks[index].nextRun;
            ++job.tasks[index].unusedRuns;
            job.tasks[index].wasReturned = true;
            requeueTask(job, job.tasks[index], now);
        }
        actions.emplace_back(FleetLogRecord{FleetLogRecordKind::OfferEnded, "not-run", job.spec.id,
                                            event.from.value()});
        return endWithdrawnJob(offer.job, now, actions);
    }
}

void FleetDispatcher::handleEvent(const OfferedTasksReturned &event, TimePoint now,
                                  FleetActions &actions)
{
    const auto it = m_offers.find(event.returned.number);
    if (it == m_offers.end() || it->second.vm != event.from) {
        return;
    }
    const auto found = m_jobs.find(it->second.job);
    if (found == m_jobs.end()) {
        return;
    }
    Job &job = found->second;
    m_isDispatchDue = true;
    std::size_t count = 0;
    std::erase_if(it->second.tasks, [&](std::uint32_t index) {
        if (std::ranges::find(event.returned.tasks, job.indices[index])
            == event.returned.tasks.end()) {
            return false;
        }
        ++count;
        Task &task = job.tasks[index];
        task.nextRun = std::max(task.nextRun, event.returned.nextRun);
        task.wasReturned = true;
        requeueTask(job, task, now);
        return true;
    });
    // Single tasks are returned only after others of the offer were started.
    job.hasStarted = true;
    job.hasStartedElsewhere = true;
    m_sharedRoom.markFull(event.from);
    actions.emplace_back(FleetLogRecord{FleetLogRecordKind::OfferEnded, "tasks-returned",
                                        job.spec.id,
                                        event.from.value() + ", tasks " + std::to_string(count)});
}

FleetDispatcher::PlaceCount FleetDispatcher::countPlaces(TimePoint now) const
{
    PlaceCount count;
    if (m_meanTaskCpu < 1 || m_stopAt) {
        return count;
    }
    const double mean = m_runTimes.meanFactor();
    for (const auto &[id, kept] : m_keptUpstreams) {
        if (!mayPlaceOn(kept, now)) {
            continue;
        }
        const auto places = static_cast<std::size_t>(usableRoom(kept).cpu.value() / m_meanTaskCpu);
        count.all += places;
        count.fast += runFactor(kept.ledger.entry()) < mean ? places : 0;
    }
    return count;
}

void FleetDispatcher::reportScarceRoom(TimePoint now, FleetActions &actions)
{
    if (now < m_nextScarceReport) {
        return;
    }
    const auto isNews = [](std::size_t places, std::size_t before) {
        return places != before && std::min(places, before) < scarcePlaces;
    };
    const PlaceCount count = countPlaces(now);
    const PlaceCount before = std::exchange(m_placesAtLastReport, count);
    if (!isNews(count.all, before.all) && !isNews(count.fast, before.fast)) {
        return;
    }
    if (std::vector<VmId> vms = m_sharedRoom.vmsWithQueue(); !vms.empty()) {
        m_nextScarceReport = now + scarceReportInterval * static_cast<Duration::rep>(vms.size());
        actions.emplace_back(SendHeartbeat{std::move(vms)});
    }
}

void FleetDispatcher::returnUnstartedTasks(TimePoint now, FleetActions &actions)
{
    std::vector<JobNumber> unstarted;
    std::vector<JobNumber> ended;
    for (const auto &[offer, number] : m_jobsByOffer) {
        Job &job = m_jobs.at(number);
        if (job.waiting == 0 || now < job.firstStartLimit) {
            continue;
        }
        if (job.isUnstarted()) {
            unstarted.push_back(number);
            continue;
        }
        if (!knowsReturns(offer.first)) {
            continue;
        }
        TasksReturned returned{offer.second, {}, 1};
        for (std::size_t n = 0; n < job.tasks.size(); ++n) {
            Task &task = job.tasks[n];
            // A task that has failed or crashed an upstream stays, because the offering VM does not
            // count that.
            if (task.state != TaskState::Waiting || task.failures > 0 || task.crashes > 0
                || task.isCrashSuspect || now < task.notBefore + requeuedWait) {
                continue;
            }
            task.state = TaskState::Returned;
            returned.tasks.push_back(job.indices[n]);
            returned.nextRun = std::max(returned.nextRun, task.nextRun);
        }
        if (returned.tasks.empty()) {
            continue;
        }
        job.waiting -= returned.tasks.size();
        job.done += returned.tasks.size();
        if (job.done == job.tasks.size()) {
            ended.push_back(number);
        }
        actions.emplace_back(FleetLogRecord{FleetLogRecordKind::OfferAnswered, "tasks-returned",
                                            job.spec.id,
                                            "from " + offer.first.value() + ", tasks "
                                                    + std::to_string(returned.tasks.size())});
        actions.emplace_back(SendToVm{offer.first, std::move(returned)});
    }
    for (const JobNumber it : unstarted) {
        abortJob(it, TurnAwayReason::WaitedTooLong, BreakOffReason::DeadlinePassed, now, actions);
    }
    for (const JobNumber it : ended) {
        endJob(it, JobCompleted{}, now, actions);
    }
}

void FleetDispatcher::withdrawUnansweredOffers(TimePoint now, FleetActions &actions)
{
    std::set<JobNumber> due;
    for (const auto &[number, job] : m_jobs) {
        if (job.openOffers == 0 || job.hasStarted || job.isWithdrawn) {
            continue;
        }
        TimePoint end = job.deadline;
        if (job.waiting > 0) {
            end -= scaled(fastestRun(job.spec), minRunTimeFactor);
        }
        if (m_stopAt) {
            end = std::min(end, *m_stopAt);
        }
        if (now >= end - offerWithdrawalReserve) {
            due.insert(number);
        }
    }
    if (due.empty()) {
        return;
    }
    // A VM of a former build does not answer a withdrawal, so its tasks go on until the end.
    for (const auto &[offerNumber, offer] : m_offers) {
        if (!knowsReturns(offer.vm)) {
            due.erase(offer.job);
        }
    }
    for (const auto &[offerNumber, offer] : m_offers) {
        if (!due.contains(offer.job)) {
            continue;
        }
        Job &job = m_jobs.at(offer.job);
        job.isWithdrawn = true;
        actions.emplace_back(FleetLogRecord{FleetLogRecordKind::OfferEnded, "withdrawn",
                                            job.spec.id, offer.vm.value()});
        actions.emplace_back(SendToVm{offer.vm, TaskOfferWithdrawn{offerNumber}});
    }
}

void FleetDispatcher::endWithdrawnJob(JobNumber number, TimePoint now, FleetActions &actions)
{
    Job &job = m_jobs.at(number);
    if (!job.isWithdrawn || job.openOffers > 0) {
        return;
    }
    if (job.hasStarted) {
        // Another offer was completed meanwhile, so the job cannot be refused any more.
        job.isWithdrawn = false;
        return;
    }
    const bool isStopping = m_stopAt && now + offerWithdrawalReserve >= *m_stopAt;
    abortJob(number, isStopping ? TurnAwayReason::Stopping : TurnAwayReason::DeadlinePassed,
             BreakOffReason::DeadlinePassed, now, actions);
}

void FleetDispatcher::endOffersOf(const VmId &vm, TimePoint now, FleetActions &actions)
{
    std::vector<JobNumber> jobsOfferedToPeer;
    std::erase_if(m_offers, [&](const auto &it) {
        if (it.second.vm == vm) {
            jobsOfferedToPeer.push_back(it.second.job);
            if (m_linkedVms.contains(vm)) {
                // The other VM may read the offer only after it has handled the loss of its link.
                actions.emplace_back(SendToVm{vm, TaskOfferWithdrawn{it.first}});
            }
            if (const auto job = m_jobs.find(it.second.job); job != m_jobs.end()) {
                job->second.unfinishedOffers.push_back(
                        {vm, it.second.tasks.size(), "lost with the link to"});
                m_endingRuns.holdUntil(job->second.spec.id, now + runsEndAfterLoss());
                actions.emplace_back(FleetLogRecord{FleetLogRecordKind::OfferEnded, "link-down",
                                                    job->second.spec.id, vm.value()});
            }
        }
        return it.second.vm == vm;
    });
    for (const JobNumber it : jobsOfferedToPeer) {
        abortJob(it, TurnAwayReason::Overload, BreakOffReason::PeerLost, now, actions);
    }
    std::vector<JobNumber> jobsOfferedByPeer;
    for (const auto &[offer, job] : m_jobsByOffer) {
        if (offer.first == vm) {
            jobsOfferedByPeer.push_back(job);
        }
    }
    // The peer ends these jobs on its side, and their callers may resubmit them under the same id.
    for (const JobNumber it : jobsOfferedByPeer) {
        endJob(it, JobBrokenOff{BreakOffReason::PeerLost}, now, actions);
    }
}

} // namespace rattandock::fleet
