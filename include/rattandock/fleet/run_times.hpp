#pragma once

#include <map>
#include <string>
#include <unordered_map>

#include "rattandock/base/ids.hpp"
#include "rattandock/base/time.hpp"

namespace rattandock::fleet {

/// Estimates run times from finished runs, as a factor of the caller's estimate. Keeps exponential
/// moving averages per upstream, per kind of upstream and over all runs.
///
/// Load pattern: upstreams differ in speed by a factor of two and more, some become slow, and
/// estimates are too high or too low by half. The averages are taken of logarithms, so that one
/// long run does not outweigh many short ones, and over about a hundred runs, unless the last ten
/// show that an upstream has changed its speed. A new upstream starts with the average of its kind.
/// Thread safety: none.
class RunTimes
{
public:
    /// Adds the run time of a successful run. Precondition: `estimate` is positive.
    void addSample(const UpstreamId &upstream, const std::string &kind, Duration estimate,
                   Duration elapsed);
    /// Returns the expected ratio of run time to estimate on the upstream. Falls back to the
    /// average of `kind`, then to `meanFactor()`, if there are no samples.
    double factor(const UpstreamId &upstream, const std::string &kind) const;
    /// Returns the expected run time on the upstream.
    Duration expected(const UpstreamId &upstream, const std::string &kind, Duration estimate) const;
    /// Returns the average factor over all kinds.
    double meanFactor() const;
    /// Returns the least factor of the upstreams with enough samples, at most `meanFactor()`.
    double fastestFactor() const;
    /// Discards the samples of the upstream.
    void remove(const UpstreamId &upstream) { m_upstreams.erase(upstream); }

private:
    struct Mean
    {
        double logFactor = 0;
        double samples = 0;

        void add(double value, double weight);
    };

    struct Upstream
    {
        Mean all;
        /// Of the last runs.
        Mean recent;
    };

    std::unordered_map<UpstreamId, Upstream> m_upstreams;
    std::map<std::string, Mean> m_kinds;
    Mean m_all;
};

} // namespace rattandock::fleet
