#include "rattandock/fleet/run_times.hpp"

#include <algorithm>
#include <cmath>

namespace rattandock::fleet {

namespace {

/// Variances of logarithms: of the run times of one job's tasks on upstreams of one speed, of the
/// ratio of a job's run time to its estimate, and of the speeds of upstreams of one kind.
constexpr double taskVariance = 0.0225;
constexpr double estimateVariance = 0.16;
constexpr double speedVariance = 0.09;
/// Least weight of a new measurement, so that a slow change of speed shows within a hundred runs.
constexpr double minWeight = 0.02;
/// Weight of a new sample in the average that shows a change of speed within a few runs.
constexpr double recentWeight = 0.1;
/// Difference of the logarithms at which the recent runs replace the estimate: three standard
/// deviations of the recent average.
constexpr double changedSpeed = 0.36;
/// Weight of a new sample in the average of a kind and in the overall average.
constexpr double kindWeight = 0.02;
/// Bound of the logarithm of one sample in both directions, which limits the effect of outliers.
constexpr double maxLogFactor = 3.0;
/// Variance up to which the factor of an upstream is considered reliable, a standard deviation of
/// half the step between two speeds.
constexpr double reliableVariance = 0.012;

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

void RunTimes::Upstream::add(double value, double noise)
{
    const double weight = std::max(variance / (variance + noise), minWeight);
    logFactor += (value - logFactor) * weight;
    variance *= 1 - weight;
    recent += (value - recent) * recentWeight;
    if (std::abs(recent - logFactor) > changedSpeed) {
        logFactor = recent;
        variance = speedVariance;
    }
}

RunTimes::Upstream &RunTimes::upstreamOf(const FinishedRun &run)
{
    const auto [it, isNew] = m_upstreams.try_emplace(run.upstream);
    if (isNew) {
        const auto kind = m_kinds.find(run.kind);
        const double prior = kind == m_kinds.end() ? m_all.logFactor : kind->second.logFactor;
        it->second = {prior, speedVariance, prior};
    }
    return it->second;
}

void RunTimes::addJob(Duration estimate, const std::vector<FinishedRun> &runs)
{
    std::vector<double> residuals;
    double sum = 0;
    for (const FinishedRun &it : runs) {
        const double known = upstreamOf(it).logFactor;
        residuals.push_back(logFactorOf(estimate, it.elapsed) - known);
        sum += residuals.back();
    }
    // The error of the job's estimate, as the other runs of the job show it.
    const double others = static_cast<double>(runs.size()) - 1;
    const double precision = others / taskVariance + 1 / estimateVariance;
    const double noise = taskVariance + 1 / precision;
    for (std::size_t n = 0; n < runs.size(); ++n) {
        const double estimateError = (sum - residuals[n]) / taskVariance / precision;
        Upstream &upstream = upstreamOf(runs[n]);
        upstream.add(logFactorOf(estimate, runs[n].elapsed) - estimateError, noise);
        m_kinds[runs[n].kind].add(upstream.logFactor, kindWeight);
        m_all.add(upstream.logFactor, kindWeight);
    }
}

double RunTimes::factor(const UpstreamId &upstream, const std::string &kind) const
{
    if (const auto it = m_upstreams.find(upstream); it != m_upstreams.end()) {
        return std::exp(it->second.logFactor);
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
    for (const auto &[upstream, it] : m_upstreams) {
        if (it.variance <= reliableVariance) {
            fastest = std::min(fastest, it.logFactor);
        }
    }
    return std::exp(fastest);
}

double RunTimes::meanFactor() const
{
    return std::exp(m_all.logFactor);
}

} // namespace rattandock::fleet
