#include "rattandock/fleet/placement.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace rattandock::fleet {

namespace {

/// Width of a speed class: expected run times in one class differ by at most this factor.
constexpr double speedClassFactor = 1.25;
/// A run is safe if its logarithm may exceed the expected one by this many standard deviations
/// before the deadline, which one of 25 runs does.
constexpr double safeDeviations = 1.75;
/// A run with a smaller chance to end before the deadline is not started: it would mostly take room
/// from others in vain.
constexpr double minChance = 0.2;
/// Number of standard deviations by which a run with this chance exceeds the deadline.
constexpr double minChanceDeviations = 0.84;

int speedClass(Duration expected)
{
    const double micros = std::max<double>(1, static_cast<double>(expected.count()));
    return static_cast<int>(std::floor(std::log(micros) / std::log(speedClassFactor)));
}

bool isSafe(Duration expected, const PlacementLimits &limits)
{
    return static_cast<double>(expected.count()) * std::exp(safeDeviations * limits.runTimeSpread)
           <= static_cast<double>(limits.untilDeadline.count());
}

/// Returns true if the task should wait until a run is safe.
bool needsSafety(const PlacementLimits &limits)
{
    return limits.mayWaitForFaster && isSafe(limits.fastestRunTime, limits);
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

Duration maxUsefulRunTime(const PlacementLimits &limits)
{
    const double deviations = needsSafety(limits) ? -safeDeviations : minChanceDeviations;
    const double longest = static_cast<double>(limits.untilDeadline.count())
                           * std::exp(deviations * limits.runTimeSpread);
    return std::max(limits.fastestRunTime, Duration{static_cast<Duration::rep>(longest)});
}

bool isHopeless(const PlacementLimits &limits)
{
    return chanceToEndWithin(limits.fastestRunTime, limits.untilDeadline, limits.runTimeSpread)
           < minChance;
}

std::optional<std::size_t> choosePlacement(const std::vector<PlacementCandidate> &candidates,
                                           const PlacementLimits &limits)
{
    using Rank = std::tuple<bool, int, std::uint32_t>;
    std::optional<std::size_t> best;
    Rank bestRank;
    const bool waitsForSafety = needsSafety(limits);
    // While the task may wait, it starts with a small chance only if none is better.
    const bool waitsForDeadline =
            limits.mayWaitForFaster && limits.fastestRunTime <= limits.untilDeadline;
    for (const PlacementCandidate &it : candidates) {
        const bool isUseful = waitsForSafety ? isSafe(it.expected, limits)
                                             : chanceToEndWithin(it.expected, limits.untilDeadline,
                                                                 limits.runTimeSpread)
                                                       >= minChance;
        if (!isUseful || (waitsForDeadline && it.expected > limits.untilDeadline)) {
            continue;
        }
        const bool isLate = it.expected > limits.untilObjective;
        const int speed = speedClass(it.expected);
        const bool prefersFastest = isLate || !waitsForSafety;
        const Rank rank{isLate, prefersFastest ? speed : -speed, it.cpuLeft};
        if (!best || rank < bestRank) {
            best = it.index;
            bestRank = rank;
        }
    }
    return best;
}

} // namespace rattandock::fleet
