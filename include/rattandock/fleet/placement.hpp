#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "rattandock/base/time.hpp"

namespace rattandock::fleet {

/// An upstream that has room for the task.
struct PlacementCandidate
{
    /// The caller's own address of it.
    std::size_t index = 0;
    /// Thousandths of a core that stay free after the start.
    std::uint32_t cpuLeft = 0;
    /// Expected run time of the task there.
    Duration expected{};
};

struct PlacementNeed
{
    /// Time left until the answer counts as late, and until the caller gives up.
    Duration untilObjective{};
    Duration untilDeadline{};
    /// Expected run time on the fastest upstream of the fleet, free or not.
    Duration fastest{};
};

/// A run is safe if this multiple of its expected time is left before the deadline: run times
/// spread by 40% about the estimates, so one of 25 runs takes longer than twice its expected time.
inline constexpr double safeFactor = 2.0;

/// Picks the upstream for one task; nothing if the task should wait for a faster one, or could not
/// end before the deadline on any.
///
/// Load pattern: tasks of 27 of 64 or 96 cores on upstreams whose speeds differ by more than two,
/// and a few long tasks that end in time only on the fast ones. The slowest upstream that is still
/// in time is taken, so that fast ones stay free for tasks that need them. A long task waits for a
/// fast upstream while that is safe. Among upstreams of like speed the one with the least room
/// left is taken, so that large holes stay whole.
std::optional<std::size_t> choosePlacement(const std::vector<PlacementCandidate> &candidates,
                                           const PlacementNeed &need);

} // namespace rattandock::fleet
