#pragma once

#include "rattandock/base/time.hpp"

namespace rattandock::fleet {

/// Inputs of the decision on a run that may be overdue.
struct OverdueInputs
{
    /// Time since the run started.
    Duration elapsed{};
    /// Expected run time of the run.
    Duration expected{};
    /// Number of runs of the same job that were already stopped as overdue.
    unsigned previousStops = 0;
    /// True if another run has succeeded on the upstream since this one started.
    bool hasUpstreamSucceededSince = false;
    /// Expected run time of a new run on another upstream.
    Duration restartRunTime{};
    /// Time left until the caller stops waiting for the answer.
    Duration untilDeadline{};
};

enum class OverdueAction : std::uint8_t {
    /// The run time is within the range of healthy runs.
    Wait,
    /// The upstream is suspected of hanging, but a new run cannot end before the deadline.
    Suspect,
    /// The upstream is suspected of hanging, and a new run on another one can end in time.
    Restart,
};

/// Decides whether a run is overdue and whether to restart its task on another upstream.
///
/// Load pattern: tasks hang on some upstreams, while callers' estimates are off by half for whole
/// jobs. A hanging run must be restarted early. A healthy run of a job that takes longer than its
/// estimate must not be restarted repeatedly until the deadline passes.
OverdueAction decideOverdueAction(const OverdueInputs &inputs);

} // namespace rattandock::fleet
