#pragma once

#include <cstdint>

#include "rattandock/base/strong_value.hpp"

namespace rattandock {

using Cores = StrongValue<struct CoresTag, std::uint32_t>;
using Megabytes = StrongValue<struct MegabytesTag, std::uint32_t>;
using Accelerators = StrongValue<struct AcceleratorsTag, std::uint32_t>;
using Bytes = StrongValue<struct BytesTag, std::uint64_t>;
/// Tasks that an upstream runs at the same time.
using Slots = StrongValue<struct SlotsTag, std::uint32_t>;

} // namespace rattandock
