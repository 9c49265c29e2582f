#pragma once

#include <string_view>

#include "rattandock/base/result.hpp"
#include "rattandock/base/time.hpp"

namespace rattandock::standins {

struct PlatformFaults
{
    /// Resets each connection and does nothing.
    bool down = false;
    /// Waits this long before each request takes effect.
    Duration slow = Duration::zero();
    /// Writes take effect; the connection is reset instead of a reply.
    bool loseReplies = false;
    /// The VM list is as old as this.
    Duration listLag = Duration::zero();
};

/// Reads the body of `POST /faults`: `down`, `slowMs`, `loseReplies`, `listLagMs`; keys that are
/// absent keep their value. Errors: every finding.
Checked<PlatformFaults> parsePlatformFaults(std::string_view body, PlatformFaults present);

} // namespace rattandock::standins
