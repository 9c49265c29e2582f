#pragma once

#include <cstdint>

#include "rattandock/base/ids.hpp"
#include "rattandock/fleet/admission.hpp"

namespace rattandock::fleet {

/// Inputs of the value of one waiting job.
struct JobValueInputs
{
    std::uint32_t priority = 0;
    /// Time left until the latest start with which the objective is met; negative afterwards.
    Duration untilLatestStart{};
    /// Time left until the latest start of an answer that is late but still useful.
    Duration untilLatestUsefulStart{};
    /// Expected CPU time of the tasks that wait.
    CoreWork remainingWork = 0;
    /// Expected CPU time of the tasks that run or have ended. It is lost if the job is given up.
    CoreWork spentWork = 0;
};

/// Value of a job to its caller, in relation to that of other waiting jobs.
struct JobValue
{
    double value = 0;
    /// Value gained for each unit of CPU time that the job still needs.
    double perWork = 0;
};

/// Returns the weight of a job of this priority; 0 is the most important priority.
double priorityWeight(std::uint32_t priority);

/// Returns what the job is worth if it gets capacity next.
///
/// Load pattern: queues whose jobs need from 5 to 50 core-seconds each compete for too little
/// capacity. The value per unit of work decides which of them yield, since one large job takes the
/// place of several small ones. The value falls once the objective has passed. Work that was spent
/// already raises it, as it would be wasted.
/// Thread safety: any thread.
JobValue jobValue(const JobValueInputs &inputs);

/// Protection of a job against being passed over for its priority or its size.
struct JobProtection
{
    /// The job never yields to a job without protection, whatever the value of either.
    bool isGuaranteed = false;
    /// The job competes with the work of a small job of its queue instead of its own.
    bool isSizeNeutral = false;
};

/// Returns the protection of the job. It is drawn by a hash of the job id, so that all VMs agree on
/// it without messages.
///
/// Load pattern: bursts of more than the capacity last for seconds, and by value per work alone the
/// queue of least priority and the largest jobs of each queue would get nothing. A guaranteed share
/// of the jobs of each queue and size keeps a minimum for each of them.
/// Thread safety: any thread.
JobProtection jobProtection(const JobId &id);

/// Returns the work by which a job competes: its own work, or for a size-neutral job that of a
/// small job of its queue if that is less. `queueMeanWork` is 0 if unknown.
CoreWork competingWork(CoreWork own, CoreWork queueMeanWork, const JobProtection &protection);

/// Returns the retry-after time of a refusal, given the time in which the work before the job
/// drains: spread by a hash of the job id by plus or minus a quarter, so that callers refused
/// together do not return together, and within 200 ms to 5 s. Thread safety: any thread.
Duration spreadRetryAfter(Duration drainTime, const JobId &id);

} // namespace rattandock::fleet
