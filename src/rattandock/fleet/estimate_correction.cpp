#include "rattandock/fleet/estimate_correction.hpp"

#include <algorithm>
#include <cmath>

namespace rattandock::fleet {

namespace {

/// Factor on the weight of all earlier samples of a queue for each new one, so that about the last
/// 200 runs count.
constexpr double sampleDecay = 0.995;
/// The estimates of a queue are trusted as they are (slope 1, no offset) with the weight of this
/// many samples. Runs of one job are alike, so a few runs say little.
constexpr double priorSamples = 8;
/// Variance of the logarithm of the estimates that the prior of the slope assumes.
constexpr double priorVariance = 0.3;
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

void EstimateCorrection::Regression::add(double x, double y)
{
    weight = sampleDecay * weight + 1;
    const double dx = x - meanX;
    meanX += dx / weight;
    meanY += (y - meanY) / weight;
    sumXX = sampleDecay * sumXX + dx * (x - meanX);
    sumXY = sampleDecay * sumXY + dx * (y - meanY);
}

double EstimateCorrection::Regression::predict(double x) const
{
    constexpr double priorSum = priorSamples * priorVariance;
    const double slope = std::clamp((sumXY + priorSum) / (sumXX + priorSum), 0.0, 1.0);
    const double fitted = meanY + slope * (x - meanX);
    return (weight * fitted + priorSamples * x) / (weight + priorSamples);
}

void EstimateCorrection::addSample(const QueueId &queue, Duration estimate, Duration elapsed)
{
    if (m_queues.size() >= maxQueues && !m_queues.contains(queue)) {
        m_queues.erase(std::ranges::min_element(
                m_queues, {}, [](const auto &it) { return it.second.lastSample; }));
    }
    Regression &regression = m_queues[queue];
    const double x = logOf(estimate);
    const double predicted = regression.predict(x);
    const double residual = std::clamp(logOf(elapsed) - predicted, -maxResidual, maxResidual);
    m_residualVariance += residualWeight * (residual * residual - m_residualVariance);
    regression.add(x, predicted + residual);
    regression.lastSample = ++m_samples;
}

Duration EstimateCorrection::corrected(const QueueId &queue, Duration estimate) const
{
    const auto it = m_queues.find(queue);
    if (it == m_queues.end() || estimate <= Duration{}) {
        return estimate;
    }
    return Duration{static_cast<Duration::rep>(std::exp(it->second.predict(logOf(estimate))))};
}

double EstimateCorrection::logSpread() const
{
    return std::clamp(std::sqrt(m_residualVariance), minLogSpread, maxLogSpread);
}

} // namespace rattandock::fleet
