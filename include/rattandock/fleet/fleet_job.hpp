#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "rattandock/base/ids.hpp"
#include "rattandock/base/time.hpp"
#include "rattandock/fleet/room.hpp"

namespace rattandock::fleet {

using ServiceId = StrongValue<struct ServiceIdTag, std::string>;
using QueueId = StrongValue<struct QueueIdTag, std::string>;

/// A job of equal tasks whose caller waits for the answer. All tasks must complete.
struct FleetJob
{
    JobId id;
    QueueId queue;
    ServiceId service;
    /// Passed to each task as it came.
    std::string payload;
    std::uint32_t taskCount = 0;
    Room need;
    /// The caller's rough guess of a task's run time.
    Duration estimate{};
    /// Label that an upstream must have; any if empty.
    std::string requiredLabel;
    /// Rack where the task's data is; none if empty.
    RackId preferredRack;
    /// Most tasks of the job on one upstream; 0 for no limit.
    std::uint32_t maxPerUpstream = 0;
    /// How long the caller waits for the answer, from the submission.
    Duration deadline{};
    /// The answer is in time within this span of the submission.
    Duration objective{};
    /// The job fails when one of its tasks has failed this often.
    std::uint32_t maxAttempts = 1;
    /// 0 comes first among jobs that are equally urgent.
    std::uint32_t priority = 0;

    friend bool operator==(const FleetJob &, const FleetJob &) = default;
};

} // namespace rattandock::fleet
