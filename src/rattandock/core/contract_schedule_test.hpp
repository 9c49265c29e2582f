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
    Wake,
    PlannedStop,
    PlatformDown,
    PlatformUp,
    LoseMessages,
    LoseReplies,
    UpstreamFaults,
    Calm,
};
inline constexpr std::uint8_t stepKindCount = 20;

/// One command of a schedule; what the numbers choose depends on the kind.
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

/// Commands, and the seed of the delays and faults between them.
struct Schedule
{
    std::uint64_t seed = 0;
    std::vector<Step> steps;
};

} // namespace rattandock::core::test
