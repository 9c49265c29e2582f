#include "rattandock/fleet/placement.hpp"

#include <cmath>
#include <tuple>

namespace rattandock::fleet {

namespace {

/// Width of a speed class: expected run times in one class differ by at most this factor.
constexpr double speedClassFactor = 1.25;

bool isSafe(Duration expected, Duration left)
{
    return deadlineSafetyFactor * static_cast<double>(expected.count())
           <= static_cast<double>(left.count());
}

int speedClass(Duration expected)
{
    const double micros = std::max<double>(1, static_cast<double>(expected.count()));
    return static_cast<int>(std::floor(std::log(micros) / std::log(speedClassFactor)));
}

} // namespace

std::optional<std::size_t> choosePlacement(const std::vector<PlacementCandidate> &candidates,
                                           const PlacementLimits &limits)
{
    using Rank = std::tuple<bool, int, std::uint32_t>;
    std::optional<std::size_t> best;
    Rank bestRank;
    const bool canBeSafe = isSafe(limits.fastestRunTime, limits.untilDeadline);
    for (const PlacementCandidate &it : candidates) {
        if (it.expected > limits.untilDeadline
            || (canBeSafe && !isSafe(it.expected, limits.untilDeadline))) {
            continue;
        }
        const bool isLate = it.expected > limits.untilObjective;
        const int speed = speedClass(it.expected);
        const bool prefersFastest = isLate || !canBeSafe;
        const Rank rank{isLate, prefersFastest ? speed : -speed, it.cpuLeft};
        if (!best || rank < bestRank) {
            best = it.index;
            bestRank = rank;
        }
    }
    return best;
}

} // namespace rattandock::fleet
