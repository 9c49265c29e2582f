#pragma once

#include <random>
#include <span>
#include <string_view>
#include <variant>
#include <vector>

#include "rattandock/core/placement_policy.hpp"
#include "rattandock/core/upstream_table.hpp"

namespace rattandock::core {

/// Properties of a queued task that decide on which upstream it starts.
struct PlacementRequest
{
    FitMask fit = 0;
    /// Estimated run time on an upstream of speed 1.
    Duration estimate{};
    /// True if the job has no other unstarted task.
    bool lastOfJob = false;
    /// True if the task may wait for a busy slot although a free slot fits it.
    bool mayWait = false;
    /// Number of running tasks of the job, indexed by rack. Racks beyond its end have none.
    std::span<const std::uint16_t> jobRacks;
    TimePoint now;
};

struct PlacementChoice
{
    UpstreamIndex upstream;
    /// Reason for the choice: one of placementReasons.
    std::string_view reason;
};

/// The task is expected to end sooner on a busy, faster slot than on any free one.
struct WaitForSlot
{
    /// Time by which the decision must be repeated at the latest. Later than the `now` of the
    /// request.
    TimePoint until;
};

/// No free slot fits the task.
struct NoFreeSlot
{
};

using PlacementDecision = std::variant<PlacementChoice, WaitForSlot, NoFreeSlot>;

/// Chooses the slot on which the task is expected to end first. Counts the round trip to other
/// availability zones. For a task that may wait, it also considers busy slots by their expected
/// end.
struct SpeedAwarePolicy
{
    std::mt19937_64 random;
    /// Number of tasks that wait for a slot of each class in this round.
    std::vector<std::pair<SlotClass, std::uint32_t>> reservations;

    PlacementDecision choose(const UpstreamTable &table, const PlacementRequest &request);
};

/// Chooses a free upstream at random.
struct RandomPolicy
{
    std::mt19937_64 random;

    PlacementDecision choose(const UpstreamTable &table, const PlacementRequest &request);
};

/// Chooses the next free upstream in order of index.
struct RoundRobinPolicy
{
    std::size_t next = 0;

    PlacementDecision choose(const UpstreamTable &table, const PlacementRequest &request);
};

/// Chooses the free upstream with the fewest running tasks.
struct LeastOutstandingPolicy
{
    PlacementDecision choose(const UpstreamTable &table, const PlacementRequest &request) const;
};

/// Draws two free upstreams at random and chooses the one with fewer running tasks.
struct PowerOfTwoChoicesPolicy
{
    std::mt19937_64 random;

    PlacementDecision choose(const UpstreamTable &table, const PlacementRequest &request);
};

/// Chooses an upstream for each task by the configured policy. Thread safety: none.
class Placement
{
public:
    Placement(PlacementPolicyKind kind, std::uint64_t seed);

    /// Begins a pass over the queue and clears the reservations of busy slots.
    void beginRound();

    PlacementDecision choose(const UpstreamTable &table, const PlacementRequest &request);

private:
    std::variant<SpeedAwarePolicy, RandomPolicy, RoundRobinPolicy, LeastOutstandingPolicy,
                 PowerOfTwoChoicesPolicy>
            m_policy;
};

} // namespace rattandock::core
