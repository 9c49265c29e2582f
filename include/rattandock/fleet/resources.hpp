#pragma once

#include <algorithm>
#include <cstdint>

#include "rattandock/base/strong_value.hpp"
#include "rattandock/base/units.hpp"

namespace rattandock::fleet {

/// Thousandths of a core.
using MilliCores = StrongValue<struct MilliCoresTag, std::uint32_t>;

/// Resources that a task needs or that an upstream provides.
struct Resources
{
    MilliCores cpu;
    Megabytes memory;
    Accelerators accelerators;

    friend bool operator==(const Resources &, const Resources &) = default;

    /// Returns whether these resources are sufficient for `need`.
    bool covers(const Resources &need) const
    {
        return need.cpu <= cpu && need.memory <= memory && need.accelerators <= accelerators;
    }
    Resources plus(const Resources &other) const
    {
        return {MilliCores{cpu.value() + other.cpu.value()},
                Megabytes{memory.value() + other.memory.value()},
                Accelerators{accelerators.value() + other.accelerators.value()}};
    }
    /// Subtracts `other`; each resource is at least zero in the result.
    Resources minus(const Resources &other) const
    {
        const auto left = [](auto from, auto taken) {
            return decltype(from){from.value() - std::min(from.value(), taken.value())};
        };
        return {left(cpu, other.cpu), left(memory, other.memory),
                left(accelerators, other.accelerators)};
    }
};

} // namespace rattandock::fleet
