#pragma once

#include "rattandock/base/ids.hpp"
#include "rattandock/base/units.hpp"
#include "rattandock/core/job_spec.hpp"

namespace rattandock::core {

/// An upstream as the settings or the configuration describe it.
struct UpstreamSpec
{
    UpstreamId id;
    ZoneId zone;
    RackId rack;
    Slots slots{8};
    /// The largest task that the upstream can run.
    Resources capacity{Cores{64}, Megabytes{131072}, Accelerators{0}};
};

/// What the platform's list or the upstream itself says of its life.
enum class UpstreamLife : std::uint8_t { Live, Leaving, Gone };

} // namespace rattandock::core
