#pragma once

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

/// Returns the time until which tasks offered by another VM may wait for their first start. They
/// are returned to that VM if none has started by then.
///
/// Load pattern: several VMs offer tasks based on the same report of free capacity. Without this
/// limit, the tasks that arrive last are queued behind the others until their deadline, although
/// capacity becomes free on other VMs.
/// Thread safety: any thread.
TimePoint offeredStartLimit(TimePoint arrived);

} // namespace rattandock::fleet
