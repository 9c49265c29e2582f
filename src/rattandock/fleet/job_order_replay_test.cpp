// Replays a burst on the order of waiting jobs and compares it with the order that holds where no
// priorities compete. The replay is a pool of cores without fragmentation.
#include "job_order_replay_test.hpp"

#include <boost/test/unit_test.hpp>

using namespace rattandock;
using namespace rattandock::fleet;
using namespace rattandock::fleet::test;

namespace {

/// Results of the jobs that arrived in the burst, over all seeds.
struct QueueResult
{
    double jobs = 0;
    double value = 0;
    double completed = 0;
    double largeJobs = 0;
    double largeCompleted = 0;
    double nextJobs = 0;
    double nextCompleted = 0;
    double refused = 0;
    /// Sum of the seconds that refused jobs had waited.
    double refusedWait = 0;

    double share() const { return completed / jobs; }
    double largeShare() const { return largeCompleted / largeJobs; }
    double nextShare() const { return nextCompleted / nextJobs; }
    double meanRefusedWait() const { return refusedWait / std::max(refused, 1.0); }
};

std::vector<QueueResult> replay(double load, bool usesOrder)
{
    constexpr double capacity = 1500;
    // Gives over 200 jobs of the largest tenth of the smallest queue.
    constexpr std::uint64_t seedCount = 40;
    std::vector<QueueResult> results(queueLoads.size());
    for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
        Replay one{drawJobs(seed, load, 4s, capacity), capacity, usesOrder};
        std::vector<std::vector<const ReplayJob *>> byQueue(queueLoads.size());
        const auto &jobs = one.run();
        for (const ReplayJob &it : jobs) {
            if (it.arrived >= TimePoint{101s}) {
                byQueue[it.queue].push_back(&it);
            }
        }
        for (std::size_t queue = 0; queue < byQueue.size(); ++queue) {
            auto &list = byQueue[queue];
            std::ranges::sort(list, std::greater{}, &ReplayJob::trueWork);
            QueueResult &result = results[queue];
            for (std::size_t n = 0; n < list.size(); ++n) {
                const ReplayJob &it = *list[n];
                const double isCompleted = it.completedAt ? 1 : 0;
                result.jobs += 1;
                result.value += it.value();
                result.completed += isCompleted;
                if (n * 10 < list.size()) {
                    result.largeJobs += 1;
                    result.largeCompleted += isCompleted;
                } else if (n * 10 < list.size() * 3) {
                    result.nextJobs += 1;
                    result.nextCompleted += isCompleted;
                }
                if (it.refusedAt) {
                    result.refused += 1;
                    result.refusedWait +=
                            1e-6 * static_cast<double>((*it.refusedAt - it.arrived).count());
                }
            }
        }
    }
    for (const QueueResult &it : results) {
        BOOST_TEST_MESSAGE("load " << load << (usesOrder ? " by value: " : " as before: ")
                                   << it.jobs << " jobs, value " << it.value / it.jobs
                                   << ", completed " << it.share() << ", largest tenth "
                                   << it.largeShare() << ", next fifth " << it.nextShare()
                                   << ", refused " << it.refused / it.jobs << " after "
                                   << 1000 * it.meanRefusedWait() << " ms");
    }
    return results;
}

double totalValue(const std::vector<QueueResult> &results)
{
    double sum = 0;
    for (const QueueResult &it : results) {
        sum += it.value;
    }
    return sum;
}

} // namespace

BOOST_AUTO_TEST_SUITE(JobOrderReplayTest)

// Guards against serving whoever comes next when too much arrives: short jobs of the most important
// queue that need hardly any capacity were refused, and jobs waited until they were worthless.
BOOST_AUTO_TEST_CASE(servesMoreValueInABurst)
{
    for (const double load : {1.8, 2.6}) {
        const auto former = replay(load, false);
        const auto now = replay(load, true);
        BOOST_TEST(totalValue(now) >= 1.2 * totalValue(former));
        BOOST_TEST(now[0].value >= 2.5 * former[0].value);
        // Jobs of the least important queue take the most work for their value, so they yield.
        BOOST_TEST(now[1].value >= 0.25 * now[1].jobs);
        BOOST_TEST(now[2].value >= 0.4 * now[2].jobs);
    }
}

// Guards against starving large jobs. Of the largest tenth of the queue with priority 2, 0.24 were
// served, and of the whole queue 0.78.
BOOST_AUTO_TEST_CASE(servesLargeJobsHalfAsOftenAsTheirQueue)
{
    for (const double load : {1.2, 1.8, 2.6}) {
        for (const QueueResult &it : replay(load, true)) {
            BOOST_TEST(it.largeShare() >= 0.5 * it.share());
            BOOST_TEST(it.nextShare() >= 0.5 * it.share());
        }
    }
}

// Guards against refusals that come so late that the caller cannot turn elsewhere.
BOOST_AUTO_TEST_CASE(refusesEarly)
{
    const auto former = replay(1.8, false);
    const auto now = replay(1.8, true);
    BOOST_TEST(now[1].meanRefusedWait() <= 0.6 * former[1].meanRefusedWait());
    BOOST_TEST(now[2].meanRefusedWait() <= 0.6 * former[2].meanRefusedWait());
    for (const QueueResult &it : now) {
        BOOST_TEST(it.meanRefusedWait() <= 0.3);
    }
}

// Guards against a cost of the rule where hardly anything competes.
BOOST_AUTO_TEST_CASE(keepsTheValueBelowTheCapacity)
{
    for (const double load : {0.7, 0.9, 1.0}) {
        BOOST_TEST(totalValue(replay(load, true)) >= 0.995 * totalValue(replay(load, false)));
    }
}

BOOST_AUTO_TEST_SUITE_END()
