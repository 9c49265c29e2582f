#pragma once

#include <cstdint>
#include <optional>

#include "rattandock/base/time.hpp"

namespace rattandock::fleet {

/// Processor time: thousandths of a core times microseconds.
using CoreWork = double;

/// What a VM knows when a job arrives.
struct AdmissionView
{
    /// Thousandths of a core that can run tasks, here and at reachable VMs.
    std::uint64_t usableCpu = 0;
    /// Queued work that goes before the job.
    CoreWork ahead = 0;
    /// The job fits into free room at once.
    bool fitsNow = false;
    /// The VM has just started and expects upstreams at any moment.
    bool isStarting = false;
    /// Run time of one task, and of all of them one after the other.
    Duration longest{};
    CoreWork work = 0;
    Duration untilObjective{};
    Duration untilDeadline{};
};

/// Nothing if the job is worth queueing; else how long until there is room again.
///
/// Load pattern: bursts of 1.3 to 1.8 times what fits. A job whose predicted wait exceeds what its
/// objective leaves would end late and delay others until they are late too, so it is refused at
/// once and true to the word: none of its tasks has started.
std::optional<Duration> refusalRetryAfter(const AdmissionView &view);

} // namespace rattandock::fleet
