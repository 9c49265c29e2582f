#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "rattandock/base/ids.hpp"
#include "rattandock/base/time.hpp"
#include "rattandock/fleet/resources.hpp"

namespace rattandock::fleet {

using ServiceId = StrongValue<struct ServiceIdTag, std::string>;
using QueueId = StrongValue<struct QueueIdTag, std::string>;

/// A job of identical tasks whose caller waits for the answer. It succeeds if all tasks complete.
struct FleetJob
{
    JobId id;
    QueueId queue;
    ServiceId service;
    /// Passed to each task unchanged.
    std::string payload;
    std::uint32_t taskCount = 0;
    /// Resources that each task needs.
    Resources need;
    /// The caller's estimate of a task's run time. May be inaccurate.
    Duration estimate{};
    /// Expected run time of a task on an upstream of average speed; 0 until a dispatcher has set
    /// it. Each VM predicts it from its own statistics, so it is not sent to other VMs.
    Duration predicted{};
    /// Label that an upstream must have. If empty, any upstream may run the job.
    std::string requiredLabel;
    /// Rack that holds the tasks' data; empty if there is no preference.
    RackId preferredRack;
    /// Maximum number of the job's tasks on one upstream; 0 for no limit.
    std::uint32_t maxPerUpstream = 0;
    /// How long the caller waits for the answer, from the submission.
    Duration deadline{};
    /// Target time from the submission to the answer.
    Duration objective{};
    /// Part of `objective` that grows with the run time, in multiples of `estimate`; 0 if the
    /// objective is fixed. Not sent to other VMs, which receive the time that is left.
    double stretch = 0;
    /// The job fails when one of its tasks has failed this many times.
    std::uint32_t maxAttempts = 1;
    /// Lower values come first among jobs that are equally urgent.
    std::uint32_t priority = 0;

    friend bool operator==(const FleetJob &, const FleetJob &) = default;
};

/// Returns the expected run time of a task on an upstream of average speed: the prediction, or the
/// caller's estimate if there is none. Thread safety: any thread.
inline Duration predictedRun(const FleetJob &job)
{
    return job.predicted > Duration{} ? job.predicted : job.estimate;
}

} // namespace rattandock::fleet
