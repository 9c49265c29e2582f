#pragma once

#include <cstdint>
#include <ostream>
#include <vector>

namespace rattandock::core::test {

enum class StepKind : std::uint8_t {
    Submit,
    Resubmit,
    ReuseId,
    Cancel,
    CallerLeaves,
    PassTime,
    PassLongTime,
    CutLink,
    RestoreLinks,
    Crash,
    Pause,
    ReplacePaused,
    Resume,
    PlannedStop,
    PlatformDown,
    PlatformUp,
    LoseMessages,
    LoseReplies,
    UpstreamFaults,
    ClearFaults,
};
inline constexpr std::uint8_t stepKindCount = 20;

/// One command of a schedule. The meaning of `vm` and `choice` depends on `kind`.
struct Step
{
    StepKind kind{};
    std::uint8_t vm = 0;
    std::uint16_t choice = 0;
};

inline std::ostream &operator<<(std::ostream &out, const Step &it)
{
    return out << '{' << static_cast<int>(it.kind) << ',' << static_cast<int>(it.vm) << ','
               << it.choice << '}';
}

/// A sequence of commands and the seed for random delays and faults.
struct Schedule
{
    std::uint64_t seed = 0;
    std::vector<Step> steps;
};

} // namespace rattandock::core::test
