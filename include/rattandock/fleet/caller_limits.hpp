#pragma once

#include <cstdint>

#include "rattandock/base/time.hpp"

namespace rattandock::fleet {

/// Limits of callers' requests that the operator configures; 0 where none is named. They can only
/// lower those of the VM's settings, which protect its memory.
struct CallerLimits
{
    std::uint32_t maxHeaderBytes = 0;
    std::uint32_t maxBodyBytes = 0;
    /// From the first byte of a request to the end of its header.
    Duration headerTimeout{};
    /// A connection without a request is closed after it.
    Duration idleTimeout{};

    friend bool operator==(const CallerLimits &, const CallerLimits &) = default;
};

} // namespace rattandock::fleet
