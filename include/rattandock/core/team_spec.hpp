#pragma once

#include <cstdint>

#include "rattandock/base/ids.hpp"

namespace rattandock::core {

/// A team's share of the fleet.
struct TeamSpec
{
    TeamId id;
    /// Relative share when teams compete.
    std::uint32_t weight = 1;
    /// Most tasks running at once on this VM when other teams wait; 0 means no bound.
    std::uint32_t quota = 0;
};

} // namespace rattandock::core
