#include "rattandock/fleet/zone_evacuation.hpp"

#include <boost/test/unit_test.hpp>

using namespace rattandock;
using namespace rattandock::fleet;
using namespace std::chrono_literals;

namespace {

constexpr Duration limit = 5000ms;
const ZoneId zoneA{"a"};
const ZoneId zoneB{"b"};
const TimePoint start{100s};

} // namespace

BOOST_AUTO_TEST_SUITE(ZoneEvacuationsTest)

// Guards against an answer that arrives late and takes back a newer request, or renews the age.
BOOST_AUTO_TEST_CASE(ignoresAnOlderVersion)
{
    ZoneEvacuations evacuations;
    BOOST_TEST(evacuations.update(7, {zoneA}, start).begun.size() == 1);
    BOOST_TEST(evacuations.update(6, {}, start + 1s).isEmpty());
    BOOST_TEST(evacuations.isEvacuated(zoneA));
    BOOST_TEST((evacuations.asOf() == start));
    BOOST_TEST(evacuations.version() == 7);
}

// Guards against reporting a request again with each read, and against missing one of two zones.
BOOST_AUTO_TEST_CASE(reportsWhatChanged)
{
    ZoneEvacuations evacuations;
    BOOST_TEST(evacuations.update(1, {zoneA}, start).begun.size() == 1);
    BOOST_TEST(evacuations.update(2, {zoneA}, start).isEmpty());
    const auto both = evacuations.update(3, {zoneA, zoneB}, start);
    BOOST_REQUIRE(both.begun.size() == 1);
    BOOST_TEST(both.begun[0] == zoneB);
    const auto swapped = evacuations.update(4, {zoneB}, start);
    BOOST_TEST(swapped.begun.empty());
    BOOST_REQUIRE(swapped.ended.size() == 1);
    BOOST_TEST(swapped.ended[0] == zoneA);
    BOOST_TEST(!evacuations.isEvacuated(zoneA));
    BOOST_TEST(evacuations.isEvacuated(zoneB));
}

// Guards against starts with a set that may lack a request whose limit has passed, and against a VM
// that stops although the set is recent.
BOOST_AUTO_TEST_CASE(isUsableUntilARequestCouldHavePassedItsLimit)
{
    ZoneEvacuations evacuations;
    BOOST_TEST(!evacuations.isUsable(start, limit));
    evacuations.update(1, {}, start);
    const Duration maxAge = maxEvacuationAge(limit);
    BOOST_TEST(evacuations.isUsable(start + maxAge, limit));
    BOOST_TEST(!evacuations.isUsable(start + maxAge + 1us, limit));
    // An upstream executes an order up to 600 ms after it was sent.
    BOOST_TEST((maxAge + 600ms <= limit));
    // The same version again renews the age.
    evacuations.update(1, {}, start + 1s);
    BOOST_TEST(evacuations.isUsable(start + maxAge + 1s, limit));
}

// Guards against a fleet that stops while the store is unavailable, and against trusting an old
// set after the store has answered again.
BOOST_AUTO_TEST_CASE(isUsableAtAnyAgeWhileReadsFail)
{
    ZoneEvacuations evacuations;
    evacuations.recordRead(start, true);
    // Nothing is known yet.
    BOOST_TEST(!evacuations.isUsable(start, limit));
    evacuations.update(1, {zoneA}, start);
    evacuations.recordRead(start + 2s, true);
    BOOST_TEST(evacuations.isUsable(start + 60s, limit));
    BOOST_TEST(evacuations.isEvacuated(zoneA));
    // The set of another VM does not show that this VM can read the store.
    evacuations.update(2, {zoneA}, start + 50s);
    BOOST_TEST(evacuations.isUsable(start + 60s, limit));
    evacuations.recordRead(start + 60s, false);
    evacuations.update(3, {zoneA}, start + 60s);
    BOOST_TEST(!evacuations.isUsable(start + 70s, limit));
}

// Guards against starts after a pause with knowledge from before it. The monotonic clock may not
// have advanced during the pause.
BOOST_AUTO_TEST_CASE(needsNewKnowledgeAfterAPause)
{
    ZoneEvacuations evacuations;
    evacuations.update(1, {zoneA}, start);
    evacuations.recordPause(start + 10ms);
    BOOST_TEST(!evacuations.isUsable(start + 10ms, limit));
    // Both calls were sent before the pause. The set is taken, but not its age.
    evacuations.update(2, {zoneA, zoneB}, start + 5ms);
    evacuations.recordRead(start + 5ms, true);
    BOOST_TEST(evacuations.isEvacuated(zoneB));
    BOOST_TEST(!evacuations.isUsable(start + 20ms, limit));
    // A failure after the pause does not show what was requested during the pause.
    evacuations.recordRead(start + 20ms, true);
    BOOST_TEST(!evacuations.isUsable(start + 30ms, limit));
    evacuations.confirm();
    BOOST_TEST(evacuations.isUsable(start + 60s, limit));

    evacuations.recordPause(start + 61s);
    BOOST_TEST(!evacuations.isUsable(start + 61s, limit));
    evacuations.update(3, {}, start + 62s);
    BOOST_TEST(evacuations.isUsable(start + 62s, limit));
}

// Guards against the age check stopping a VM because the store is merely slow: two calls in a row
// that take their whole wait and their limit of 700 ms have to be shorter than the highest age.
BOOST_AUTO_TEST_CASE(waitsNoLongerThanTheAgeAllows)
{
    ZoneEvacuations evacuations;
    BOOST_TEST((evacuations.readWait(start, std::nullopt) == 1s));
    // A read answers at once while nothing may be started without it.
    BOOST_TEST((evacuations.readWait(start, limit) == 0s));
    evacuations.update(1, {}, start);
    BOOST_TEST((evacuations.readWait(start, limit) == 1s));
    for (const Duration it : {3000ms, 4000ms, 5000ms, 60'000ms}) {
        const Duration wait = evacuations.readWait(start, it);
        BOOST_TEST((wait >= 100ms));
        BOOST_TEST((2 * (wait + 700ms) <= maxEvacuationAge(it)));
    }
}

BOOST_AUTO_TEST_SUITE_END()
