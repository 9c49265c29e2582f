#pragma once

#include "rattandock/base/time.hpp"

namespace rattandock::fleet {

/// What is known of a run that takes longer than expected.
struct OverdueView
{
    Duration elapsed{};
    Duration expected{};
    /// Runs of the same job that were stopped as overdue before.
    unsigned formerStops = 0;
    /// Another run has ended in success on the upstream since this one started.
    bool upstreamWorks = false;
    /// Expected time of a new run, and the time that the caller still waits.
    Duration restart{};
    Duration untilDeadline{};
};

enum class OverdueVerdict : std::uint8_t {
    /// Within what sound runs take.
    Wait,
    /// The upstream is suspicious, but a new run could not end in time.
    Suspect,
    /// The upstream is suspicious, and a new run elsewhere can end in time.
    Restart,
};

/// Decides whether a long run is to be given up and started elsewhere.
///
/// Load pattern: tasks on some upstreams stand still, while callers' estimates are off by half for
/// whole jobs. A hanging run must be restarted early; a sound run of a job that is longer than its
/// estimate must not be restarted again and again until its deadline.
OverdueVerdict judgeRun(const OverdueView &view);

} // namespace rattandock::fleet
