#pragma once

#include <cstdint>

#include "rattandock/base/ids.hpp"

namespace rattandock::core {

/// Weight and quota of a team.
struct TeamSpec
{
    TeamId id;
    /// Relative share of the slots while several teams have waiting tasks.
    std::uint32_t weight = 1;
    /// Maximum number of tasks that this VM runs at once for the team while other teams wait; 0
    /// means no limit.
    std::uint32_t quota = 0;
};

} // namespace rattandock::core
