#include "rattandock/core/upstream_table.hpp"

#include <random>

#include <boost/test/unit_test.hpp>

using namespace rattandock;
using namespace rattandock::core;
using namespace std::chrono_literals;

namespace {

struct Fixture
{
    Fixture()
        : table(ZoneId{"zone-1"})
    {
    }

    void configure(std::uint32_t upstreams, std::uint32_t cores = 64)
    {
        specs.clear();
        for (std::uint32_t n = 0; n < upstreams; ++n) {
            UpstreamSpec &it = specs.emplace_back();
            it.id = UpstreamId{std::to_string(n)};
            it.zone = ZoneId{"zone-1"};
            it.capacity.cores = Cores{cores};
        }
        table.configure(specs);
    }

    UpstreamIndex index(int n) const { return table.find(UpstreamId{std::to_string(n)}).value(); }

    void recordRunTime(int upstream, Duration estimate, Duration measured, int times)
    {
        for (int n = 0; n < times; ++n) {
            table.recordRunTime(index(upstream), estimate, measured);
        }
    }

    UpstreamTable table;
    std::vector<UpstreamSpec> specs;
    TimePoint now{1s};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(UpstreamTableTest, Fixture)

// Guards against a cost that doesn't follow run times, or that a few wrong estimates or stragglers
// reverse.
BOOST_AUTO_TEST_CASE(costFollowsRunTimesDespiteOutliers)
{
    configure(2);
    recordRunTime(0, 100ms, 50ms, 60);
    recordRunTime(1, 100ms, 200ms, 60);
    BOOST_TEST(table.cost(index(0)) == 0.5, boost::test_tools::tolerance(0.05));
    BOOST_TEST(table.cost(index(1)) == 2.0, boost::test_tools::tolerance(0.05));
    recordRunTime(0, 1us, 60s, 1);
    recordRunTime(0, 0us, 60s, 50);
    recordRunTime(1, 3600s, 1ms, 1);
    BOOST_TEST(table.cost(index(0)) < 0.65);
    BOOST_TEST(table.cost(index(1)) > 1.6);
}

// Guards against a wrong order of upstream costs when estimates are off by up to three times.
BOOST_AUTO_TEST_CASE(noisyEstimatesKeepTheOrder)
{
    configure(2);
    std::mt19937_64 random{5};
    std::uniform_real_distribution<double> error{-1.0, 1.0};
    for (int n = 0; n < 200; ++n) {
        for (int k = 0; k < 2; ++k) {
            const double factor = std::pow(3.0, error(random)) * (k == 0 ? 1.0 : 2.0);
            recordRunTime(k, 100ms, Duration{static_cast<Duration::rep>(100'000 * factor)}, 1);
        }
        if (n > 20) {
            BOOST_TEST(table.cost(index(0)) < table.cost(index(1)));
        }
    }
}

// Guards against a new upstream whose cost differs from its zone's mean before it has run a task.
BOOST_AUTO_TEST_CASE(startsAtTheMeanOfItsZone)
{
    configure(3);
    BOOST_TEST(table.cost(index(2)) == 1.0);
    recordRunTime(0, 100ms, 50ms, 200);
    recordRunTime(1, 100ms, 200ms, 200);
    BOOST_TEST(table.cost(index(2)) == 1.0, boost::test_tools::tolerance(0.05));
    recordRunTime(1, 100ms, 50ms, 200);
    BOOST_TEST(table.cost(index(2)) == 0.5, boost::test_tools::tolerance(0.05));
}

// Guards against slots that are counted twice, and against tasks placed on a leaving upstream.
BOOST_AUTO_TEST_CASE(leavingUpstreamsHaveNoFreeSlot)
{
    configure(2);
    const SlotLease lease = table.start(index(0), 100ms, now);
    BOOST_TEST(table.usableSlots() == 16);
    BOOST_TEST(table.setLife(index(0), UpstreamLife::Leaving));
    BOOST_TEST(!table.isFree(index(0)));
    BOOST_TEST(table.usableSlots() == 8);
    BOOST_TEST(table.slots().freeCount() == 1);
    table.end(lease);
    BOOST_TEST(table.slots().freeCount() == 1);
    BOOST_TEST(table.setLife(index(0), UpstreamLife::Live));
    BOOST_TEST(table.slots().freeCount() == 2);
    BOOST_TEST(table.usableSlots() == 16);
}

// Guards against the ejection of more than a third of an availability zone.
BOOST_AUTO_TEST_CASE(ejectsAtMostAThirdOfAZone)
{
    configure(10);
    int ejected = 0;
    for (std::uint64_t job = 0; job < 20; ++job) {
        for (int n = 0; n < 10; ++n) {
            const auto change = table.failed(index(n), JobHandle{job}, now);
            ejected += change == UpstreamHealth::Change::Ejected ? 1 : 0;
        }
    }
    BOOST_TEST(ejected == 3);
    BOOST_TEST(table.usableSlots() == 56);
}

// Guards against more than one concurrent task on an upstream whose probe hasn't succeeded.
BOOST_AUTO_TEST_CASE(anEjectedUpstreamGetsOneProbe)
{
    configure(3);
    for (std::uint64_t job = 0; job < 5; ++job) {
        table.failed(index(0), JobHandle{job}, now);
    }
    BOOST_TEST((table.health(index(0)) == HealthState::Ejected));
    table.release(table.nextRelease().value());
    BOOST_TEST(table.probesDue().contains(index(0)));
    BOOST_TEST(!table.isFree(index(0)));
    const SlotLease probe = table.start(index(0), 100ms, now);
    BOOST_TEST(table.probesDue().empty());
    BOOST_TEST(!table.isFree(index(0)));
    table.succeeded(index(0), JobHandle{9});
    table.end(probe);
    BOOST_TEST(table.isFree(index(0)));
}

// Guards against running tasks that are lost, and against placement on an upstream that is too
// small, when a new configuration changes the shapes.
BOOST_AUTO_TEST_CASE(reconfigurationKeepsRunningSlotsAndRefitsShapes)
{
    configure(2, 4);
    BOOST_TEST(table.fitMaskFor({Cores{8}, {}, {}}) == 0);
    const SlotLease lease = table.start(index(0), 100ms, now);
    configure(1, 8);
    BOOST_TEST(!table.find(UpstreamId{"1"}).has_value());
    BOOST_TEST(table.canRun(table.fitMaskFor({Cores{8}, {}, {}})));
    BOOST_TEST(table.at(index(0)).running == 1);
    specs.clear();
    table.configure(specs);
    BOOST_TEST(table.empty());
    BOOST_TEST(table.find(UpstreamId{"0"}).has_value());
    table.end(lease);
    BOOST_TEST(!table.find(UpstreamId{"0"}).has_value());
    configure(2, 4);
    BOOST_TEST(table.usableSlots() == 16);
    BOOST_TEST(table.slots().freeCount() == 2);
}

// Guards against fit masks that include too small an upstream when there are more shapes than bits.
BOOST_AUTO_TEST_CASE(moreShapesThanBitsNeverOverstateCapacity)
{
    for (std::uint32_t n = 0; n < 100; ++n) {
        UpstreamSpec &it = specs.emplace_back();
        it.id = UpstreamId{std::to_string(n)};
        it.capacity.cores = Cores{n + 1};
        it.capacity.memory = Megabytes{1000 - n};
    }
    table.configure(specs);
    BOOST_TEST(table.fitMaskFor({Cores{64}, Megabytes{901}, {}}) != 0);
    for (std::uint32_t cores = 1; cores <= 64; ++cores) {
        const Megabytes memory{905};
        const FitMask fit = table.fitMaskFor({Cores{cores}, memory, {}});
        for (int n = 0; n < 100; ++n) {
            const auto &upstream = table.at(index(n));
            if ((fit >> upstream.slotClass.shape & 1U) != 0) {
                BOOST_TEST(upstream.spec.capacity.cores >= Cores{cores});
                BOOST_TEST(upstream.spec.capacity.memory >= memory);
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
