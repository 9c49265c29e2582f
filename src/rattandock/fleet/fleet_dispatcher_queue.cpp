// Order and refusal of the waiting jobs of a FleetDispatcher.
#include <algorithm>
#include <tuple>

#include "rattandock/fleet/fleet_dispatcher.hpp"
#include "rattandock/fleet/wait_limit.hpp"

namespace rattandock::fleet {

namespace {

/// Safety margin before the caller's deadline, relative to the expected run time, as run times
/// spread by 40%.
constexpr double deadlineMarginFactor = 0.4;
/// A job is nearly done if at most one in this many of its tasks waits for a start.
constexpr std::size_t nearlyDoneDivisor = 3;
/// Maximum number of jobs that one call of dispatch() considers, which bounds the time that an
/// event takes while the queue is long.
constexpr std::size_t maxJobsPerRound = 100;
/// Share of the CPU that starts tasks while jobs wait. The rest is lost to fragmentation, as in
/// admission.
constexpr double usableCpuShare = 0.85;
/// Callers value an answer until this multiple of the objective, at a fifth.
constexpr int usefulObjectives = 3;

Duration scaled(Duration time, double factor)
{
    return Duration{static_cast<Duration::rep>(static_cast<double>(time.count()) * factor)};
}

CoreWork workOf(const FleetJob &job, std::size_t tasks, Duration expected)
{
    return static_cast<CoreWork>(tasks) * job.need.cpu.value()
           * static_cast<CoreWork>(expected.count());
}

CoreWork remainingWorkOf(const std::vector<WaitingJob> &jobs)
{
    CoreWork sum = 0;
    for (const WaitingJob &it : jobs) {
        sum += it.remainingWork;
    }
    return sum;
}

} // namespace

FleetDispatcher::RunFactors FleetDispatcher::runFactors() const
{
    RunFactors factors{m_runTimes.meanFactor(), ownFastestFactor()};
    if (const double others = m_sharedRoom.fastestPercent() / 100.0; others > 0) {
        factors.fastest = std::min(factors.fastest, others);
    }
    return factors;
}

Duration FleetDispatcher::shortestRun(const FleetJob &job, const RunFactors &factors)
{
    // Estimates may be too high. A job is refused for its estimate alone only if even a run of this
    // share of the expected time would miss the deadline.
    return scaled(predictedRun(job), factors.fastest * minRunTimeFactor);
}

CoreWork FleetDispatcher::expectedWork(const FleetJob &job, std::size_t tasks) const
{
    return workOf(job, tasks, expectedRun(job));
}

std::size_t FleetDispatcher::placesFor(const FleetJob &job, Duration timeLeft, TimePoint now) const
{
    const std::uint32_t maxPercent =
            maxUsefulRunTimePercent(job, placementLimits(job, timeLeft, timeLeft, Duration{}));
    std::size_t places = m_sharedRoom.countFittingTasks(job.need.cpu, maxPercent);
    for (const auto &[id, kept] : m_keptUpstreams) {
        const UpstreamEntry &entry = kept.ledger.entry();
        const bool isUseful = 100 * runFactor(entry) <= maxPercent;
        if (entry.service == job.service && isUseful && mayPlaceOn(kept, now)) {
            const std::size_t fitting =
                    m_warmUp.usableStarts(id, entry.capacity, kept.ledger.freeRoom(),
                                          kept.ledger.runCount() > 0, job.need.cpu);
            places += std::min(fitting, m_upstreamWatch.startsLeft(id, now));
        }
    }
    return places;
}

std::map<ServiceId, std::uint32_t> FleetDispatcher::largestFreeCpu(TimePoint now) const
{
    std::map<ServiceId, std::uint32_t> largest;
    for (const auto &[id, kept] : m_keptUpstreams) {
        if (mayPlaceOn(kept, now)) {
            std::uint32_t &cpu = largest[kept.ledger.entry().service];
            cpu = std::max(cpu, usableRoom(kept).cpu.value());
        }
    }
    return largest;
}

TimePoint FleetDispatcher::latestStartOf(const Job &job, const RunFactors &factors) const
{
    // A long job may still meet its objective but not, with the margin, its caller's deadline.
    const Duration run = scaled(predictedRun(job.spec), factors.fastest);
    return std::min(job.objective, job.deadline - scaled(run, deadlineMarginFactor)) - run;
}

WaitingJob FleetDispatcher::waitingJobOf(const FleetJob &spec, std::size_t tasks,
                                         std::size_t waiting, TimePoint objective,
                                         TimePoint deadline, const RunFactors &factors) const
{
    const Duration run = scaled(predictedRun(spec), factors.fastest);
    WaitingJob job;
    job.priority = spec.priority;
    job.protection = jobProtection(spec.id);
    job.taskWork = workOf(spec, 1, scaled(predictedRun(spec), factors.mean));
    job.remainingWork = static_cast<CoreWork>(waiting) * job.taskWork;
    job.spentWork = static_cast<CoreWork>(tasks - waiting) * job.taskWork;
    job.queueMeanWork = m_queueProfiles.meanWork(spec.queue);
    job.expectedRun = run;
    job.arrived = objective - spec.objective;
    job.latestStart = std::min(objective, deadline) - run;
    job.latestUsefulStart =
            std::min(job.arrived + usefulObjectives * spec.objective, deadline) - run;
    job.latestPossibleStart = deadline - shortestRun(spec, factors);
    job.isNearlyDone = waiting * nearlyDoneDivisor <= tasks;
    return job;
}

WaitingJob FleetDispatcher::waitingJobOf(JobNumber number, const Job &job,
                                         const RunFactors &factors) const
{
    WaitingJob result = waitingJobOf(job.spec, job.tasks.size(), job.waiting, job.objective,
                                     job.deadline, factors);
    result.number = number;
    result.isStarted = !job.isUnstarted();
    if (std::holds_alternative<OfferOrigin>(job.origin)) {
        // An offer states the time that is left, not how late an answer is still useful.
        result.latestUsefulStart = job.deadline - scaled(predictedRun(job.spec), factors.fastest);
    }
    return result;
}

void FleetDispatcher::setRates(JobOrderView &view, const ServiceId &service, TimePoint now) const
{
    double own = 0;
    for (const auto &[id, kept] : m_keptUpstreams) {
        const UpstreamEntry &entry = kept.ledger.entry();
        own += entry.service == service && mayPlaceOn(kept, now) ? entry.capacity.cpu.value() : 0;
    }
    // Other VMs' queues drain from the same capacity: this VM's waiting work gets a share of all
    // capacity in proportion to it, and its own upstreams at least.
    const double total = own + static_cast<double>(m_sharedRoom.usableCpu());
    const CoreWork waiting = std::max(remainingWorkOf(view.jobs), 1.0);
    const double shared = total * waiting / (waiting + m_sharedRoom.queuedWork());
    view.rate = usableCpuShare * std::max(own, shared);
    view.arrivalRate = m_queueProfiles.arrivalRate(service, now);
}

std::vector<JobNumber> FleetDispatcher::orderWithoutPriorities(const std::vector<JobNumber> &jobs,
                                                               TimePoint now) const
{
    // Order: started jobs (rank 0), jobs that have not started (1), late jobs (2). Ranks 0 and 1
    // are ordered by the latest start in time. Late jobs are ordered by size, the smallest first,
    // so that most callers get an answer. A late job that is nearly done stays in rank 0, ordered
    // by its deadline: it needs little more room, and breaking it off would waste its finished
    // work.
    using Rank = std::tuple<int, Duration::rep, std::uint32_t, JobNumber>;
    std::vector<Rank> order;
    const RunFactors factors = runFactors();
    for (const JobNumber number : jobs) {
        const Job &job = m_jobs.at(number);
        const TimePoint latestStart = latestStartOf(job, factors);
        const bool isLate = latestStart < now;
        const bool isNearlyDone = job.waiting * nearlyDoneDivisor <= job.tasks.size();
        const bool comesFirst = !job.isUnstarted() && (!isLate || isNearlyDone);
        const int rank = comesFirst ? 0 : isLate ? 2 : 1;
        Duration::rep key = latestStart.time_since_epoch().count();
        if (rank == 2) {
            key = static_cast<Duration::rep>(job.waiting) * job.spec.need.cpu.value()
                  * predictedRun(job.spec).count();
        } else if (isLate) {
            key = job.deadline.time_since_epoch().count();
        }
        order.emplace_back(rank, key, job.spec.priority, number);
    }
    std::ranges::sort(order);
    std::vector<JobNumber> result;
    result.reserve(order.size());
    for (const Rank &it : order) {
        result.push_back(std::get<JobNumber>(it));
    }
    return result;
}

JobOrder FleetDispatcher::waitingJobsInOrder(TimePoint now) const
{
    std::map<ServiceId, std::vector<JobNumber>> jobsByService;
    for (const auto &[number, job] : m_jobs) {
        if (job.waiting > 0) {
            jobsByService[job.spec.service].push_back(number);
        }
    }
    JobOrder result;
    for (const auto &[service, jobs] : jobsByService) {
        JobOrder order;
        JobOrderView view{now, 0, 0, {}};
        if (m_queueProfiles.hasSeveralPriorities(service, now)) {
            const RunFactors factors = runFactors();
            view.jobs.reserve(jobs.size());
            for (const JobNumber it : jobs) {
                view.jobs.push_back(waitingJobOf(it, m_jobs.at(it), factors));
            }
            setRates(view, service, now);
        }
        if (view.rate > 0) {
            order = orderWaitingJobs(view);
            order.order.resize(order.order.size() - order.hopeless.size());
        } else {
            // Without capacity nothing can be predicted; it may return within a heartbeat.
            order.order = orderWithoutPriorities(jobs, now);
        }
        // Services do not compete for upstreams, so each gets its part of the round.
        const std::size_t part = std::max<std::size_t>(maxJobsPerRound / jobsByService.size(), 1);
        const auto append = [&](auto &all, const auto &some) {
            all.insert(all.end(), some.begin(),
                       some.begin() + static_cast<std::ptrdiff_t>(std::min(part, some.size())));
        };
        append(result.order, order.order);
        append(result.hopeless, order.hopeless);
    }
    return result;
}

void FleetDispatcher::dispatch(TimePoint now, FleetActions &actions)
{
    if (!m_isDispatchDue && now < m_dispatchAgainAt) {
        return;
    }
    m_isDispatchDue = false;
    m_dispatchAgainAt = TimePoint::max();
    const JobOrder round = waitingJobsInOrder(now);
    if (round.order.empty() && round.hopeless.empty()) {
        return;
    }
    // While all upstreams are full, no job needs to be compared with each of them.
    const std::map<ServiceId, std::uint32_t> largest = largestFreeCpu(now);
    const auto canStartHere = [&](const Job &job) {
        const auto it = largest.find(job.spec.service);
        return it != largest.end() && job.spec.need.cpu.value() <= it->second;
    };
    const auto ownCpu = static_cast<double>(ownUsableCpu(now));
    CoreWork workAhead = 0;
    for (const JobNumber number : round.order) {
        Job &job = m_jobs.at(number);
        if (!m_endingRuns.mayExecute(job.spec.id, now) && !job.isWithdrawn) {
            const Duration ownWait =
                    ownCpu > 0 ? Duration{static_cast<Duration::rep>(workAhead / ownCpu)}
                               : job.deadline - now;
            dispatchJob(number, job, canStartHere(job), ownWait, now, actions);
            workAhead += expectedWork(job.spec, job.waiting);
        }
    }
    for (const HopelessJob &it : round.hopeless) {
        startOrRefuse(it, canStartHere(m_jobs.at(it.number)), now, actions);
    }
}

void FleetDispatcher::startOrRefuse(const HopelessJob &hopeless, bool canStartHere, TimePoint now,
                                    FleetActions &actions)
{
    Job &job = m_jobs.at(hopeless.number);
    const bool mayStart = !m_endingRuns.mayExecute(job.spec.id, now);
    if (mayStart && placesFor(job.spec, job.deadline - now, now) >= job.waiting) {
        return dispatchJob(hopeless.number, job, canStartHere, Duration{}, now, actions);
    }
    endJob(hopeless.number,
           JobTurnedAway{TurnAwayReason::Yielded,
                         spreadRetryAfter(hopeless.drainTime, job.spec.id)},
           now, actions);
}

} // namespace rattandock::fleet
