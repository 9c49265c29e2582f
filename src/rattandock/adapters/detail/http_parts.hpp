#pragma once

#include <cstddef>

namespace rattandock::adapters::detail {

/// Bound of the parts of an answer that are parsed only when they are whole: its header, a chunk's
/// line and the trailer. The parser has no bound for the last two.
inline constexpr std::size_t maxPartBytes = 64U << 10U;

} // namespace rattandock::adapters::detail
