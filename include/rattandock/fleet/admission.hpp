#pragma once

#include <cstdint>
#include <optional>

#include "rattandock/base/time.hpp"

namespace rattandock::fleet {

/// CPU time in millicore-microseconds (thousandths of a core times microseconds).
using CoreWork = double;

/// Inputs of the admission decision for a newly arrived job.
struct AdmissionInputs
{
    /// CPU that can run tasks, on this VM and on reachable VMs, in thousandths of a core.
    std::uint64_t usableCpu = 0;
    /// Queued work that is scheduled before the job.
    CoreWork queuedWorkAhead = 0;
    /// True if all tasks of the job fit into the free capacity now.
    bool fitsNow = false;
    /// True if the VM has started recently and its first upstreams are about to become available.
    bool isStarting = false;
    /// Lower bound of the run time of one task.
    Duration minRunTime{};
    /// Expected CPU time of all tasks of the job.
    CoreWork jobWork = 0;
    /// Time left until the job's objective, after which its answer counts as late.
    Duration untilObjective{};
    /// Time left until the deadline, after which the caller no longer waits for the answer.
    Duration untilDeadline{};
};

/// Returns `std::nullopt` if the job is to be admitted, or the retry-after time of the refusal: an
/// estimate of when capacity becomes free.
///
/// Load pattern: bursts of 1.3 to 1.8 times the capacity. A job whose predicted wait exceeds what
/// its objective allows would end late and make the jobs behind it late as well. It is therefore
/// refused on arrival, before any of its tasks has started.
std::optional<Duration> refusalRetryAfter(const AdmissionInputs &inputs);

} // namespace rattandock::fleet
