#pragma once

#include <cstdint>
#include <map>
#include <unordered_map>

#include "rattandock/base/time.hpp"
#include "rattandock/fleet/fleet_job.hpp"

namespace rattandock::fleet {

/// Corrects the callers' estimates of run times from finished runs, for each queue and each range
/// of estimates.
///
/// Load pattern: the estimates of a queue are off by 40% in both directions, and the run times
/// themselves spread by 40% around the queue's mean, but 3 of 100 take seven times as long. An
/// estimate of twice the mean is then mostly too high, one of seven times the mean is about right,
/// and one far below the mean is too low. Taken literally, estimates make the scheduler refuse long
/// jobs that could end in time, and place underestimated ones on slow upstreams.
/// Thread safety: none.
class EstimateCorrection
{
public:
    /// Adds the run time of a finished run, converted to an upstream of average speed.
    /// Precondition: `estimate` is positive.
    void addSample(const QueueId &queue, Duration estimate, Duration elapsed);
    /// Returns the expected run time on an upstream of average speed: the estimate itself while the
    /// queue has no samples near it.
    Duration corrected(const QueueId &queue, Duration estimate) const;
    /// Returns the standard deviation of the logarithm of actual against corrected run time.
    double logSpread() const;

private:
    /// Average ratio of run time to estimate in one range of estimates.
    struct Range
    {
        double logRatio = 0;
        double samples = 0;
    };
    /// Ranges by their index on a logarithmic scale of the estimate.
    struct Queue
    {
        std::map<int, Range> ranges;
        /// Number of the last sample of all queues that was added here.
        std::uint64_t lastSample = 0;
    };

    static double logRatioAt(const Queue &queue, double logEstimate);

    std::unordered_map<QueueId, Queue> m_queues;
    std::uint64_t m_samples = 0;
    double m_residualVariance = 0.16;
};

} // namespace rattandock::fleet
