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
    /// Standard deviation of the logarithm of actual against expected run time.
    double runTimeSpread = 0.4;
    /// How long the task may wait for a faster upstream; 0 if it starts on the best free one.
    Duration waitForFaster{};
    /// Expected run time on the fastest upstream with free room at another VM; 0 if there is none.
    Duration runTimeElsewhere{};
};

/// Returns the probability that a run ends within `time`. Run times are taken as log-normal around
/// `expected`. Thread safety: any thread.
double chanceToEndWithin(Duration expected, Duration time, double runTimeSpread);

/// Returns the longest expected run time, at least `limits.fastestRunTime`, with which an upstream
/// is useful for the task. If `limits.runTimeElsewhere` is set, upstreams of other VMs with a
/// clearly smaller chance than that one are not. Thread safety: any thread.
Duration maxUsefulRunTime(const PlacementLimits &limits);

/// Returns true if an offer to another VM gives the task a clearly better chance to end before the
/// deadline than a start on the best of the candidates. False without candidates. Thread safety:
/// any thread.
bool isBetterElsewhere(const std::vector<PlacementCandidate> &candidates,
                       const PlacementLimits &limits);

/// Returns true if no run has a reasonable chance to end before the deadline, not even on the
/// fastest upstream. Thread safety: any thread.
bool isHopeless(const PlacementLimits &limits);

/// Returns the index of the upstream to start the task on, or `std::nullopt` if the task should
/// wait for a faster upstream or hardly can end before the deadline on any candidate.
///
/// Load pattern: tasks that need 27 of the 64 or 96 cores of an upstream, upstream speeds that
/// differ by more than a factor of two, and long tasks that end in time only on the fast
/// upstreams. The upstreams that give the task nearly its best chance to end before the deadline
/// are considered. Of these, the slowest that meets the objective is preferred, so that fast
/// upstreams stay free for the tasks that need them, and among upstreams of similar speed the one
/// with the least CPU left after the start, which limits fragmentation (best fit). The task waits
/// for a faster upstream only if that raises its chance even after the whole of `waitForFaster`.
std::optional<std::size_t> choosePlacement(const std::vector<PlacementCandidate> &candidates,
                                           const PlacementLimits &limits);

} // namespace rattandock::fleet
