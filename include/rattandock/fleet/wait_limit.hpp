#pragma once

#include <optional>

#include "rattandock/base/time.hpp"

namespace rattandock::fleet {

/// Returns the time until which a job may wait for the start of its first task. The job is refused
/// if none has started by then.
///
/// Load pattern: bursts in which long tasks wait for a fast upstream, or short tasks for any
/// upstream, until hardly any time is left before the deadline. Most of these jobs fail, and their
/// callers get the answer too late to retry elsewhere. A refusal at half of the time leaves the
/// caller as much time as it has already waited. Used where no priorities compete; else
/// orderWaitingJobs() decides which jobs are hopeless. Thread safety: any thread.
TimePoint firstStartLimit(TimePoint arrived, TimePoint deadline);

/// Shortest run time to allow for, relative to the expected one, as estimates may be too high. A
/// job is refused for its estimate alone only if even such a run would miss the deadline.
inline constexpr double minRunTimeFactor = 0.6;

/// Time before the end of a job at which a VM returns offered tasks that it has not started. Covers
/// two checks at intervals of 20 ms, the network, and one such check at the offering VM.
inline constexpr Duration offerReturnReserve = std::chrono::milliseconds{60};
/// Time before the end of a job at which the offering VM withdraws offers that were not answered.
/// Shorter than `offerReturnReserve`, so that answers in time make it unnecessary; two checks at
/// intervals of 20 ms, so that the answer arrives before the job ends.
inline constexpr Duration offerWithdrawalReserve = std::chrono::milliseconds{40};

/// Returns the time until which a task offered by another VM may wait for its start. It is returned
/// to that VM if it has not started by then. `lastReturn`: when it must be returned at the latest
/// so that the other VM can still refuse the job. `startWithin` is set if the tasks may wait in
/// this VM's queue.
///
/// Load pattern: several VMs offer tasks based on the same report of free capacity. Without this
/// limit, the tasks that arrive last are queued behind the others until their deadline, although
/// capacity becomes free on other VMs.
/// Thread safety: any thread.
TimePoint offeredStartLimit(TimePoint arrived, TimePoint lastReturn,
                            std::optional<Duration> startWithin);

} // namespace rattandock::fleet
