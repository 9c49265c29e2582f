#pragma once

#include <optional>

#include "rattandock/base/ids.hpp"
#include "rattandock/base/time.hpp"
#include "rattandock/fleet/lease_times.hpp"

namespace rattandock::fleet {

using namespace std::chrono_literals;

/// Identity, timeouts and limits of a FleetDispatcher.
struct FleetOptions
{
    VmId vm;
    Incarnation incarnation;
    ZoneId zone;
    LeaseTimes lease;
    /// Silence after which the link to another VM counts as lost.
    Duration peerSilence = 600ms;
    /// A VM without a link is considered failed, and its upstreams are taken over, when its row has
    /// not changed for this long. Equals two heartbeat intervals of the rows.
    Duration memberTimeout = 1400ms;
    /// Interval at which this VM decides which upstreams to claim or release.
    Duration assignmentInterval = 250ms;
    /// After its start this VM waits at most this long for other VMs to appear before it claims
    /// upstreams, so that they get their share.
    Duration settleTime = 1500ms;
    /// Another zone counts as reachable for this long after a successful probe of one of its
    /// upstreams.
    Duration zoneReachableTtl = 2000ms;
    /// An upstream whose row was removed is still used for this long. The platform states that rows
    /// may expire while the store is unavailable and are restored within 2 s.
    Duration unlistedGrace = 2500ms;
    /// The platform requires that an upstream gets no new work later than this after it has
    /// announced that it is draining.
    Duration drainLimit = 2000ms;
    /// No task may be started in a zone later than this after the operator requested its
    /// evacuation. The age of the requests is not checked if absent.
    std::optional<Duration> evacuationLimit = std::nullopt;
    /// Factor on the expected run time of a task on a rack other than the one that it requests. At
    /// least 1.
    double farRunFactor = 2;
    /// The answer is sent at least this long before the caller's deadline, so that it arrives in
    /// time.
    Duration answerMargin = 20ms;
    /// Maximum number of jobs on this VM that have not ended, waiting or running.
    std::size_t maxOpenJobs = 2000;
    /// Maximum number of tasks of these jobs together. A small request can ask for thousands of
    /// tasks, which take more memory than it.
    std::size_t maxOpenTasks = 20'000;
    /// A planned stop aborts the jobs that have not ended after this time. Must be shorter than the
    /// grace period that the platform gives a process to stop.
    Duration stopLimit = 4500ms;
};

} // namespace rattandock::fleet
