#include "rattandock/fleet/estimate_correction.hpp"

#include <algorithm>
#include <cmath>

namespace rattandock::fleet {

namespace {

/// Width of a range of estimates, as a logarithm: a factor of about 1.4.
constexpr double rangeWidth = 0.35;
/// Estimates are trusted as they are with the weight of this many samples. The runs of one job are
/// alike, so a few runs say little.
constexpr double priorSamples = 6;
/// Weight of a new sample in the average of its range, so that about the last 100 runs count.
constexpr double sampleWeight = 0.01;
/// Weight of a new sample in the variance of the residuals.
constexpr double residualWeight = 0.01;
/// Bounds of the standard deviation of the residuals.
constexpr double minLogSpread = 0.1;
constexpr double maxLogSpread = 0.6;
/// Bound of the residual of one sample, which limits the effect of runs that hang.
constexpr double maxResidual = 1.5;
/// Maximum number of queues with statistics. A configuration may add and remove thousands.
constexpr std::size_t maxQueues = 1000;

double logOf(Duration time)
{
    return std::log(std::max<double>(1, static_cast<double>(time.count())));
}

} // namespace

double EstimateCorrection::logRatioAt(const Queue &queue, double logEstimate)
{
    const auto shrunk = [&](int range) {
        const auto it = queue.ranges.find(range);
        return it == queue.ranges.end() ? 0
                                        : it->second.logRatio * it->second.samples
                                                  / (it->second.samples + priorSamples);
    };
    // Interpolates between the middles of two ranges.
    const double position = logEstimate / rangeWidth - 0.5;
    const int below = static_cast<int>(std::floor(position));
    const double share = position - below;
    return (1 - share) * shrunk(below) + share * shrunk(below + 1);
}

void EstimateCorrection::addSample(const QueueId &queue, Duration estimate, Duration elapsed)
{
    if (m_queues.size() >= maxQueues && !m_queues.contains(queue)) {
        m_queues.erase(std::ranges::min_element(
                m_queues, {}, [](const auto &it) { return it.second.lastSample; }));
    }
    Queue &statistics = m_queues[queue];
    statistics.lastSample = ++m_samples;
    const double x = logOf(estimate);
    const double expected = logRatioAt(statistics, x);
    const double residual = std::clamp(logOf(elapsed) - x - expected, -maxResidual, maxResidual);
    m_residualVariance += residualWeight * (residual * residual - m_residualVariance);
    Range &range = statistics.ranges[static_cast<int>(std::floor(x / rangeWidth))];
    range.samples += 1;
    const double weight = std::max(sampleWeight, 1 / range.samples);
    range.logRatio += weight * (expected + residual - range.logRatio);
}

Duration EstimateCorrection::corrected(const QueueId &queue, Duration estimate) const
{
    const auto it = m_queues.find(queue);
    if (it == m_queues.end() || estimate <= Duration{}) {
        return estimate;
    }
    const double factor = std::exp(logRatioAt(it->second, logOf(estimate)));
    return Duration{static_cast<Duration::rep>(static_cast<double>(estimate.count()) * factor)};
}

double EstimateCorrection::logSpread() const
{
    return std::clamp(std::sqrt(m_residualVariance), minLogSpread, maxLogSpread);
}

} // namespace rattandock::fleet
