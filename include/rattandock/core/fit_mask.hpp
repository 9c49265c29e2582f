#pragma once

#include <cstdint>

namespace rattandock::core {

/// The upstream shapes (distinct capacities) that a task fits, one bit each.
using FitMask = std::uint64_t;

} // namespace rattandock::core
