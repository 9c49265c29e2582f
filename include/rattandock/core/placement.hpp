#pragma once

#include <random>
#include <span>
#include <string_view>
#include <variant>
#include <vector>

#include "rattandock/core/placement_policy.hpp"
#include "rattandock/core/upstream_table.hpp"

namespace rattandock::core {

/// What placement knows of a queued task.
struct PlacementRequest
{
    FitMask fit = 0;
    Duration estimate{};
    /// The job has no other unstarted task.
    bool lastOfJob = false;
    /// The task may be passed over for a slot that is free soon.
    bool mayWait = false;
    /// Running tasks of the job by rack. Shape: may be shorter than the number of racks.
    std::span<const std::uint16_t> jobRacks;
    TimePoint now;
};

struct PlacementChoice
{
    UpstreamIndex upstream;
    /// Stable name of why this upstream was chosen.
    std::string_view reason;
};

/// A busy faster slot ends the task sooner than any free one.
struct WaitForSlot
{
    /// Decide again then at the latest. Later than the request's now.
    TimePoint until;
};

/// No free slot fits the task.
struct NoFreeSlot
{
};

using PlacementDecision = std::variant<PlacementChoice, WaitForSlot, NoFreeSlot>;

/// Earliest expected end, counting the round trip to other zones and, for a task that may wait,
/// busy slots that are expected to be free soon.
struct SpeedAwarePolicy
{
    std::mt19937_64 random;
    /// Tasks that wait for a slot of each class in this round.
    std::vector<std::pair<SlotClass, std::uint32_t>> claims;

    PlacementDecision choose(const UpstreamTable &table, const PlacementRequest &request);
};

/// A free upstream at random.
struct RandomPolicy
{
    std::mt19937_64 random;

    PlacementDecision choose(const UpstreamTable &table, const PlacementRequest &request);
};

/// The next free upstream in order of index.
struct RoundRobinPolicy
{
    std::size_t next = 0;

    PlacementDecision choose(const UpstreamTable &table, const PlacementRequest &request);
};

/// The free upstream with the fewest running tasks.
struct LeastOutstandingPolicy
{
    PlacementDecision choose(const UpstreamTable &table, const PlacementRequest &request) const;
};

/// The one with fewer running tasks of two free upstreams at random.
struct PowerOfTwoChoicesPolicy
{
    std::mt19937_64 random;

    PlacementDecision choose(const UpstreamTable &table, const PlacementRequest &request);
};

/// Chooses an upstream for a task by the configured policy. Thread safety: none.
class Placement
{
public:
    Placement(PlacementPolicyKind kind, std::uint64_t seed);

    /// Begins a pass over the queue: no task waits for a slot yet.
    void beginRound();

    PlacementDecision choose(const UpstreamTable &table, const PlacementRequest &request);

private:
    std::variant<SpeedAwarePolicy, RandomPolicy, RoundRobinPolicy, LeastOutstandingPolicy,
                 PowerOfTwoChoicesPolicy>
            m_policy;
};

} // namespace rattandock::core
