#include "rattandock/fleet/job_order.hpp"

#include <algorithm>
#include <queue>
#include <tuple>

namespace rattandock::fleet {

namespace {

/// Rate that is left for late jobs at least, relative to the whole rate. Some of the arriving work
/// is refused or late itself, so late jobs are served even if more work arrives than can be done.
constexpr double minLateRateShare = 0.25;
/// A job with less waiting time than this before it is next in line. It is not given up as too late
/// while its caller still waits, since the predictions are not that accurate.
constexpr Duration nextInLineTime = std::chrono::milliseconds{20};

/// A run may take longer than expected by this multiple of the expected time. Jobs are scheduled by
/// their latest start less this reserve, so long runs start before short ones with equal slack.
constexpr double runTimeReserve = 0.8;

/// Rank by which jobs yield, the lowest one first: protection, value per work, and the inverted
/// number, so that the later of two equal jobs yields.
using YieldRank = std::tuple<int, double, std::uint64_t>;

Duration drainTimeOf(CoreWork work, double rate)
{
    // Bounds the time so that it can be added to a time point.
    constexpr double maxMicros = 3600e6;
    return Duration{static_cast<Duration::rep>(std::min(work / std::max(rate, 1.0), maxMicros))};
}

YieldRank yieldRankOf(const WaitingJob &job, TimePoint now)
{
    const CoreWork competing = competingWork(job.remainingWork, job.queueMeanWork, job.protection);
    const JobValue value = jobValue({job.priority, job.latestStart - now,
                                     job.latestUsefulStart - now, competing, job.spentWork});
    const int tier = job.isStarted ? 2 : job.protection.isGuaranteed ? 1 : 0;
    return {tier, value.perWork, ~job.number.value()};
}

/// Returns the time by which the job is scheduled.
TimePoint plannedStartOf(const WaitingJob &job)
{
    if (!job.protection.isGuaranteed) {
        const auto run = static_cast<double>(job.expectedRun.count());
        return job.latestStart - Duration{static_cast<Duration::rep>(runTimeReserve * run)};
    }
    const auto slack = static_cast<double>((job.latestStart - job.arrived).count());
    return job.arrived + Duration{static_cast<Duration::rep>(guaranteedWaitShare * slack)};
}

struct Candidate
{
    const WaitingJob *job = nullptr;
    /// Time by which the job is scheduled.
    TimePoint planned;
    /// The job yields, or makes others yield, if it would start later.
    TimePoint latest;
};

/// Returns the jobs that have to start by their own due time; the others are appended to `late`.
std::vector<const WaitingJob *> scheduleInTime(const JobOrderView &view,
                                               std::vector<const WaitingJob *> &late)
{
    std::vector<Candidate> candidates;
    for (const WaitingJob &it : view.jobs) {
        const bool isLate = it.latestStart < view.now;
        if (!isLate) {
            candidates.push_back({&it, plannedStartOf(it), it.latestStart});
        } else if (it.isStarted && it.isNearlyDone && it.latestPossibleStart >= view.now) {
            candidates.push_back({&it, it.latestPossibleStart, it.latestPossibleStart});
        } else {
            late.push_back(&it);
        }
    }
    std::ranges::sort(candidates, {}, [](const Candidate &it) {
        return std::tuple{it.planned, it.job->priority, it.job->number};
    });
    using Entry = std::pair<YieldRank, std::size_t>;
    std::priority_queue<Entry, std::vector<Entry>, std::greater<>> accepted;
    std::vector<bool> hasYielded(candidates.size(), false);
    CoreWork total = 0;
    for (std::size_t n = 0; n < candidates.size(); ++n) {
        const Candidate &it = candidates[n];
        accepted.emplace(yieldRankOf(*it.job, view.now), n);
        total += it.job->remainingWork;
        while (!hasYielded[n]
               && drainTimeOf(total - it.job->taskWork, view.rate) > it.latest - view.now) {
            const std::size_t least = accepted.top().second;
            accepted.pop();
            hasYielded[least] = true;
            total -= candidates[least].job->remainingWork;
        }
    }
    std::vector<const WaitingJob *> inTime;
    for (std::size_t n = 0; n < candidates.size(); ++n) {
        (hasYielded[n] ? late : inTime).push_back(candidates[n].job);
    }
    return inTime;
}

} // namespace

JobOrder orderWaitingJobs(const JobOrderView &view)
{
    JobOrder result;
    result.order.reserve(view.jobs.size());
    std::vector<const WaitingJob *> late;
    CoreWork ahead = 0;
    for (const WaitingJob *const it : scheduleInTime(view, late)) {
        result.order.push_back(it->number);
        ahead += it->remainingWork;
    }
    result.inTime = result.order.size();

    std::vector<std::pair<YieldRank, const WaitingJob *>> ranked;
    ranked.reserve(late.size());
    for (const WaitingJob *const it : late) {
        ranked.emplace_back(yieldRankOf(*it, view.now), it);
    }
    std::ranges::sort(ranked, std::greater{}, [](const auto &it) { return it.first; });
    const double lateRate = std::max(view.rate - view.arrivalRate, minLateRateShare * view.rate);
    for (const auto &[rank, job] : ranked) {
        const Duration before = drainTimeOf(ahead, lateRate);
        const TimePoint start = view.now + before + drainTimeOf(job->remainingWork / 2, view.rate);
        const bool isTooLate = start > job->latestUsefulStart && before > nextInLineTime;
        if (!job->isStarted && (isTooLate || start > job->latestPossibleStart)) {
            result.hopeless.push_back({job->number, before});
        } else {
            result.order.push_back(job->number);
            ahead += job->remainingWork;
        }
    }
    for (const HopelessJob &it : result.hopeless) {
        result.order.push_back(it.number);
    }
    return result;
}

} // namespace rattandock::fleet
