#pragma once

#include <algorithm>
#include <cstdint>

#include "rattandock/base/strong_value.hpp"
#include "rattandock/base/units.hpp"

namespace rattandock::fleet {

/// Thousandths of a core.
using MilliCores = StrongValue<struct MilliCoresTag, std::uint32_t>;

/// What a task needs, or what an upstream has left.
struct Room
{
    MilliCores cpu;
    Megabytes memory;
    Accelerators accelerators;

    friend bool operator==(const Room &, const Room &) = default;

    bool holds(const Room &need) const
    {
        return need.cpu <= cpu && need.memory <= memory && need.accelerators <= accelerators;
    }
    Room plus(const Room &other) const
    {
        return {MilliCores{cpu.value() + other.cpu.value()},
                Megabytes{memory.value() + other.memory.value()},
                Accelerators{accelerators.value() + other.accelerators.value()}};
    }
    /// Stops at zero in each resource.
    Room minus(const Room &other) const
    {
        const auto left = [](auto from, auto taken) {
            return decltype(from){from.value() - std::min(from.value(), taken.value())};
        };
        return {left(cpu, other.cpu), left(memory, other.memory),
                left(accelerators, other.accelerators)};
    }
};

} // namespace rattandock::fleet
