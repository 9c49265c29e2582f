#include "rattandock/fleet/estimate_correction.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <random>

using namespace rattandock;
using namespace rattandock::fleet;
using namespace std::chrono_literals;

namespace {

const QueueId queue{"q"};

Duration scaledBy(Duration time, double logFactor)
{
    return Duration{
            static_cast<Duration::rep>(static_cast<double>(time.count()) * std::exp(logFactor))};
}

/// Draws jobs of a queue with a mean run time of 200 ms. The run times and the errors of the
/// estimates spread by 40%, and 3 of 100 jobs take seven times as long.
struct Jobs
{
    struct Job
    {
        Duration estimate{};
        Duration runTime{};
    };

    Job next()
    {
        const bool isLong = std::uniform_real_distribution<double>{}(random) < 0.03;
        const Duration runTime = scaledBy(isLong ? 1400ms : 200ms, spread(random));
        return {scaledBy(runTime, spread(random)), runTime};
    }

    std::mt19937 random{7};
    std::normal_distribution<double> spread{0, 0.4};
};

double relativeError(Duration expected, Duration actual)
{
    return std::abs(
            std::log(static_cast<double>(expected.count()) / static_cast<double>(actual.count())));
}

} // namespace

BOOST_AUTO_TEST_SUITE(EstimateCorrectionTest)

// Guards against estimates that are used literally although finished runs show that their errors
// are as large as the differences between the jobs.
BOOST_AUTO_TEST_CASE(predictsBetterThanTheEstimates)
{
    EstimateCorrection correction;
    Jobs jobs;
    for (int n = 0; n < 2000; ++n) {
        const auto [estimate, runTime] = jobs.next();
        correction.addSample(queue, estimate, runTime);
    }
    double literal = 0;
    double corrected = 0;
    for (int n = 0; n < 2000; ++n) {
        const auto [estimate, runTime] = jobs.next();
        literal += relativeError(estimate, runTime);
        corrected += relativeError(correction.corrected(queue, estimate), runTime);
    }
    BOOST_TEST(corrected < 0.85 * literal);
    BOOST_TEST(correction.logSpread() < 0.4);
}

// Guards against taking a job of seven times the usual run time for an ordinary one that was
// overestimated, which starts it on a slow upstream where it cannot end in time.
BOOST_AUTO_TEST_CASE(keepsEstimatesFarAboveTheMean)
{
    EstimateCorrection correction;
    Jobs jobs;
    for (int n = 0; n < 2000; ++n) {
        const auto [estimate, runTime] = jobs.next();
        correction.addSample(queue, estimate, runTime);
    }
    BOOST_TEST(correction.corrected(queue, 2000ms) > 1200ms);
    // Mostly ordinary jobs that were overestimated, and underestimated ones.
    BOOST_TEST(correction.corrected(queue, 350ms) < 320ms);
    BOOST_TEST(correction.corrected(queue, 100ms) > 115ms);
}

// Guards against corrections from too few runs, and against those of another queue.
BOOST_AUTO_TEST_CASE(trustsEstimatesWithoutSamples)
{
    EstimateCorrection correction;
    BOOST_TEST((correction.corrected(queue, 100ms) == 100ms));
    correction.addSample(queue, 100ms, 400ms);
    BOOST_TEST(correction.corrected(queue, 100ms) < 130ms);
    BOOST_TEST((correction.corrected(QueueId{"other"}, 100ms) == 100ms));
    BOOST_TEST((correction.corrected(queue, 0ms) == 0ms));
}

// Guards against memory that grows with each queue that a configuration ever had.
BOOST_AUTO_TEST_CASE(forgetsTheLeastRecentlyUsedQueue)
{
    EstimateCorrection correction;
    for (int n = 0; n < 50; ++n) {
        correction.addSample(queue, 100ms, 200ms);
    }
    for (int n = 0; n < 1000; ++n) {
        correction.addSample(QueueId{"queue-" + std::to_string(n)}, 100ms, 100ms);
    }
    BOOST_TEST((correction.corrected(queue, 100ms) == 100ms));
}

BOOST_AUTO_TEST_SUITE_END()
