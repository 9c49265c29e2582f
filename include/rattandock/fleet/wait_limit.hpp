#pragma once

#include "rattandock/base/time.hpp"

namespace rattandock::fleet {

/// Until when a job may wait for its first start; then it is turned away.
///
/// Load pattern: bursts in which long tasks wait for a fast upstream, or short ones for any, until
/// next to nothing of the caller's time is left. Most of them fail then, and their callers learn it
/// too late to turn elsewhere; a refusal at half of the time leaves them as much as they have
/// waited. Thread safety: any thread.
TimePoint firstStartLimit(TimePoint arrived, TimePoint deadline);

/// Until when tasks that another VM offered may wait for their first start; then they go back.
///
/// Load pattern: several VMs offer tasks on the same report of free room. Those that came too late
/// waited behind others until their deadline, while room became free elsewhere.
/// Thread safety: any thread.
TimePoint offeredStartLimit(TimePoint arrived);

} // namespace rattandock::fleet
