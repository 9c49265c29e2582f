#include "rattandock/fleet/run_times.hpp"

#include <algorithm>
#include <cmath>

namespace rattandock::fleet {

namespace {

/// Weight of a new sample in the average of one upstream. Single runs differ by 40% from their
/// prediction, so an average of ten is off by 12%, as much as half the step between two speeds.
constexpr double upstreamWeight = 0.02;
/// Weight of a new sample in the average that shows a change of speed within a few runs.
constexpr double recentWeight = 0.1;
/// Difference of the logarithms at which the recent runs replace the average: three standard
/// deviations of the recent average.
constexpr double changedSpeed = 0.36;
/// Weight of a new sample in the average of a kind and in the overall average.
constexpr double kindWeight = 0.02;
/// Bound of the logarithm of one sample in both directions, which limits the effect of outliers.
constexpr double maxLogFactor = 3.0;

/// Number of runs after which the average of an upstream is considered reliable.
constexpr double minReliableSamples = 10;

double logFactorOf(Duration estimate, Duration elapsed)
{
    const double factor =
            static_cast<double>(elapsed.count()) / static_cast<double>(estimate.count());
    return std::clamp(std::log(std::max(factor, 1e-3)), -maxLogFactor, maxLogFactor);
}

} // namespace

void RunTimes::Mean::add(double value, double weight)
{
    samples += 1;
    logFactor += (value - logFactor) * std::max(weight, 1.0 / samples);
}

void RunTimes::addSample(const UpstreamId &upstream, const std::string &kind, Duration estimate,
                         Duration elapsed)
{
    const double sample = logFactorOf(estimate, elapsed);
    const auto [it, isNew] = m_upstreams.try_emplace(upstream);
    if (isNew) {
        // The average of the kind is the prior and counts as a few samples.
        constexpr double priorSamples = 2;
        if (const auto known = m_kinds.find(kind); known != m_kinds.end()) {
            it->second.all = {known->second.logFactor, priorSamples};
            it->second.recent = it->second.all;
        }
    }
    Upstream &mean = it->second;
    mean.all.add(sample, upstreamWeight);
    mean.recent.add(sample, recentWeight);
    if (std::abs(mean.recent.logFactor - mean.all.logFactor) > changedSpeed) {
        mean.all = {mean.recent.logFactor, std::min(mean.all.samples, minReliableSamples)};
    }
    m_kinds[kind].add(sample, kindWeight);
    m_all.add(sample, kindWeight);
}

double RunTimes::factor(const UpstreamId &upstream, const std::string &kind) const
{
    if (const auto it = m_upstreams.find(upstream); it != m_upstreams.end()) {
        return std::exp(it->second.all.logFactor);
    }
    if (const auto it = m_kinds.find(kind); it != m_kinds.end()) {
        return std::exp(it->second.logFactor);
    }
    return meanFactor();
}

Duration RunTimes::expected(const UpstreamId &upstream, const std::string &kind,
                            Duration estimate) const
{
    return Duration{static_cast<Duration::rep>(static_cast<double>(estimate.count())
                                               * factor(upstream, kind))};
}

double RunTimes::fastestFactor() const
{
    double fastest = m_all.logFactor;
    for (const auto &[upstream, mean] : m_upstreams) {
        if (mean.all.samples >= minReliableSamples) {
            fastest = std::min(fastest, mean.all.logFactor);
        }
    }
    return std::exp(fastest);
}

double RunTimes::meanFactor() const
{
    return std::exp(m_all.logFactor);
}

} // namespace rattandock::fleet
