#pragma once

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "rattandock/base/ids.hpp"
#include "rattandock/base/time.hpp"

namespace rattandock::fleet {

/// A successful run of a task.
struct FinishedRun
{
    UpstreamId upstream;
    /// Kind of the upstream.
    std::string kind;
    Duration elapsed{};
};

/// Estimates the speeds of upstreams from finished runs, as a factor of run time to the caller's
/// estimate. A Kalman filter per upstream, with the average of its kind as the prior.
///
/// Load pattern: upstreams differ in speed by a factor of two and more, some become slow, and
/// estimates are too high or too low by half. All tasks of a job share the error of its estimate,
/// so the runs of one job are compared with each other, which shows a speed in a few runs. Factors
/// are relative to the callers' estimates and so can be compared between VMs.
/// Thread safety: none.
class RunTimes
{
public:
    /// Adds the runs of the tasks of one job, which have the same estimate. Precondition:
    /// `estimate` is positive.
    void addJob(Duration estimate, const std::vector<FinishedRun> &runs);
    /// Adds a single run. Precondition: `estimate` is positive.
    void addSample(const UpstreamId &upstream, const std::string &kind, Duration estimate,
                   Duration elapsed)
    {
        addJob(estimate, {{upstream, kind, elapsed}});
    }
    /// Returns the expected ratio of run time to estimate on the upstream. Falls back to the
    /// average of `kind`, then to `meanFactor()`, if there are no samples.
    double factor(const UpstreamId &upstream, const std::string &kind) const;
    /// Returns the expected run time on the upstream.
    Duration expected(const UpstreamId &upstream, const std::string &kind, Duration estimate) const;
    /// Returns the average factor over the runs of all kinds.
    double meanFactor() const;
    /// Returns the least factor of the upstreams whose factor is known well, at most
    /// `meanFactor()`.
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
        double logFactor = 0;
        /// Variance of the error of `logFactor`.
        double variance = 0;
        /// Average of the last runs, which shows a change of speed.
        double recent = 0;

        /// Adds a measurement whose error has the variance `noise`.
        void add(double value, double noise);
    };

    Upstream &upstreamOf(const FinishedRun &run);

    std::unordered_map<UpstreamId, Upstream> m_upstreams;
    std::map<std::string, Mean> m_kinds;
    Mean m_all;
};

} // namespace rattandock::fleet
