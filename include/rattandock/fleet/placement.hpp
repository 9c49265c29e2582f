#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "rattandock/base/time.hpp"

namespace rattandock::fleet {

/// An upstream with enough free capacity for the task.
struct PlacementCandidate
{
    /// Index of the upstream in the caller's own list.
    std::size_t index = 0;
    /// CPU that stays free after the start, in thousandths of a core.
    std::uint32_t cpuLeft = 0;
    /// Expected run time of the task on this upstream.
    Duration expected{};
};

/// Time limits of the task to place.
struct PlacementLimits
{
    /// Time left until the answer counts as late.
    Duration untilObjective{};
    /// Time left until the caller stops waiting for the answer.
    Duration untilDeadline{};
    /// Expected run time on the fastest upstream of the fleet, whether it is free or busy.
    Duration fastestRunTime{};
};

/// A run is safe if at least this multiple of its expected run time is left until the deadline. Run
/// times vary by 40% around the estimates, so one of 25 runs exceeds twice its expected run time.
inline constexpr double deadlineSafetyFactor = 2.0;

/// Returns the index of the upstream to start the task on, or `std::nullopt` if the task should
/// wait for a faster upstream or cannot end before the deadline on any candidate.
///
/// Load pattern: tasks that need 27 of the 64 or 96 cores of an upstream, upstream speeds that
/// differ by more than a factor of two, and a few long tasks that end in time only on the fast
/// upstreams. The slowest upstream that meets the objective is preferred, so that fast upstreams
/// stay free for the tasks that need them. A long task waits for a fast upstream as long as a run
/// there is safe. Among upstreams of similar speed, the one with the least CPU left after the start
/// is preferred, which limits fragmentation (best fit).
std::optional<std::size_t> choosePlacement(const std::vector<PlacementCandidate> &candidates,
                                           const PlacementLimits &limits);

} // namespace rattandock::fleet
