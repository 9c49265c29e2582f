// Stops of many runs at once by the real dispatchers of three VMs in simulated time.
#include <boost/test/unit_test.hpp>

#include "fleet_world_test.hpp"

using namespace rattandock;
using namespace rattandock::fleet;
using namespace rattandock::fleet::test;

namespace {

/// Jobs of up to 200 tasks of a tenth of a core, which run for some seconds.
const WorldFaults manySmallTasks{.arrivalInterval = std::chrono::milliseconds{120},
                                 .runFailure = 0,
                                 .longestEstimate = std::chrono::milliseconds{2500},
                                 .mostTasks = 200,
                                 .leastCpu = 100,
                                 .mostCpu = 100,
                                 .callerDeadline = std::chrono::milliseconds{9000}};

} // namespace

BOOST_AUTO_TEST_SUITE(FleetStopsTest)

// Guards against two concurrent runs of a task after hundreds of runs of an upstream lost their
// callers at once: their stop orders were held back, while the lease was renewed for other runs.
BOOST_AUTO_TEST_CASE(stopsHundredsOfRunsBeforeTheirJobsComeBack)
{
    for (const auto answerTime : {0ms, 50ms}) {
        std::size_t mostRuns = 0;
        std::size_t stopped = 0;
        for (std::uint64_t seed = 20'000; seed < 20'005; ++seed) {
            WorldFaults faults = manySmallTasks;
            faults.stopAnswerTime = answerTime;
            FleetWorld world{seed, faults};
            for (const auto time : {7s, 11s}) {
                world.after(time, [&] { world.resetCallers(seed % vmCount, 0.5); });
            }
            world.run(16s);
            BOOST_TEST_CONTEXT("seed " << seed << ", answers within " << answerTime.count()
                                       << " ms")
            {
                BOOST_TEST(world.violations().empty());
                BOOST_TEST(world.lapsedRuns() == 0);
                BOOST_TEST(world.ordersWithoutConnection() == 0);
                BOOST_TEST(world.undisturbedWithoutAnswer() == 0);
            }
            mostRuns = std::max(mostRuns, world.mostRunsOnAnUpstream());
            stopped += world.stoppedRuns();
        }
        BOOST_TEST_MESSAGE(mostRuns << " runs on an upstream at most, " << stopped << " stopped");
        BOOST_TEST(mostRuns > 400);
        BOOST_TEST(stopped > 1000);
    }
}

// Guards against two concurrent runs of a task whose stop orders fail: the lease of the stopped run
// was renewed for the runs of other jobs on the upstream.
BOOST_AUTO_TEST_CASE(endsRunsBeforeTheirJobsComeBackWhileStopOrdersFail)
{
    for (const double refused : {0.4, 0.9, 1.0}) {
        std::size_t lapsed = 0;
        std::size_t stopped = 0;
        std::size_t completed = 0;
        for (std::uint64_t seed = 21'000; seed < 21'050; ++seed) {
            FleetWorld world{seed,
                             {.callerReset = 0.3,
                              .stopRefused = refused,
                              .arrivalInterval = std::chrono::milliseconds{80},
                              .longestEstimate = std::chrono::milliseconds{2500},
                              .leastCpu = 1000,
                              .mostCpu = 8000,
                              .callerDeadline = std::chrono::milliseconds{6000}}};
            world.run(14s);
            BOOST_TEST_CONTEXT("seed " << seed << ", " << refused << " of the stops refused")
            {
                BOOST_TEST(world.violations().empty());
            }
            lapsed += world.lapsedRuns();
            stopped += world.stoppedRuns();
            completed += world.completed();
        }
        BOOST_TEST_MESSAGE(refused << " refused: " << stopped << " runs stopped, " << lapsed
                                   << " lapsed, " << completed << " jobs completed");
        BOOST_TEST(completed > 0);
    }
}

// Guards against the same where the clocks of the upstreams are 2% slow, so that leases last
// longer.
BOOST_AUTO_TEST_CASE(endsRunsBeforeTheirJobsComeBackWhileClocksAreSlow)
{
    std::size_t lapsed = 0;
    for (std::uint64_t seed = 24'000; seed < 24'030; ++seed) {
        FleetWorld world{seed,
                         {.callerReset = 0.3,
                          .stopRefused = 1,
                          .clockRate = 0.98,
                          .arrivalInterval = std::chrono::milliseconds{80},
                          .longestEstimate = std::chrono::milliseconds{2500},
                          .leastCpu = 1000,
                          .mostCpu = 8000,
                          .callerDeadline = std::chrono::milliseconds{6000}}};
        world.run(14s);
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            BOOST_TEST(world.violations().empty());
        }
        lapsed += world.lapsedRuns();
    }
    BOOST_TEST(lapsed > 1000);
}

// Guards against the same where all kinds of orders fail: they are lost, executed without an
// answer, or executed 2 to 12 s later.
BOOST_AUTO_TEST_CASE(endsRunsBeforeTheirJobsComeBackWhileAllOrdersFail)
{
    for (const double failed : {0.4, 0.9}) {
        std::size_t starts = 0;
        for (std::uint64_t seed = 22'000; seed < 22'050; ++seed) {
            FleetWorld world{seed,
                             {.orderLost = failed * 0.4,
                              .replyLost = failed * 0.3,
                              .orderDelayed = failed * 0.3,
                              .callerReset = 0.3,
                              .stopRefused = failed / 2,
                              .arrivalInterval = std::chrono::milliseconds{80},
                              .longestEstimate = std::chrono::milliseconds{2500},
                              .leastCpu = 1000,
                              .mostCpu = 8000,
                              .callerDeadline = std::chrono::milliseconds{6000}}};
            world.run(14s);
            BOOST_TEST_CONTEXT("seed " << seed << ", " << failed << " of all orders fail")
            {
                BOOST_TEST(world.violations().empty());
            }
            starts += world.starts();
        }
        BOOST_TEST(starts > 0);
    }
}

// Guards against two concurrent runs of a task of a job that comes back after a planned stop, a
// kill or a pause of the VM that had it, or that had some of its tasks, with hundreds of runs on
// each upstream.
BOOST_AUTO_TEST_CASE(endsHundredsOfRunsOfAVmThatStops)
{
    std::size_t mostRuns = 0;
    for (std::uint64_t seed = 23'000; seed < 23'008; ++seed) {
        FleetWorld world{seed, manySmallTasks};
        const std::size_t vm = seed % vmCount;
        const std::size_t other = (vm + 1) % vmCount;
        world.after(7s, [&] { world.resetCallers(vm, 0.5); });
        world.after(7300ms, [&] { world.stopVm(other); });
        world.after(9s, [&] { world.freeze(vm, 700ms); });
        world.after(11s, [&] { world.resetCallers(other, 0.5); });
        world.after(11500ms, [&] { world.killVm(vm); });
        world.run(18s);
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            BOOST_TEST(world.violations().empty());
        }
        mostRuns = std::max(mostRuns, world.mostRunsOnAnUpstream());
    }
    BOOST_TEST(mostRuns > 300);
}

BOOST_AUTO_TEST_SUITE_END()
