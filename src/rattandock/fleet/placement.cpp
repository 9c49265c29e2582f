#include "rattandock/fleet/placement.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace rattandock::fleet {

namespace {

/// Width of a speed class: expected run times in one class differ by at most this factor.
constexpr double speedClassFactor = 1.25;
/// Value of a late answer relative to one that meets the objective.
constexpr double lateValue = 0.2;
/// Expected values that differ by less count as equal, so that fast upstreams stay free.
constexpr double valueTolerance = 0.03;
/// A task waits for a faster upstream if that raises its expected value by more than this.
constexpr double minGainOfWaiting = 0.1;
/// Time after which one of the fast upstreams is expected to have room.
constexpr Duration expectedWait = std::chrono::milliseconds{50};
/// A run with a smaller chance to end before the deadline is not started: it would mostly take room
/// from others in vain.
constexpr double minChance = 0.2;
/// Steps of the bisection of maxUsefulRunTime(); the result is exact to 1% of its range.
constexpr int bisectionSteps = 8;

int speedClass(Duration expected)
{
    const double micros = std::max<double>(1, static_cast<double>(expected.count()));
    return static_cast<int>(std::floor(std::log(micros) / std::log(speedClassFactor)));
}

/// Returns the value of a run on the fastest upstream after the wait for it.
double valueAfterWait(const PlacementLimits &limits)
{
    PlacementLimits later = limits;
    later.untilObjective -= expectedWait;
    later.untilDeadline -= expectedWait;
    return expectedValue(limits.fastestRunTime, later);
}

} // namespace

double chanceToEndWithin(Duration expected, Duration time, double runTimeSpread)
{
    if (time <= Duration{}) {
        return 0;
    }
    const double ratio = static_cast<double>(time.count())
                         / std::max<double>(1, static_cast<double>(expected.count()));
    return 0.5 * std::erfc(-std::log(ratio) / (runTimeSpread * std::sqrt(2.0)));
}

double expectedValue(Duration expected, const PlacementLimits &limits)
{
    const Duration inTime = std::min(limits.untilObjective, limits.untilDeadline);
    return (1 - lateValue) * chanceToEndWithin(expected, inTime, limits.runTimeSpread)
           + lateValue * chanceToEndWithin(expected, limits.untilDeadline, limits.runTimeSpread);
}

Duration maxUsefulRunTime(const PlacementLimits &limits)
{
    const double wanted = valueAfterWait(limits) - minGainOfWaiting;
    Duration low = limits.fastestRunTime;
    Duration high = std::max(low, limits.untilDeadline);
    if (!limits.mayWaitForFaster || expectedValue(high, limits) >= wanted) {
        return high;
    }
    for (int n = 0; n < bisectionSteps; ++n) {
        const Duration middle = low + (high - low) / 2;
        (expectedValue(middle, limits) >= wanted ? low : high) = middle;
    }
    return low;
}

bool isHopeless(const PlacementLimits &limits)
{
    return chanceToEndWithin(limits.fastestRunTime, limits.untilDeadline, limits.runTimeSpread)
           < minChance;
}

std::optional<std::size_t> choosePlacement(const std::vector<PlacementCandidate> &candidates,
                                           const PlacementLimits &limits)
{
    double bestValue = 0;
    for (const PlacementCandidate &it : candidates) {
        if (chanceToEndWithin(it.expected, limits.untilDeadline, limits.runTimeSpread)
            >= minChance) {
            bestValue = std::max(bestValue, expectedValue(it.expected, limits));
        }
    }
    if (bestValue <= 0
        || (limits.mayWaitForFaster && valueAfterWait(limits) - bestValue > minGainOfWaiting)) {
        return std::nullopt;
    }
    using Rank = std::tuple<int, std::uint32_t>;
    std::optional<std::size_t> best;
    Rank bestRank;
    for (const PlacementCandidate &it : candidates) {
        if (expectedValue(it.expected, limits) < bestValue - valueTolerance) {
            continue;
        }
        const Rank rank{-speedClass(it.expected), it.cpuLeft};
        if (!best || rank < bestRank) {
            best = it.index;
            bestRank = rank;
        }
    }
    return best;
}

} // namespace rattandock::fleet
