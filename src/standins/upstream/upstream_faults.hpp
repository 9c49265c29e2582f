#pragma once

#include <atomic>
#include <string>
#include <string_view>

#include "rattandock/base/result.hpp"

namespace rattandock::standins {

/// Fault switches of one upstream. Thread safety: all members may be used from any thread.
struct UpstreamFaults
{
    /// 503 with `Rattandock-Not-Started: true` for each task.
    std::atomic<bool> refuse = false;
    /// Starts each task and never answers, until the switch is cleared.
    std::atomic<bool> hang = false;
    /// Starts each task and resets the connection.
    std::atomic<bool> reset = false;
    /// Runs each task and answers 500.
    std::atomic<bool> failAll = false;
    /// Adds `Rattandock-Leaving: true` to each reply.
    std::atomic<bool> leaving = false;
    /// Echoes another attempt than the one asked for.
    std::atomic<bool> wrongEcho = false;
};

/// Applies the body of `POST /faults`: an object of switches; those not named stay as they are.
/// Changes nothing if there is a finding.
Findings applyFaults(std::string_view body, UpstreamFaults &faults);

} // namespace rattandock::standins
