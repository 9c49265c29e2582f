#pragma once

#include "rattandock/base/ids.hpp"
#include "rattandock/base/units.hpp"
#include "rattandock/core/job_spec.hpp"

namespace rattandock::core {

/// Static description of an upstream from the settings or the configuration.
struct UpstreamSpec
{
    UpstreamId id;
    ZoneId zone;
    RackId rack;
    Slots slots{8};
    /// Resource limit for each task.
    Resources capacity{Cores{64}, Megabytes{131072}, Accelerators{0}};
};

/// Lifecycle state, as reported by the platform's list or by the upstream.
enum class UpstreamLife : std::uint8_t { Live, Leaving, Gone };

} // namespace rattandock::core
