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

// Guards against a copy that never catches up. If 350 rows change every 1.5 s, each answer to a VM
// that was disconnected is full, and a draining upstream still received work 3 s after it had
// announced draining.
BOOST_AUTO_TEST_CASE(readsTheListWholeAfterAFullAnswer)
{
    directory.applyRead(whole({entry("a"), entry("b")}, 10, now));
    BOOST_TEST(!directory.needsWholeRead());
    now += 10s;
    DirectoryRead full = changed({entry("a")}, 20, now);
    full.isPartial = true;
    const auto update = directory.applyRead(full);
    BOOST_TEST(directory.needsWholeRead());
    // A full answer does not determine the age of the list and is not forwarded.
    BOOST_TEST(!update.seen.asOf.has_value());
    BOOST_TEST(!update.changes.has_value());
    BOOST_TEST((directory.nextRead(9) <= now));
    const auto last = directory.applyRead(whole({entry("a"), entry("b", true)}, 90, now));
    BOOST_TEST(!directory.needsWholeRead());
    BOOST_TEST((last.seen.asOf == now));
    // The other VMs have the version of the list before the full answer.
    BOOST_REQUIRE(last.changes.has_value());
    BOOST_TEST(last.changes->after == 10);
    BOOST_TEST(last.changes->present.size() == 1);
}

// Guards against a reader that receives only full answers: 1,100 upstreams change 733 rows per
// second.
BOOST_AUTO_TEST_CASE(readsMoreOftenWhereMoreChanges)
{
    directory.applyRead(whole({entry("a")}, 10, now));
    now += 500ms;
    DirectoryRead full = changed(std::vector<UpstreamEntry>(500, entry("a")), 20, now);
    full.isPartial = true;
    directory.applyRead(full);
    directory.applyRead(whole({entry("a")}, 30, now));
    BOOST_TEST((directory.nextRead(0) == now + 350ms));
}

// Guards against forwarding rows in which only the counter changed to every VM of the zone.
BOOST_AUTO_TEST_CASE(forwardsOnlyChangedEntries)
{
    directory.applyRead(whole({entry("a"), entry("b"), entry("c")}, 10, now));
    now += 500ms;
    const auto none = directory.applyRead(changed({entry("a"), entry("b"), entry("c")}, 20, now));
    BOOST_REQUIRE(none.changes.has_value());
    BOOST_TEST(none.changes->present.empty());
    BOOST_TEST(none.seen.present.empty());
    const auto some = directory.applyRead(changed({entry("a", true), entry("b")}, 30, now));
    BOOST_TEST(some.changes->present.size() == 1);
    BOOST_TEST(some.changes->after == 20);
    // A whole list contains no removals; entries that are missing from it were removed.
    const auto gone = directory.applyRead(whole({entry("a", true), entry("b")}, 40, now));
    BOOST_TEST(gone.changes->present.empty());
    BOOST_TEST((gone.changes->removed == std::vector{UpstreamId{"c"}}));
}

// Guards against applying changes after a lost message: the copy would lack the changes in between.
BOOST_AUTO_TEST_CASE(appliesForwardedChangesOnlyWithoutAGap)
{
    directory.applyRead(whole({entry("a")}, 10, now));
    now += 1s;
    const auto seen =
            directory.applyChanges(UpstreamChanges{8, 20, 30ms, {entry("a", true)}, {}}, now);
    BOOST_REQUIRE(seen.has_value());
    BOOST_TEST(seen->present.front().draining);
    BOOST_TEST((seen->asOf == now - 30ms));
    BOOST_TEST(!directory.applyChanges(UpstreamChanges{21, 30, 0ms, {}, {}}, now).has_value());
    BOOST_TEST(!directory.applyChanges(UpstreamChanges{8, 12, 0ms, {entry("a")}, {}}, now)
                        .has_value());
    BOOST_TEST(directory.version() == 20);
}

// Guards against a message with an invalid age. With a negative age, an old list would count as
// current for that time.
BOOST_AUTO_TEST_CASE(rejectsChangesWithAnInvalidAge)
{
    directory.applyRead(whole({entry("a")}, 10, now));
    for (const Duration age : {Duration{-1}, Duration::min(), Duration::max()}) {
        BOOST_TEST(!directory.applyChanges(UpstreamChanges{10, 20, age, {}, {}}, now).has_value());
    }
    BOOST_TEST((directory.asOf() == now));
}

// Guards against reverting a draining upstream to ready, if the answer of an older read arrives
// after newer forwarded changes.
BOOST_AUTO_TEST_CASE(ignoresAReadOlderThanItsCopy)
{
    directory.applyRead(whole({entry("a")}, 10, now));
    directory.applyChanges(UpstreamChanges{10, 20, 0ms, {entry("a", true)}, {}}, now);
    const auto update = directory.applyRead(whole({entry("a")}, 15, now));
    BOOST_TEST(update.seen.present.empty());
    BOOST_TEST(directory.version() == 20);
}

// Guards against all VMs of a zone reading the list, and against none reading it after the first
// reader has failed.
BOOST_AUTO_TEST_CASE(readsInTurnAndWithinTheBound)
{
    directory.applyRead(whole({entry("a")}, 10, now));
    BOOST_TEST((directory.nextRead(0) == now + 500ms));
    BOOST_TEST((directory.nextRead(1) > directory.nextRead(0)));
    // Even the last reader reads before the list is too old to start tasks.
    BOOST_TEST((directory.nextRead(1000) < now + DirectoryTimes{2000ms}.maxUsableAge));
    directory.requireWholeRead();
    BOOST_TEST((directory.nextRead(1000) <= now));
}

// Guards against entries that are sent to all VMs of the zone every 1.5 s because an upstream
// states each time for how much longer it is cold, and against VMs that learn this only from a
// changed entry.
BOOST_AUTO_TEST_CASE(passesOnColdnessApartFromEntries)
{
    const auto cold = [](Duration left) {
        UpstreamEntry one = entry("a");
        one.coldLeft = left;
        return one;
    };
    const auto first = directory.applyRead(whole({cold(4s), entry("b")}, 10, now));
    BOOST_REQUIRE(first.seen.cold.size() == 1);
    BOOST_TEST(first.seen.cold[0].upstream.value() == "a");
    BOOST_TEST((first.seen.cold[0].until == now + 4s));
    now += 1500ms;
    const auto second = directory.applyRead(changed({cold(2500ms), entry("b")}, 20, now));
    BOOST_REQUIRE(second.changes.has_value());
    BOOST_TEST(second.changes->present.empty());
    BOOST_TEST(second.seen.present.empty());
    BOOST_REQUIRE(second.seen.cold.size() == 1);
    BOOST_TEST((second.seen.cold[0].until == now + 2500ms));
    now += 1500ms;
    const auto third = directory.applyRead(changed({entry("a"), entry("b")}, 30, now));
    BOOST_TEST(third.seen.present.empty());
    BOOST_REQUIRE(third.seen.cold.size() == 1);
    BOOST_TEST((third.seen.cold[0].until == now));
    now += 1500ms;
    BOOST_TEST(directory.applyRead(changed({entry("a")}, 40, now)).seen.cold.empty());
    // An older answer is ignored.
    BOOST_TEST(directory.applyRead(changed({cold(4s)}, 35, now)).seen.cold.empty());
}

// Guards against starts by an outdated list on a VM that the store turns away, because VMs of other
// zones do not have the changes since its version.
BOOST_AUTO_TEST_CASE(returnsTheChangesSinceAVersion)
{
    directory.applyRead(whole({entry("a"), entry("b"), entry("c")}, 10, now));
    now += 500ms;
    directory.applyRead(changed({entry("a", true)}, 20, now));
    now += 500ms;
    DirectoryRead removal = changed({}, 30, now);
    removal.removed = {UpstreamId{"b"}};
    directory.applyRead(std::move(removal));
    now += 100ms;
    const auto all = directory.changesSince(10, now);
    BOOST_REQUIRE(all.has_value());
    BOOST_TEST(all->after == 10);
    BOOST_TEST(all->version == 30);
    BOOST_TEST((all->age == 100ms));
    BOOST_REQUIRE(all->present.size() == 1);
    BOOST_TEST(all->present[0].draining);
    BOOST_REQUIRE(all->removed.size() == 1);
    BOOST_TEST((all->removed[0] == UpstreamId{"b"}));
    const auto last = directory.changesSince(25, now);
    BOOST_REQUIRE(last.has_value());
    BOOST_TEST(last->present.empty());
    BOOST_TEST(last->removed.size() == 1);
    // The changes up to the first read are unknown, and so are those after the last one.
    BOOST_TEST(!directory.changesSince(9, now).has_value());
    BOOST_TEST(!directory.changesSince(31, now).has_value());
    UpstreamDirectory other{DirectoryTimes{2000ms}};
    other.applyRead(whole({entry("a"), entry("b"), entry("c")}, 15, now - 3s));
    const auto seen = other.applyChanges(*directory.changesSince(15, now), now);
    BOOST_REQUIRE(seen.has_value());
    BOOST_TEST((seen->asOf == now - 100ms));
}

// Guards against answering another VM from a copy that is itself outdated, and against unlimited
// memory for changes.
BOOST_AUTO_TEST_CASE(returnsNoChangesOfAnOverdueCopyOrBeyondTheLimit)
{
    directory.applyRead(whole({entry("a")}, 10, now));
    BOOST_TEST(!directory.isOverdue(now + 1100ms));
    BOOST_TEST(directory.changesSince(10, now + 1100ms).has_value());
    BOOST_TEST(directory.isOverdue(now + 1101ms));
    BOOST_TEST(!directory.changesSince(10, now + 1101ms).has_value());
    for (std::uint64_t n = 1; n <= 201; ++n) {
        directory.applyRead(changed({entry("a", n % 2 == 1)}, 10 + n, now));
    }
    BOOST_TEST(!directory.changesSince(10, now).has_value());
    BOOST_TEST(directory.changesSince(11, now).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
