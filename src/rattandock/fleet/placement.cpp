#include "rattandock/fleet/placement.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace rattandock::fleet {

namespace {

/// Width of a speed class: expected run times in one class differ by at most this factor.
constexpr double speedClassFactor = 1.25;
/// A slower upstream is preferred if it lowers the chance to end before the deadline by at most
/// this.
constexpr double chanceTolerance = 0.002;
/// A task waits for a faster upstream only if that raises the chance by more than this, even if the
/// wait takes as long as it may.
constexpr double minChanceGain = 0.05;
/// A task is offered to another VM, although there is room here, only if that raises the chance by
/// more than this.
constexpr double minChanceGainElsewhere = 0.05;
/// Of the free upstreams of other VMs, those are used whose chance is lower than the best one by at
/// most this.
constexpr double elsewhereTolerance = 0.05;
/// Time that an offer which comes back unused costs.
constexpr Duration offerRoundTrip = std::chrono::milliseconds{15};
/// A run with a smaller chance to end before the deadline is not started: it would mostly take room
/// from others in vain.
constexpr double minChance = 0.2;

int speedClass(Duration expected)
{
    const double micros = std::max<double>(1, static_cast<double>(expected.count()));
    return static_cast<int>(std::floor(std::log(micros) / std::log(speedClassFactor)));
}

double chanceOf(Duration expected, const PlacementLimits &limits)
{
    return chanceToEndWithin(expected, limits.untilDeadline, limits.runTimeSpread);
}

/// Returns the least chance with which the task is started.
double leastChance(const PlacementLimits &limits)
{
    if (limits.waitForFaster <= Duration{}) {
        return minChance;
    }
    const double afterWait =
            chanceToEndWithin(limits.fastestRunTime, limits.untilDeadline - limits.waitForFaster,
                              limits.runTimeSpread);
    return std::max(afterWait - minChanceGain, minChance);
}

/// Returns the chance to end before the deadline after an offer to the VM with the fastest free
/// upstream, 0 if there is none.
double chanceElsewhere(const PlacementLimits &limits)
{
    return limits.runTimeElsewhere <= Duration{}
                   ? 0
                   : chanceToEndWithin(limits.runTimeElsewhere,
                                       limits.untilDeadline - offerRoundTrip, limits.runTimeSpread);
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
    const double least =
            std::max(leastChance(limits), chanceElsewhere(limits) - elsewhereTolerance);
    // The chance falls with the run time, so a bisection finds the longest one.
    Duration useful = limits.fastestRunTime;
    Duration useless = 2 * std::max(limits.untilDeadline, limits.fastestRunTime);
    constexpr Duration accuracy = std::chrono::milliseconds{5};
    while (useless - useful > accuracy) {
        const Duration middle = useful + (useless - useful) / 2;
        (chanceOf(middle, limits) >= least ? useful : useless) = middle;
    }
    return useful;
}

bool isBetterElsewhere(const std::vector<PlacementCandidate> &candidates,
                       const PlacementLimits &limits)
{
    if (candidates.empty()) {
        return false;
    }
    const Duration here =
            std::ranges::min_element(candidates, {}, &PlacementCandidate::expected)->expected;
    return chanceElsewhere(limits) > chanceOf(here, limits) + minChanceGainElsewhere;
}

bool isHopeless(const PlacementLimits &limits)
{
    return chanceToEndWithin(limits.fastestRunTime, limits.untilDeadline, limits.runTimeSpread)
           < minChance;
}

std::optional<std::size_t> choosePlacement(const std::vector<PlacementCandidate> &candidates,
                                           const PlacementLimits &limits)
{
    double best = leastChance(limits);
    for (const PlacementCandidate &it : candidates) {
        best = std::max(best, chanceOf(it.expected, limits));
    }
    const double least = std::max(best - chanceTolerance, leastChance(limits));
    using Rank = std::tuple<bool, int, std::uint32_t>;
    std::optional<std::size_t> choice;
    Rank choiceRank;
    for (const PlacementCandidate &it : candidates) {
        if (chanceOf(it.expected, limits) < least) {
            continue;
        }
        const bool isLate = it.expected > limits.untilObjective;
        const int speed = speedClass(it.expected);
        const Rank rank{isLate, isLate ? speed : -speed, it.cpuLeft};
        if (!choice || rank < choiceRank) {
            choice = it.index;
            choiceRank = rank;
        }
    }
    return choice;
}

} // namespace rattandock::fleet
