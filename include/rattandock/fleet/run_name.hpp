#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace rattandock::fleet {

/// Identifies one task of a job. All runs of the task share this name and differ in their run
/// number.
struct RunName
{
    std::string job;
    /// Index of the repetition of a repeating job; 0 for other jobs.
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t task = 0;

    friend auto operator<=>(const RunName &, const RunName &) = default;
};

/// Returns true if both are tasks of one step, in the same repetition of the job.
inline bool areOfOneStep(const RunName &a, const RunName &b)
{
    return a.job == b.job && a.occurrence == b.occurrence && a.step == b.step;
}

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
