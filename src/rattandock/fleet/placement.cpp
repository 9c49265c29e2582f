#include "rattandock/fleet/placement.hpp"

#include <cmath>
#include <tuple>

namespace rattandock::fleet {

namespace {

/// Expected times within this factor count as alike.
constexpr double likeFactor = 1.25;

bool isSafe(Duration expected, Duration left)
{
    return safeFactor * static_cast<double>(expected.count()) <= static_cast<double>(left.count());
}

int speedClass(Duration expected)
{
    const double micros = std::max<double>(1, static_cast<double>(expected.count()));
    return static_cast<int>(std::floor(std::log(micros) / std::log(likeFactor)));
}

} // namespace

std::optional<std::size_t> choosePlacement(const std::vector<PlacementCandidate> &candidates,
                                           const PlacementNeed &need)
{
    using Rank = std::tuple<bool, int, std::uint32_t>;
    std::optional<std::size_t> best;
    Rank bestRank;
    const bool canBeSafe = isSafe(need.fastest, need.untilDeadline);
    for (const PlacementCandidate &it : candidates) {
        if (it.expected > need.untilDeadline
            || (canBeSafe && !isSafe(it.expected, need.untilDeadline))) {
            continue;
        }
        const bool isLate = it.expected > need.untilObjective;
        const int speed = speedClass(it.expected);
        const bool wantsFastest = isLate || !canBeSafe;
        const Rank rank{isLate, wantsFastest ? speed : -speed, it.cpuLeft};
        if (!best || rank < bestRank) {
            best = it.index;
            bestRank = rank;
        }
    }
    return best;
}

} // namespace rattandock::fleet
