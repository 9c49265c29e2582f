#include "rattandock/fleet/placement.hpp"

#include <boost/test/unit_test.hpp>

using namespace rattandock;
using namespace rattandock::fleet;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(PlacementTest)

// Guards against a long task that never starts because its expected run time exceeds the deadline
// on each upstream, although half of such tasks are overestimated.
BOOST_AUTO_TEST_CASE(startsLongTasksThatMayEndInTime)
{
    const std::vector<PlacementCandidate> candidates{{0, 8'000, 2000ms}, {1, 8'000, 1600ms}};
    const PlacementLimits limits{2000ms, 1480ms, 1600ms, 0.4};
    BOOST_TEST(choosePlacement(candidates, limits).value() == 1);
    BOOST_TEST(!isHopeless(limits));
}

// Guards against spending room on a task that hardly can end in time.
BOOST_AUTO_TEST_CASE(doesNotStartHopelessTasks)
{
    const PlacementLimits limits{2000ms, 1480ms, 4000ms, 0.4};
    BOOST_TEST(!choosePlacement({{0, 8'000, 4000ms}}, limits));
    BOOST_TEST(isHopeless(limits));
    BOOST_TEST(isHopeless({0ms, 0ms, 10ms, 0.4}));
}

// Guards against a long task on a slow upstream while a faster one is free, where it ends in time
// only if its estimate was not too low.
BOOST_AUTO_TEST_CASE(prefersTheBetterChanceForLongTasks)
{
    const std::vector<PlacementCandidate> candidates{{0, 8'000, 900ms}, {1, 8'000, 600ms}};
    BOOST_TEST(choosePlacement(candidates, {1200ms, 1480ms, 600ms, 0.4}).value() == 1);
}

// Guards against a task that waits for a fast upstream until it cannot end in time on any.
BOOST_AUTO_TEST_CASE(waitsForFasterUpstreamsOnlyForAWhile)
{
    const std::vector<PlacementCandidate> slow{{0, 8'000, 1300ms}};
    PlacementLimits limits{1480ms, 1480ms, 800ms, 0.3, 300ms};
    BOOST_TEST(!choosePlacement(slow, limits));
    BOOST_TEST(maxUsefulRunTime(limits) < 1300ms);
    limits.waitForFaster = 0ms;
    BOOST_TEST(choosePlacement(slow, limits).value() == 0);
    BOOST_TEST(maxUsefulRunTime(limits) >= 1300ms);
}

// Guards against a wait that costs more chance than the faster upstream adds. Long tasks waited for
// a fifth of their caller's time for a run of little more chance, and then started too late.
BOOST_AUTO_TEST_CASE(doesNotWaitForASmallGain)
{
    const std::vector<PlacementCandidate> candidates{{0, 8'000, 900ms}};
    BOOST_TEST(choosePlacement(candidates, {1400ms, 1480ms, 720ms, 0.33, 300ms}).has_value());
}

// Guards against an offer limit that excludes the fastest upstream itself.
BOOST_AUTO_TEST_CASE(fastestUpstreamIsAlwaysUseful)
{
    for (const Duration run : {50ms, 500ms, 1500ms, 5000ms}) {
        BOOST_TEST(maxUsefulRunTime({300ms, 1480ms, run, 0.3}) >= run);
    }
}

// Guards against a long task with too low an estimate on a slow upstream while a faster one is
// free: with 600 ms expected there, one in eighty ends too late, and half as many on the faster
// one.
BOOST_AUTO_TEST_CASE(prefersTheFasterUpstreamForASmallGain)
{
    const std::vector<PlacementCandidate> candidates{{0, 8'000, 600ms}, {1, 8'000, 480ms}};
    BOOST_TEST(choosePlacement(candidates, {1000ms, 1480ms, 480ms, 0.4}).value() == 1);
}

// Guards against offers to other VMs that gain less than they cost.
BOOST_AUTO_TEST_CASE(prefersAnotherVmOnlyForAClearGain)
{
    PlacementLimits limits{1400ms, 1480ms, 630ms, 0.4};
    const std::vector<PlacementCandidate> here{{0, 8'000, 900ms}};
    BOOST_TEST(!isBetterElsewhere(here, limits));
    limits.runTimeElsewhere = 630ms;
    BOOST_TEST(isBetterElsewhere(here, limits));
    BOOST_TEST(!isBetterElsewhere({{0, 8'000, 900ms}, {1, 8'000, 640ms}}, limits));
    // Without room here, the task is offered in any case.
    BOOST_TEST(!isBetterElsewhere({}, limits));
    limits = {200ms, 1480ms, 120ms, 0.4, {}, 120ms};
    BOOST_TEST(!isBetterElsewhere({{0, 8'000, 180ms}}, limits));
}

BOOST_AUTO_TEST_SUITE_END()
