// Random schedules of faults against the real dispatchers of three VMs.
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <iostream>

#include "fleet_world_test.hpp"

using namespace rattandock::fleet;
using namespace rattandock::fleet::test;

namespace {

const WorldFaults everything{.lost = 0.01,
                             .answerLost = 0.02,
                             .late = 0.03,
                             .kill = 0.15,
                             .freeze = 0.2,
                             .upstreamCrash = 0.2,
                             .upstreamCut = 0.2,
                             .linkCut = 0.2,
                             .storeDown = 0.1,
                             .callerLeaves = 0.1,
                             .arrivalInterval = std::chrono::milliseconds{50},
                             .hangs = 0.01};

struct Totals
{
    std::size_t schedules = 0;
    std::size_t faults = 0;
    std::size_t submitted = 0;
    std::size_t completed = 0;
    std::size_t starts = 0;
};

/// Runs schedules and prints the first breaches with their seeds.
Totals runSchedules(const WorldFaults &faults, std::uint64_t firstSeed, std::size_t count,
                    std::chrono::seconds length)
{
    Totals totals;
    std::size_t breaches = 0;
    for (std::uint64_t seed = firstSeed; seed < firstSeed + count; ++seed) {
        FleetWorld world{seed, faults};
        world.run(length);
        ++totals.schedules;
        totals.faults += world.faultsInjected();
        totals.submitted += world.submitted();
        totals.completed += world.completed();
        totals.starts += world.starts();
        for (const std::string &it : world.breaches()) {
            if (++breaches <= 5) {
                BOOST_TEST_MESSAGE("seed " << seed << ": " << it);
            }
        }
        BOOST_CHECK_MESSAGE(world.breaches().empty(),
                            "seed " << seed << " breaks " << world.breaches().size()
                                    << " promises, first: "
                                    << (world.breaches().empty() ? "" : world.breaches()[0]));
    }
    BOOST_TEST_MESSAGE(totals.schedules << " schedules, " << totals.faults << " faults, "
                                        << totals.submitted << " jobs, " << totals.completed
                                        << " completed, " << totals.starts << " starts");
    return totals;
}

} // namespace

BOOST_AUTO_TEST_SUITE(FleetPropertyTest)

// Prints the trace of the seed in FLEET_SEED; a tool for tracing a breach.
BOOST_AUTO_TEST_CASE(tracesOneSeed, *boost::unit_test::disabled())
{
    const char *const seed = std::getenv("FLEET_SEED");
    FleetWorld world{std::stoull(seed != nullptr ? seed : "1"),
                     std::getenv("FLEET_CALM") != nullptr ? WorldFaults{} : everything};
    world.trace([](const std::string &line) { std::cout << line << '\n'; });
    world.run(std::chrono::seconds{20});
}

// Fresh or many schedules by hand: FLEET_SEED is the first, FLEET_SCHEDULES their number.
BOOST_AUTO_TEST_CASE(keepsPromisesOverManySchedules, *boost::unit_test::disabled())
{
    const char *const seed = std::getenv("FLEET_SEED");
    const char *const count = std::getenv("FLEET_SCHEDULES");
    BOOST_REQUIRE(seed != nullptr && count != nullptr);
    const Totals totals = runSchedules(everything, std::stoull(seed), std::stoull(count),
                                       std::chrono::seconds{12});
    BOOST_TEST(totals.schedules > 0);
    BOOST_TEST(totals.completed > 0);
}

// Guards against a calm fleet that refuses or breaks off work.
BOOST_AUTO_TEST_CASE(servesACalmFleet)
{
    FleetWorld world{1, {.arrivalInterval = std::chrono::milliseconds{250}}};
    world.run(20s);
    BOOST_TEST_MESSAGE(world.submitted()
                       << " jobs, " << world.completed() << " completed, " << world.turnedAway()
                       << " turned away, " << world.brokenOff() << " broken off");
    BOOST_TEST(world.breaches().empty());
    BOOST_TEST(world.submitted() > 50);
    BOOST_TEST(world.completed() * 100 >= world.submitted() * 90);
}

// Guards against two runs of one task, a start over the room or after a refusal, when orders to
// upstreams are lost, carried out without an answer, or carried out seconds later.
BOOST_AUTO_TEST_CASE(keepsPromisesWhileOrdersAreLostOrLate)
{
    const Totals totals = runSchedules({.lost = 0.02, .answerLost = 0.03, .late = 0.05}, 1000, 300,
                                       std::chrono::seconds{12});
    BOOST_TEST(totals.completed > 0);
}

// The same with three times the work that fits, where jobs wait, are refused and given up.
BOOST_AUTO_TEST_CASE(keepsPromisesUnderOverload)
{
    const Totals totals = runSchedules({.answerLost = 0.02,
                                        .late = 0.02,
                                        .callerLeaves = 0.2,
                                        .arrivalInterval = std::chrono::milliseconds{30}},
                                       5000, 200, std::chrono::seconds{12});
    BOOST_TEST(totals.completed > 0);
}

// The same while VMs and upstreams die, freeze and are cut off, and the store is away.
BOOST_AUTO_TEST_CASE(keepsPromisesWhileEverythingFails)
{
    const Totals totals = runSchedules(everything, 2000, 700, std::chrono::seconds{12});
    BOOST_TEST(totals.completed > 0);
    BOOST_TEST(totals.faults > 1000);
}

BOOST_AUTO_TEST_SUITE_END()
