#pragma once

#include <map>
#include <string>
#include <unordered_map>

#include "rattandock/base/ids.hpp"
#include "rattandock/base/time.hpp"

namespace rattandock::fleet {

/// Learns from finished runs how long upstreams take in proportion to the caller's estimate.
///
/// Load pattern: upstreams differ in speed by a factor of two and more, some turn slow, and
/// estimates are off by half either way. Means are taken of logarithms, so that one long run does
/// not outweigh many short ones. An upstream starts with the mean of its kind. Thread safety: none.
class RunTimes
{
public:
    /// A run has ended in success. Precondition: the estimate is positive.
    void learn(const UpstreamId &upstream, const std::string &kind, Duration estimate,
               Duration elapsed);
    /// Factor of the estimate that a run takes there.
    double factor(const UpstreamId &upstream, const std::string &kind) const;
    Duration expected(const UpstreamId &upstream, const std::string &kind, Duration estimate) const;
    /// Mean factor over all kinds.
    double meanFactor() const;
    /// Factor of the fastest upstream that is known well.
    double fastestFactor() const;
    void forget(const UpstreamId &upstream) { m_upstreams.erase(upstream); }

private:
    struct Mean
    {
        double logFactor = 0;
        double samples = 0;

        void add(double value, double weight);
    };

    std::unordered_map<UpstreamId, Mean> m_upstreams;
    std::map<std::string, Mean> m_kinds;
    Mean m_all;
};

} // namespace rattandock::fleet
