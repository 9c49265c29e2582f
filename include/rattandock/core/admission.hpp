#pragma once

#include <map>
#include <optional>
#include <vector>

#include "rattandock/core/job_outcome.hpp"
#include "rattandock/core/team_shares.hpp"

namespace rattandock::core {

/// Decides from the queued work and the capacity whether a job can meet its deadline.
///
/// Work is the sum of estimated run times. A job is admitted if two conditions hold: for its own
/// and each later deadline, the work due by that deadline fits the slot time available until then;
/// and the work of its team fits the slot time that the other active teams leave. Thread safety:
/// none.
class Admission
{
public:
    /// Upper bounds on the tasks in the queue and their payload bytes.
    struct Limits
    {
        std::size_t maxTasks = 0;
        std::uint64_t maxBytes = 0;
    };

    /// Slots of the fleet, their speed and the work that occupies them.
    struct Capacity
    {
        /// Number of slots to which tasks may be assigned.
        double slots = 0;
        /// Mean cost of these slots. A cost is the run time relative to an upstream of speed 1.
        double meanCost = 1;
        /// Lowest cost among these slots.
        double fastestCost = 1;
        /// Remaining slot time of the running tasks according to their estimates.
        Duration running{};
    };

    /// Current size of the task queue.
    struct Queue
    {
        std::size_t tasks = 0;
        std::uint64_t bytes = 0;
    };

    /// A submitted job. `bytes` and `work` are sums over its tasks; `longest` is the largest
    /// estimate of a single task.
    struct Request
    {
        /// `std::nullopt` if the team has not submitted a job yet and is not configured.
        std::optional<TeamIndex> team;
        Duration deadline{};
        std::size_t tasks = 0;
        std::uint64_t bytes = 0;
        Duration work{};
        Duration longest{};
    };

    explicit Admission(Limits limits);

    /// Returns `std::nullopt` if the job is admitted, else the reason for the refusal and the time
    /// after which the caller may retry. The refusal has no such time if the job could not meet its
    /// deadline on an idle fleet either.
    std::optional<NotRun> refusalFor(const Request &request, const Queue &queue,
                                     const Capacity &capacity, const TeamShares &shares,
                                     TimePoint now) const;

    /// Adds work to, or removes it from, the queued work of a team that is due at a deadline.
    /// Precondition of remove(): at least this work was added for the same team and deadline.
    void add(TeamIndex team, TimePoint deadline, Duration work, TimePoint now);
    void remove(TeamIndex team, TimePoint deadline, Duration work);

    /// Updates the statistics of measured over expected run time with one completed task.
    void observeRunTime(Duration expected, Duration measured);

private:
    /// Number of a time interval into which deadlines are grouped.
    using Bucket = std::int64_t;
    using Demand = std::map<Bucket, Duration>;
    struct TeamDemand
    {
        Demand byDeadline;
        Duration total{};
        /// Exponentially decaying average of the work added per unit of time, valid at
        /// `arrivalRateUpdated`.
        double arrivalRate = 0;
        TimePoint arrivalRateUpdated;
    };
    /// Slot time that another active team is expected to use before the deadline of a request.
    struct CompetingDemand
    {
        double weight = 0;
        double slotSeconds = 0;
    };

    static Bucket deadlineBucket(TimePoint deadline);
    /// The earliest time in the bucket; deadlines are rounded down to it.
    static TimePoint bucketDeadline(Bucket bucket);
    static double currentArrivalRate(const TeamDemand &demand, TimePoint now);
    /// Expected slot time of queued work, in seconds.
    double slotSecondsFor(Duration work, const Capacity &capacity) const;
    /// Slot time in seconds that is missing at the most overloaded deadline; at most 0 if none is.
    double deadlineShortfall(const Request &request, const Capacity &capacity, TimePoint now) const;
    std::vector<CompetingDemand> competingDemands(const Request &request, const Capacity &capacity,
                                                  const TeamShares &shares, TimePoint now) const;
    /// Slot time in seconds by which the work of the team exceeds its share; at most 0 if it fits.
    double teamShareShortfall(const Request &request, const Capacity &capacity,
                              const TeamShares &shares, TimePoint now) const;

    Limits m_limits;
    Demand m_demand;
    std::vector<TeamDemand> m_teams;
    Duration m_total{};
    /// Moving average of measured over expected run time.
    double m_meanRatio = 1;
    /// Natural logarithm of the 95% quantile of measured over expected run time.
    double m_logQuantileRatio = 0;
};

} // namespace rattandock::core
