#include "rattandock/fleet/job_value.hpp"

#include <algorithm>
#include <cmath>
#include <string_view>

namespace rattandock::fleet {

namespace {

/// Weight of a priority relative to the next more important one. Halving lets a higher priority win
/// against twice the value per work, while large differences in work still count.
constexpr double weightOfNextPriority = 0.5;
/// Priorities beyond this one have the same weight, so that no weight becomes zero.
constexpr std::uint32_t maxWeightedPriority = 8;
/// Value of an answer after the objective, relative to one in time. Callers state a fifth.
constexpr double lateValue = 0.2;
/// Value of an answer after three times the objective, of little use to the caller.
constexpr double veryLateValue = 0.05;
/// Share of the jobs that never yield to jobs without protection. At 2.6 times the capacity, the
/// highest burst that callers cause, these jobs need 0.65 of the capacity and so can all be served.
constexpr double guaranteedShare = 0.25;
/// Share of the jobs that compete independently of their size. Large jobs are to be served at least
/// half as often as their queue as a whole.
constexpr double sizeNeutralShare = 0.5;
/// Work of a size-neutral job relative to the mean of its queue, if its own is higher. With a
/// spread of 40% in width and run time, a tenth of the jobs have less work than this.
constexpr double smallJobFactor = 0.4;
/// Bounds of the retry-after time after the spread.
constexpr Duration minRetryAfter = std::chrono::milliseconds{200};
constexpr Duration maxRetryAfter = std::chrono::seconds{5};
constexpr double retryAfterSpread = 0.25;

/// Returns a hash that is the same on all VMs and builds (FNV-1a with a final mix).
std::uint64_t stableHash(std::string_view text, std::uint64_t seed)
{
    std::uint64_t hash = 0xcbf29ce484222325ULL ^ seed;
    for (const char it : text) {
        hash = (hash ^ static_cast<unsigned char>(it)) * 0x100000001b3ULL;
    }
    hash = (hash ^ (hash >> 33U)) * 0xff51afd7ed558ccdULL;
    hash = (hash ^ (hash >> 33U)) * 0xc4ceb9fe1a85ec53ULL;
    return hash ^ (hash >> 33U);
}

/// Returns a number in [0, 1) that is drawn by the job id.
double draw(const JobId &id, std::uint64_t seed)
{
    constexpr double range = 18446744073709551616.0;
    return static_cast<double>(stableHash(id.value(), seed)) / range;
}

constexpr std::uint64_t guaranteeSeed = 1;
constexpr std::uint64_t sizeSeed = 2;
constexpr std::uint64_t retrySeed = 3;

} // namespace

double priorityWeight(std::uint32_t priority)
{
    return std::pow(weightOfNextPriority, std::min(priority, maxWeightedPriority));
}

JobValue jobValue(const JobValueInputs &inputs)
{
    JobValue result;
    result.value = priorityWeight(inputs.priority);
    if (inputs.untilLatestUsefulStart < Duration{}) {
        result.value *= veryLateValue;
    } else if (inputs.untilLatestStart < Duration{}) {
        result.value *= lateValue;
    }
    // Giving up the job loses its value and, in proportion, that of the work already spent.
    const CoreWork remaining = std::max(inputs.remainingWork, 1.0);
    const double spentShare = inputs.spentWork / (inputs.spentWork + remaining);
    result.perWork = result.value * (1 + spentShare) / remaining;
    return result;
}

JobProtection jobProtection(const JobId &id)
{
    return {draw(id, guaranteeSeed) < guaranteedShare, draw(id, sizeSeed) < sizeNeutralShare};
}

CoreWork competingWork(CoreWork own, CoreWork queueMeanWork, const JobProtection &protection)
{
    const bool isLarge = queueMeanWork > 0 && own > smallJobFactor * queueMeanWork;
    return protection.isSizeNeutral && isLarge ? smallJobFactor * queueMeanWork : own;
}

Duration spreadRetryAfter(Duration drainTime, const JobId &id)
{
    // The bounds apply to the middle of the spread, as many callers would otherwise get the same
    // bound.
    const double middle =
            std::clamp(static_cast<double>(drainTime.count()),
                       static_cast<double>(minRetryAfter.count()) / (1 - retryAfterSpread),
                       static_cast<double>(maxRetryAfter.count()) / (1 + retryAfterSpread));
    const double factor = 1 + retryAfterSpread * (2 * draw(id, retrySeed) - 1);
    const Duration spread{static_cast<Duration::rep>(std::llround(middle * factor))};
    return std::clamp(spread, minRetryAfter, maxRetryAfter);
}

} // namespace rattandock::fleet
