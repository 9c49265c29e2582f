#include "rattandock/fleet/member_reads.hpp"

#include <boost/test/unit_test.hpp>

#include "rattandock/fleet/membership.hpp"

using namespace rattandock;
using namespace rattandock::fleet;
using namespace std::chrono_literals;

namespace {

struct Fixture
{
    std::vector<ZoneId> due(bool isStarting = false)
    {
        const auto result = reads.zonesToRead(zones, links, isStarting, now);
        for (const ZoneId &it : result) {
            reads.recordRead(it, now);
        }
        return result;
    }

    TimePoint now{100s};
    std::set<ZoneId> zones{ZoneId{"a"}, ZoneId{"b"}, ZoneId{"c"}, ZoneId{"d"}};
    MemberLinks links{zones, true, 30};
    MemberReads reads{ZoneId{"a"}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(MemberReadsTest, Fixture)

// Guards against reading all members at each beat, whose cost grows with the square of the number
// of VMs. A VM whose links are all up reads the zones in turn.
BOOST_AUTO_TEST_CASE(readsZonesInTurnWhileAllLinksAreUp)
{
    std::map<ZoneId, int> count;
    for (int beat = 0; beat < 80; ++beat) {
        for (const ZoneId &it : due()) {
            ++count[it];
        }
        now += 700ms;
    }
    BOOST_TEST(count[ZoneId{"a"}] == 20);
    for (const char *const other : {"b", "c", "d"}) {
        BOOST_TEST(count[ZoneId{other}] >= 6);
        BOOST_TEST(count[ZoneId{other}] <= 7);
    }
}

// Guards against a late takeover. While the link to a VM of the own zone is down, failure detection
// depends on its member row, which must be read at each beat.
BOOST_AUTO_TEST_CASE(readsTheOwnZoneAtEachBeatWhileALinkIsMissing)
{
    due();
    links.isOwnZoneFullyLinked = false;
    for (int beat = 0; beat < 3; ++beat) {
        now += 700ms;
        BOOST_TEST((due() == std::vector{ZoneId{"a"}}));
    }
}

// Guards against detecting the failure of all VMs of a zone only after all zones were read in turn.
BOOST_AUTO_TEST_CASE(readsAZoneAtEachBeatWhileNoLinkLeadsThere)
{
    due();
    links.linkedZones.erase(ZoneId{"c"});
    now += 700ms;
    BOOST_TEST((due() == std::vector{ZoneId{"c"}}));
}

// Guards against a VM that starts without discovering the members of its zone.
BOOST_AUTO_TEST_CASE(readsTheOwnZoneAndAnotherWhileStarting)
{
    std::set<ZoneId> zonesRead;
    for (int beat = 0; beat < 3; ++beat) {
        const auto zonesDue = due(true);
        BOOST_TEST(zonesDue.size() == 2);
        zonesRead.insert(zonesDue.begin(), zonesDue.end());
        now += 150ms;
    }
    BOOST_TEST(zonesRead.size() == 4);
}

// Guards against counting reads of one zone as missed beats of the VMs of another zone.
BOOST_AUTO_TEST_CASE(countsMissedBeatsPerZone)
{
    Membership members{1400ms};
    const MemberRow near{VmId{"n"}, Incarnation{1}, ZoneId{"a"}, "127.0.0.1:1", 1, false, 1};
    const MemberRow far{VmId{"f"}, Incarnation{1}, ZoneId{"b"}, "127.0.0.1:2", 1, false, 1};
    members.updateRow(near);
    members.readSucceeded(now, near.zone);
    members.updateRow(far);
    members.readSucceeded(now, far.zone);
    for (int n = 0; n < 3; ++n) {
        now += 700ms;
        members.updateRow(near);
        members.eraseMissing({{near.vm, near}}, near.zone);
        members.readSucceeded(now, near.zone);
    }
    BOOST_TEST(!members.isAlive(near.vm, near.incarnation));
    BOOST_TEST(members.isAlive(far.vm, far.incarnation));
    BOOST_TEST((members.servedZones() == std::set{far.zone}));
}

// Guards against upstreams without a lease holder while a VM drains. The other VMs of its zone read
// its member row only occasionally, and still assigned upstreams to it for two seconds.
BOOST_AUTO_TEST_CASE(appliesTheDrainStateReceivedOverALink)
{
    Membership members{1400ms};
    MemberRow row{VmId{"n"}, Incarnation{1}, ZoneId{"a"}, "127.0.0.1:1", 1, false, 1};
    members.updateRow(row);
    members.setLink(row.vm, true);
    BOOST_TEST(!members.recordHeartbeat(row.vm, Incarnation{1}, false));
    BOOST_TEST(members.recordHeartbeat(row.vm, Incarnation{1}, true));
    BOOST_TEST(members.servedZones().empty());
    // A member row that was written earlier does not revert the drain state.
    members.updateRow(row);
    BOOST_TEST(members.servedZones().empty());
}

// Guards against treating a restarted VM as its previous incarnation until its member row is read.
BOOST_AUTO_TEST_CASE(readsTheMemberRowOfARestartedVm)
{
    Membership members{1400ms};
    MemberRow row{VmId{"n"}, Incarnation{1}, ZoneId{"a"}, "127.0.0.1:1", 1, false, 1};
    members.updateRow(row);
    members.setLink(row.vm, true);
    BOOST_TEST(members.isZoneLinked(row.zone, VmId{"self"}));
    BOOST_TEST(members.recordHeartbeat(row.vm, Incarnation{2}, false));
    BOOST_TEST(!members.isZoneLinked(row.zone, VmId{"self"}));
    row.incarnation = Incarnation{2};
    members.updateRow(row);
    BOOST_TEST(members.isZoneLinked(row.zone, VmId{"self"}));
}

BOOST_AUTO_TEST_SUITE_END()
