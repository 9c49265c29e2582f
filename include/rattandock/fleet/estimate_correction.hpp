#pragma once

#include <cstdint>
#include <unordered_map>

#include "rattandock/base/time.hpp"
#include "rattandock/fleet/fleet_job.hpp"

namespace rattandock::fleet {

/// Corrects the callers' estimates of run times from finished runs, by a linear regression of the
/// logarithm of the run time on the logarithm of the estimate, for each queue.
///
/// Load pattern: the estimates of a queue are off by 40% in both directions, and the run times
/// themselves spread by 40% around the queue's mean. An estimate far above the mean is then mostly
/// too high, and one far below it too low. Taken literally, estimates make the scheduler refuse
/// long jobs that could end in time, and place underestimated ones on slow upstreams.
/// Thread safety: none.
class EstimateCorrection
{
public:
    /// Adds the run time of a finished run, converted to an upstream of average speed.
    /// Precondition: `estimate` is positive.
    void addSample(const QueueId &queue, Duration estimate, Duration elapsed);
    /// Returns the expected run time on an upstream of average speed: the estimate itself while the
    /// queue has no samples.
    Duration corrected(const QueueId &queue, Duration estimate) const;
    /// Returns the standard deviation of the logarithm of actual against corrected run time.
    double logSpread() const;

private:
    /// Exponentially weighted sums of a regression of y = log(run time) on x = log(estimate).
    struct Regression
    {
        double weight = 0;
        double meanX = 0;
        double meanY = 0;
        double sumXX = 0;
        double sumXY = 0;
        /// Number of the last sample of all queues that was added here.
        std::uint64_t lastSample = 0;

        void add(double x, double y);
        double predict(double x) const;
    };

    std::unordered_map<QueueId, Regression> m_queues;
    std::uint64_t m_samples = 0;
    double m_residualVariance = 0.16;
};

} // namespace rattandock::fleet
