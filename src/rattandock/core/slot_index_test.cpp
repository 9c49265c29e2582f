#include "rattandock/core/slot_index.hpp"

#include <boost/test/unit_test.hpp>

using namespace rattandock;
using namespace rattandock::core;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(SlotIndexTest)

// Guards against a speed class whose own cost factor maps to another class.
BOOST_AUTO_TEST_CASE(costOfEachClassMapsToThatClass)
{
    for (std::uint8_t n = 0; n < speedClassCount; ++n) {
        BOOST_TEST(speedClassOf(costOf(n)) == n);
    }
    BOOST_TEST(speedClassOf(1e-9) == 0);
    BOOST_TEST(speedClassOf(1e9) == speedClassCount - 1);
}

// Guards against losing entries when another entry of the same class is removed.
BOOST_AUTO_TEST_CASE(removalKeepsTheOtherEntries)
{
    SlotIndex index;
    index.reset(2);
    const SlotClass slotClass{ZoneSide::Own, 1, 5};
    for (std::uint32_t n = 0; n < 4; ++n) {
        index.addFree(UpstreamIndex{n}, slotClass);
    }
    index.removeFree(UpstreamIndex{0});
    index.removeFree(UpstreamIndex{0});
    index.removeFree(UpstreamIndex{3});
    BOOST_TEST(index.freeCount() == 2);
    BOOST_TEST(index.freeSpeeds(ZoneSide::Own, 1) == 1U << 5U);
    BOOST_TEST(index.freeSpeeds(ZoneSide::Own, 0) == 0);
    BOOST_TEST(index.freeSpeeds(ZoneSide::Other, 1) == 0);
    index.removeFree(UpstreamIndex{1});
    index.removeFree(UpstreamIndex{2});
    BOOST_TEST(index.freeSpeeds(ZoneSide::Own, 1) == 0);
    BOOST_TEST(index.free(slotClass).empty());
}

// Guards against a busy slot that stays in the index after its task has ended, also when the index
// was reset in between.
BOOST_AUTO_TEST_CASE(eachRemovalRemovesOneBusySlot)
{
    SlotIndex index;
    index.reset(2);
    const SlotClass slotClass{ZoneSide::Other, 1, 7};
    index.addBusy(UpstreamIndex{1}, slotClass, TimePoint{5s});
    index.addBusy(UpstreamIndex{1}, slotClass, TimePoint{5s});
    index.removeBusy(UpstreamIndex{1}, slotClass, TimePoint{5s});
    BOOST_TEST(index.busy(slotClass).size() == 1);
    BOOST_TEST(index.busySpeeds(ZoneSide::Other, 1) == 1U << 7U);
    index.removeBusy(UpstreamIndex{1}, slotClass, TimePoint{5s});
    BOOST_TEST(index.busySpeeds(ZoneSide::Other, 1) == 0);
    index.addBusy(UpstreamIndex{1}, slotClass, TimePoint{5s});
    index.reset(1);
    index.removeBusy(UpstreamIndex{1}, slotClass, TimePoint{5s});
    BOOST_TEST(index.busySpeeds(ZoneSide::Other, 0) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
