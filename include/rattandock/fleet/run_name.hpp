#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace rattandock::fleet {

/// Names one task of a job; every start of the task has this name and a number of its own.
struct RunName
{
    std::string job;
    /// Which time of a job that repeats; 0 for others.
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t task = 0;

    friend auto operator<=>(const RunName &, const RunName &) = default;
};

} // namespace rattandock::fleet

template <>
struct std::hash<rattandock::fleet::RunName>
{
    std::size_t operator()(const rattandock::fleet::RunName &it) const
    {
        const std::uint64_t place =
                (std::uint64_t{it.occurrence} << 40U) ^ (std::uint64_t{it.step} << 20U) ^ it.task;
        return std::hash<std::string>{}(it.job) ^ (place * 0x9E3779B97F4A7C15U);
    }
};
