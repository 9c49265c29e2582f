#pragma once

#include <map>
#include <optional>
#include <vector>

#include "rattandock/core/job_outcome.hpp"
#include "rattandock/core/team_shares.hpp"

namespace rattandock::core {

/// Predicts from queued work and capacity whether a job would end in time.
///
/// Work is counted as estimated run time. A job is admitted if, for its own and each later
/// deadline, the work that is due by then fits the slot time until then, and if its team's work
/// fits what the other waiting teams leave. Thread safety: none.
class Admission
{
public:
    struct Limits
    {
        std::size_t maxTasks = 0;
        std::uint64_t maxBytes = 0;
    };

    /// What the fleet can do.
    struct Capacity
    {
        /// Slots that may get work.
        double slots = 0;
        /// Mean cost over these slots.
        double meanCost = 1;
        /// Least cost of them.
        double fastestCost = 1;
        /// Slot time that running tasks need yet if their estimates are right.
        Duration running{};
    };

    struct Queue
    {
        std::size_t tasks = 0;
        std::uint64_t bytes = 0;
    };

    /// A submission. Sizes are sums over its tasks.
    struct Request
    {
        /// Nothing for a team that has not been seen.
        std::optional<TeamIndex> team;
        Duration deadline{};
        std::size_t tasks = 0;
        std::uint64_t bytes = 0;
        Duration work{};
        Duration longest{};
    };

    explicit Admission(Limits limits);

    /// Nothing if the job would end in time, else the refusal with the time until there is room.
    std::optional<NotRun> refusalFor(const Request &request, const Queue &queue,
                                     const Capacity &capacity, const TeamShares &shares,
                                     TimePoint now) const;

    /// Queued work by team and deadline. A removal must match an addition.
    void add(TeamIndex team, TimePoint deadline, Duration work, TimePoint now);
    void remove(TeamIndex team, TimePoint deadline, Duration work);

    /// Learns how far run times are from their expectation.
    void observe(Duration expected, Duration measured);

private:
    using Bucket = std::int64_t;
    using Demand = std::map<Bucket, Duration>;
    struct TeamDemand
    {
        Demand byDeadline;
        Duration total{};
        /// Work added per unit of time of late, as of the given time.
        double rate = 0;
        TimePoint rateTime;
    };
    /// What another team may take of the slots.
    struct Need
    {
        double weight = 0;
        double slotSeconds = 0;
    };

    static Bucket bucketOf(TimePoint deadline);
    static TimePoint endOf(Bucket bucket);
    static double rateOf(const TeamDemand &demand, TimePoint now);
    /// Queued work in slot time.
    double slotTime(Duration work, const Capacity &capacity) const;
    double excess(const Request &request, const Capacity &capacity, TimePoint now) const;
    std::vector<Need> othersNeeds(const Request &request, const Capacity &capacity,
                                  const TeamShares &shares, TimePoint now) const;
    double teamExcess(const Request &request, const Capacity &capacity, const TeamShares &shares,
                      TimePoint now) const;

    Limits m_limits;
    Demand m_demand;
    std::vector<TeamDemand> m_teams;
    Duration m_total{};
    /// Mean of measured over expected run time.
    double m_meanRatio = 1;
    /// 95% of tasks take at most this factor of their expectation; natural logarithm.
    double m_logHighRatio = 0;
};

} // namespace rattandock::core
