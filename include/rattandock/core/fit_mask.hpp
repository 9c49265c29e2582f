#pragma once

#include <cstdint>

namespace rattandock::core {

/// Set of upstream shapes on which a task may run: bit n stands for shape n. A shape is a distinct
/// capacity of upstreams.
using FitMask = std::uint64_t;

} // namespace rattandock::core
