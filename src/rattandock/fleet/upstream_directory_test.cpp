#include "rattandock/fleet/upstream_directory.hpp"

#include <boost/test/unit_test.hpp>

using namespace rattandock;
using namespace rattandock::fleet;
using namespace std::chrono_literals;

namespace {

UpstreamEntry entry(const std::string &id, bool draining = false)
{
    return {UpstreamId{id}, ServiceId{"s"}, ZoneId{"z"},
            "127.0.0.1:2",  draining,       {MilliCores{64'000}, Megabytes{1024}, Accelerators{0}},
            {"kind"}};
}

DirectoryRead whole(std::vector<UpstreamEntry> entries, std::uint64_t version, TimePoint sentAt)
{
    return {std::move(entries), {}, version, true, false, sentAt};
}

DirectoryRead changed(std::vector<UpstreamEntry> entries, std::uint64_t version, TimePoint sentAt)
{
    return {std::move(entries), {}, version, false, false, sentAt};
}

struct Fixture
{
    TimePoint now{100s};
    UpstreamDirectory directory{DirectoryTimes{2000ms}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(UpstreamDirectoryTest, Fixture)

// Guards against a copy that falls behind for good: 350 rows that change every 1.5 s fill each
// answer of a VM that was cut off, and a draining upstream got work 3 s after it said so.
BOOST_AUTO_TEST_CASE(readsTheListWholeAfterAFullAnswer)
{
    directory.take(whole({entry("a"), entry("b")}, 10, now));
    BOOST_TEST(!directory.needsWhole());
    now += 10s;
    DirectoryRead full = changed({entry("a")}, 20, now);
    full.isPartial = true;
    const auto update = directory.take(full);
    BOOST_TEST(directory.needsWhole());
    // Such an answer does not say how old the list is, and is not passed on.
    BOOST_TEST(!update.seen.asOf.has_value());
    BOOST_TEST(!update.changes.has_value());
    BOOST_TEST((directory.nextRead(9) <= now));
    const auto last = directory.take(whole({entry("a"), entry("b", true)}, 90, now));
    BOOST_TEST(!directory.needsWhole());
    BOOST_TEST((last.seen.asOf == now));
    // The others know the list as it was before the full answer.
    BOOST_REQUIRE(last.changes.has_value());
    BOOST_TEST(last.changes->after == 10);
    BOOST_TEST(last.changes->present.size() == 1);
}

// Guards against a reader whose every answer is full: 1,100 upstreams change 733 rows a second.
BOOST_AUTO_TEST_CASE(readsMoreOftenWhereMoreChanges)
{
    directory.take(whole({entry("a")}, 10, now));
    now += 500ms;
    DirectoryRead full = changed(std::vector<UpstreamEntry>(500, entry("a")), 20, now);
    full.isPartial = true;
    directory.take(full);
    directory.take(whole({entry("a")}, 30, now));
    BOOST_TEST((directory.nextRead(0) == now + 350ms));
}

// Guards against every row's counter being passed on to every VM of the zone.
BOOST_AUTO_TEST_CASE(passesOnOnlyWhatDiffers)
{
    directory.take(whole({entry("a"), entry("b"), entry("c")}, 10, now));
    now += 500ms;
    const auto none = directory.take(changed({entry("a"), entry("b"), entry("c")}, 20, now));
    BOOST_REQUIRE(none.changes.has_value());
    BOOST_TEST(none.changes->present.empty());
    BOOST_TEST(none.seen.present.empty());
    const auto some = directory.take(changed({entry("a", true), entry("b")}, 30, now));
    BOOST_TEST(some.changes->present.size() == 1);
    BOOST_TEST(some.changes->after == 20);
    // A whole list tells what is gone by what is missing.
    const auto gone = directory.take(whole({entry("a", true), entry("b")}, 40, now));
    BOOST_TEST(gone.changes->present.empty());
    BOOST_TEST((gone.changes->removed == std::vector{UpstreamId{"c"}}));
}

// Guards against a VM that missed a message: what it took for the list would lack those changes.
BOOST_AUTO_TEST_CASE(takesPassedChangesOnlyWithoutAGap)
{
    directory.take(whole({entry("a")}, 10, now));
    now += 1s;
    const auto seen = directory.take(UpstreamChanges{8, 20, 30ms, {entry("a", true)}, {}}, now);
    BOOST_REQUIRE(seen.has_value());
    BOOST_TEST(seen->present.front().draining);
    BOOST_TEST((seen->asOf == now - 30ms));
    BOOST_TEST(!directory.take(UpstreamChanges{21, 30, 0ms, {}, {}}, now).has_value());
    BOOST_TEST(!directory.take(UpstreamChanges{8, 12, 0ms, {entry("a")}, {}}, now).has_value());
    BOOST_TEST(directory.version() == 20);
}

// Guards against a message with an absurd age: by one below zero an old list would look new for as
// long as the message says.
BOOST_AUTO_TEST_CASE(refusesChangesWithAnAbsurdAge)
{
    directory.take(whole({entry("a")}, 10, now));
    for (const Duration age : {Duration{-1}, Duration::min(), Duration::max()}) {
        BOOST_TEST(!directory.take(UpstreamChanges{10, 20, age, {}, {}}, now).has_value());
    }
    BOOST_TEST((directory.asOf() == now));
}

// Guards against a draining upstream that looks ready again, as an answer that was read before the
// passed changes is taken after them.
BOOST_AUTO_TEST_CASE(dropsAnAnswerThatIsOlderThanWhatIsKnown)
{
    directory.take(whole({entry("a")}, 10, now));
    directory.take(UpstreamChanges{10, 20, 0ms, {entry("a", true)}, {}}, now);
    const auto update = directory.take(whole({entry("a")}, 15, now));
    BOOST_TEST(update.seen.present.empty());
    BOOST_TEST(directory.version() == 20);
}

// Guards against all VMs of a zone reading the list, or none when the first of them is gone.
BOOST_AUTO_TEST_CASE(readsInTurnAndWithinTheBound)
{
    directory.take(whole({entry("a")}, 10, now));
    BOOST_TEST((directory.nextRead(0) == now + 500ms));
    BOOST_TEST((directory.nextRead(1) > directory.nextRead(0)));
    // The last of them still reads before the list is too old to start tasks by it.
    BOOST_TEST((directory.nextRead(1000) < now + DirectoryTimes{2000ms}.usableAge));
    directory.loseHistory();
    BOOST_TEST((directory.nextRead(1000) <= now));
}

BOOST_AUTO_TEST_SUITE_END()
