#pragma once

#include <array>
#include <functional>
#include <vector>

#include "rattandock/fleet/overdue.hpp"
#include "upstream_replay_jobs_test.hpp"

/// Rules, options and results of a replay on the upstreams of one VM.
namespace rattandock::fleet::upstream_replay {

using namespace std::chrono_literals;

/// Returns the last part of a candidate's rank, of which the least is chosen, from the sorted sizes
/// that arrived last and the CPU before and after the start.
using RoomRank = std::function<std::uint32_t(const std::vector<std::uint32_t> &sizes,
                                             std::uint32_t before, std::uint32_t left)>;

/// What a rule on overdue runs can use.
struct OverdueView
{
    OverdueInputs inputs;
    double spread = 0;
    /// Estimated share of runs that hang.
    double hangRate = 0;
    /// True if a run on the upstream was overdue since this one started, and none has succeeded
    /// after that.
    bool isUpstreamSuspected = false;
    /// True if the run does hang, for an upper bound of what a rule can reach.
    bool hangs = false;
};
using OverdueRule = std::function<OverdueAction(const OverdueView &)>;

/// Today's rules.
inline std::uint32_t rankByBestFit(const std::vector<std::uint32_t> & /*sizes*/,
                                   std::uint32_t /*before*/, std::uint32_t left)
{
    return left;
}
inline OverdueAction decideByFactor(const OverdueView &view)
{
    return decideOverdueAction(view.inputs);
}

struct Options
{
    std::uint64_t seed = 1;
    /// Arriving work, in multiples of `usableShare` of the capacity.
    double load = 1;
    std::size_t upstreams = 10;
    Duration length = 30s;
    /// Number of upstreams that hang at any time; others take their place every 4 s.
    std::size_t hanging = 0;
    bool hasSpeeds = true;
};

/// Jobs of one queue that arrived and that were completed before the caller's deadline.
struct QueueResult
{
    double jobs = 0;
    double completed = 0;
    /// Those of the tenth with the most work.
    double largeJobs = 0;
    double largeCompleted = 0;

    double share() const { return completed / jobs; }
    double largeShare() const { return largeCompleted / largeJobs; }
    void add(const QueueResult &other)
    {
        jobs += other.jobs;
        completed += other.completed;
        largeJobs += other.largeJobs;
        largeCompleted += other.largeCompleted;
    }
};

struct Result
{
    /// By the index of the queue's load.
    std::array<QueueResult, queueLoads.size()> queues{};
    double cores = 0;
    double usedCoreSeconds = 0;
    double tasks = 0;
    /// Tasks of which the first run was started early enough for the caller's objective.
    double startedInTime = 0;
    /// Tasks that ended before the caller's deadline.
    double endedInTime = 0;
    double jobs = 0;
    double completed = 0;
    /// 1 for a job that ended within the caller's objective, 0.2 within three times that.
    double value = 0;
    double stops = 0;
    /// Stopped runs that did not hang and would have ended before the deadline.
    double stopsInVain = 0;

    void add(const Result &other)
    {
        cores = other.cores;
        usedCoreSeconds += other.usedCoreSeconds;
        tasks += other.tasks;
        startedInTime += other.startedInTime;
        endedInTime += other.endedInTime;
        jobs += other.jobs;
        completed += other.completed;
        value += other.value;
        stops += other.stops;
        stopsInVain += other.stopsInVain;
        for (std::size_t n = 0; n < queues.size(); ++n) {
            queues.at(n).add(other.queues.at(n));
        }
    }
};

} // namespace rattandock::fleet::upstream_replay
