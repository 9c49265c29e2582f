// Tests the choice of the VM to which tasks are offered.
#include "rattandock/fleet/sharing.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <set>

using namespace rattandock;
using namespace rattandock::fleet;
using namespace std::chrono_literals;

namespace {

constexpr MilliCores cpu{27'000};

/// A report of `upstreams` free upstreams, each with room for two tasks of 27 cores.
CapacityReport freeRoom(std::size_t upstreams)
{
    CapacityReport report;
    report.free.assign(upstreams, {64'000, 100});
    report.fastestPercent = 100;
    report.usableCpu = 64'000 * upstreams;
    return report;
}

/// A report of a VM without free room whose queue takes `wait`.
CapacityReport queueOf(Duration wait)
{
    CapacityReport report;
    report.fastestPercent = 100;
    report.usableCpu = 640'000;
    report.queuedWork = report.usableCpu * static_cast<std::uint64_t>(wait.count());
    return report;
}

VmId vm(char zone, std::size_t n)
{
    std::string name(1, zone);
    name.append(std::to_string(n));
    return VmId{std::move(name)};
}

/// Tasks of 100 ms that would wait for `ownWait` at this VM.
PeerRoom::WaitingTasks waitingTasks(std::size_t count, Duration ownWait)
{
    return {count, 27'000.0 * 100'000, 200, ownWait, 500ms};
}

} // namespace

BOOST_AUTO_TEST_SUITE(SharingTest)

// Guards against VMs that received the same report and all offer their tasks to the same VM. 214
// offers were returned unused within 2.5 s because of this.
BOOST_AUTO_TEST_CASE(sendersWithTheSameReportSpreadOverThePeers)
{
    constexpr std::size_t senders = 30;
    constexpr std::size_t peers = 8;
    std::map<VmId, std::size_t> offers;
    for (std::size_t n = 0; n < senders; ++n) {
        PeerRoom room{ZoneId{"a"}};
        for (std::size_t it = 0; it < peers; ++it) {
            // The first peer has a little more room than the others.
            room.update(vm('a', it), ZoneId{"a"}, freeRoom(it == 0 ? 5 : 4));
        }
        const auto seed = offerSeed(vm('s', n), JobId{std::string{"job-"} + std::to_string(n)}, 1);
        ++offers[room.reserve(cpu, 2, 200, seed)->vm];
    }
    BOOST_TEST(offers.size() >= peers - 1);
    for (const auto &[id, count] : offers) {
        BOOST_TEST_CONTEXT(id.value())
        {
            BOOST_TEST(count <= senders / 3);
        }
    }
}

// Guards against a peer with little room that gets as many tasks as one with ten times the room.
BOOST_AUTO_TEST_CASE(prefersPeersWithMoreRoom)
{
    std::size_t toSmall = 0;
    for (std::size_t n = 0; n < 200; ++n) {
        PeerRoom room{ZoneId{"a"}};
        room.update(vm('a', 0), ZoneId{"a"}, freeRoom(1));
        room.update(vm('a', 1), ZoneId{"a"}, freeRoom(10));
        const auto seed = offerSeed(VmId{"self"}, JobId{"job"}, n);
        toSmall += room.reserve(cpu, 1, 200, seed)->vm == vm('a', 0) ? 1 : 0;
    }
    BOOST_TEST(toSmall < 20);
}

// Guards against a choice that depends on the run, which would make a recorded day impossible to
// replay, and against the same choice for each offer of a job.
BOOST_AUTO_TEST_CASE(choosesTheSamePeerForTheSameOffer)
{
    std::set<VmId> chosen;
    for (std::uint64_t offer = 1; offer <= 20; ++offer) {
        std::set<VmId> ofOffer;
        for (int repeat = 0; repeat < 2; ++repeat) {
            PeerRoom room{ZoneId{"a"}};
            for (std::size_t it = 0; it < 8; ++it) {
                room.update(vm('a', it), ZoneId{"a"}, freeRoom(4));
            }
            const auto seed = offerSeed(VmId{"self"}, JobId{"job"}, offer);
            ofOffer.insert(room.reserve(cpu, 1, 200, seed)->vm);
        }
        BOOST_TEST(ofOffer.size() == 1);
        chosen.merge(ofOffer);
    }
    BOOST_TEST(chosen.size() > 3);
}

// Guards against free capacity of another zone that is not used while the own zone is full or has
// only a few places, which all VMs of the zone would ask for at once.
BOOST_AUTO_TEST_CASE(usesOtherZonesWhenTheOwnZoneIsNearlyFull)
{
    std::size_t inOwnZone = 0;
    for (std::uint64_t n = 0; n < 40; ++n) {
        PeerRoom room{ZoneId{"a"}};
        room.update(vm('a', 1), ZoneId{"a"}, freeRoom(1));
        room.update(vm('a', 2), ZoneId{"a"}, queueOf(100ms));
        room.update(vm('b', 1), ZoneId{"b"}, freeRoom(10));
        room.update(vm('b', 2), ZoneId{"b"}, freeRoom(10));
        const auto chosen = room.reserve(cpu, 2, 200, offerSeed(vm('a', 0), JobId{"job"}, n));
        inOwnZone += chosen->vm == vm('a', 1) ? 1 : 0;
    }
    BOOST_TEST(inOwnZone < 10);
    PeerRoom room{ZoneId{"a"}};
    room.update(vm('a', 1), ZoneId{"a"}, queueOf(100ms));
    room.update(vm('b', 1), ZoneId{"b"}, freeRoom(10));
    BOOST_TEST(room.reserve(cpu, 2, 200, 1)->vm == vm('b', 1));
}

// Guards against traffic between zones while the own zone has comparable room.
BOOST_AUTO_TEST_CASE(prefersTheOwnZoneWhileItsRoomIsComparable)
{
    for (std::uint64_t n = 0; n < 20; ++n) {
        PeerRoom room{ZoneId{"a"}};
        room.update(vm('a', 1), ZoneId{"a"}, freeRoom(4));
        room.update(vm('b', 1), ZoneId{"b"}, freeRoom(10));
        BOOST_TEST(room.reserve(cpu, 2, 200, n)->vm == vm('a', 1));
    }
}

// Guards against repeated offers to a VM that has just returned one.
BOOST_AUTO_TEST_CASE(avoidsAPeerUntilItsNextReport)
{
    PeerRoom room{ZoneId{"a"}};
    room.update(vm('a', 1), ZoneId{"a"}, freeRoom(4), true);
    room.markFull(vm('a', 1));
    BOOST_TEST(!room.reserve(cpu, 1, 200, 1));
    BOOST_TEST(!room.reserveQueue(waitingTasks(1, 400ms), 1));
    room.update(vm('a', 1), ZoneId{"a"}, queueOf(Duration{}), true);
    BOOST_TEST(room.reserveQueue(waitingTasks(1, 400ms), 1).has_value());
}

// Guards against two VMs with about equal queues that send each other tasks, and against offers to
// a queue in which the tasks could not be placed elsewhere any more.
BOOST_AUTO_TEST_CASE(offersToAQueueOnlyIfItIsShorterByAMargin)
{
    PeerRoom room{ZoneId{"a"}};
    room.update(vm('a', 1), ZoneId{"a"}, queueOf(300ms), true);
    BOOST_TEST(!room.reserveQueue(waitingTasks(1, 350ms), 1));
    BOOST_TEST(!room.reserveQueue(waitingTasks(1, 420ms), 1));
    BOOST_TEST(room.reserveQueue(waitingTasks(1, 500ms), 1).has_value());
    room.update(vm('a', 1), ZoneId{"a"}, queueOf(Duration{}), true);
    BOOST_TEST(!room.reserveQueue(waitingTasks(1, 50ms), 1));
    room.update(vm('a', 1), ZoneId{"a"}, queueOf(600ms), true);
    BOOST_TEST(!room.reserveQueue(waitingTasks(1, 2000ms), 1));
}

// Guards against a VM that sends its whole queue to a peer within one report, and against offers
// to queues of VMs whose build does not support them or whose upstreams are too slow.
BOOST_AUTO_TEST_CASE(countsOfferedTasksInThePeersQueue)
{
    PeerRoom room{ZoneId{"a"}};
    room.update(vm('a', 1), ZoneId{"a"}, queueOf(100ms), true);
    std::size_t offered = 0;
    while (const auto share = room.reserveQueue(waitingTasks(8, 400ms), offered)) {
        offered += share->tasks;
        BOOST_REQUIRE(offered < 100);
    }
    // The queue may grow from 100 to 272 ms, (400 - 60) / 1.25. 640 cores run 23.7 tasks of 27
    // cores at a time, so this is 40 tasks of 100 ms.
    BOOST_TEST(offered == 40);

    room.update(vm('a', 1), ZoneId{"a"}, queueOf(Duration{}), false);
    BOOST_TEST(!room.reserveQueue(waitingTasks(1, 400ms), 1));
    room.update(vm('a', 1), ZoneId{"a"}, queueOf(Duration{}), true);
    PeerRoom::WaitingTasks quick = waitingTasks(1, 400ms);
    quick.maxPercent = 90;
    BOOST_TEST(!room.reserveQueue(quick, 1));
}

// Guards against long tasks that find no fast upstream at a VM with many free ones: its heartbeats
// named those with the most room only.
BOOST_AUTO_TEST_CASE(reportsFastUpstreamsOfALargeVm)
{
    std::vector<FreeCapacity> free(20, {48'000, 120});
    free.push_back({20'000, 80});
    free.push_back({30'000, 80});
    free.push_back({2'000, 70});
    limitReportedUpstreams(free);
    const auto count = [&](std::uint32_t percent) {
        return std::ranges::count(free, percent, &FreeCapacity::runTimePercent);
    };
    BOOST_TEST(free.size() == 8);
    BOOST_TEST(free[0].cpu == 48'000);
    // The upstream with 20 cores and the one with 2 cannot take a task of half the usual room.
    BOOST_TEST(count(80) == 1);
    BOOST_TEST(count(120) == 7);
}

BOOST_AUTO_TEST_SUITE_END()
