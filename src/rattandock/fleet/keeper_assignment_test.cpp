#include "rattandock/fleet/keeper_assignment.hpp"

#include <boost/test/unit_test.hpp>
#include <set>

using namespace rattandock;
using namespace rattandock::fleet;

namespace {

MemberRow member(const std::string &vm, const std::string &zone, double weight = 1)
{
    return {VmId{vm}, Incarnation{1}, ZoneId{zone}, "", weight, false, 1};
}

struct Fixture
{
    void addMember(const MemberRow &row) { view.members.emplace(row.vm, row); }
    void addUpstreams(const std::string &zone, int count)
    {
        for (int n = 0; n < count; ++n) {
            view.upstreams.emplace(UpstreamId{zone + "-" + std::to_string(n)}, ZoneId{zone});
        }
    }
    AssignmentDecision decideFor(const std::string &vm)
    {
        view.self = VmId{vm};
        return assignUpstreams(view);
    }
    void keep(const std::string &upstream, const std::string &vm, std::uint64_t incarnation = 1)
    {
        const UpstreamId id{upstream};
        view.keepers[id] = {id, view.upstreams.at(id), VmId{vm}, Incarnation{incarnation}, 1, 1};
    }

    AssignmentView view;
};

} // namespace

BOOST_AUTO_TEST_SUITE(KeeperAssignmentTest)

// Guards against two VMs with the same view claiming one upstream, or none claiming it.
BOOST_AUTO_TEST_CASE(sharesOrphansWithoutOverlap)
{
    Fixture it;
    for (const char *const vm : {"a1", "a2", "a3"}) {
        it.addMember(member(vm, "a"));
    }
    it.addMember(member("b1", "b"));
    it.addUpstreams("a", 16);
    it.addUpstreams("b", 16);
    std::set<UpstreamId> claimed;
    std::size_t count = 0;
    for (const char *const vm : {"a1", "a2", "a3", "b1"}) {
        const auto claim = it.decideFor(vm).claim;
        count += claim.size();
        claimed.insert(claim.begin(), claim.end());
        BOOST_TEST(claim.size() >= 5);
    }
    BOOST_TEST(count == 32);
    BOOST_TEST(claimed.size() == 32);
}

// Guards against work being lost because a healthy keeper's upstreams move when a VM joins.
BOOST_AUTO_TEST_CASE(leavesUpstreamsWithLivingKeepers)
{
    Fixture it;
    it.addMember(member("a1", "a"));
    it.addMember(member("a2", "a"));
    it.addUpstreams("a", 4);
    for (int n = 0; n < 4; ++n) {
        it.keep("a-" + std::to_string(n), "a1");
    }
    BOOST_TEST(it.decideFor("a2").claim.empty());
    BOOST_TEST(it.decideFor("a1").release.size() == 2);
}

// Guards against upstreams of a restarted VM staying with its former incarnation for good.
BOOST_AUTO_TEST_CASE(takesUpstreamsOfAFormerIncarnation)
{
    Fixture it;
    it.addMember(member("a1", "a"));
    it.addUpstreams("a", 3);
    for (int n = 0; n < 3; ++n) {
        it.keep("a-" + std::to_string(n), "a1", 7);
    }
    BOOST_TEST(it.decideFor("a1").claim.size() == 3);
}

// Guards against a zone without VMs being left unserved, and against VMs of other zones keeping
// its upstreams once it has one again.
BOOST_AUTO_TEST_CASE(servesAZoneWithoutVmsUntilItHasOne)
{
    Fixture it;
    it.addMember(member("a1", "a"));
    it.addUpstreams("b", 2);
    BOOST_TEST(it.decideFor("a1").claim.size() == 2);
    it.keep("b-0", "a1");
    it.keep("b-1", "a1");
    BOOST_TEST(it.decideFor("a1").release.empty());
    it.addMember(member("b1", "b"));
    BOOST_TEST(it.decideFor("a1").release.size() == 2);
}

// Guards against a small VM getting as many upstreams as one with five times its processor.
BOOST_AUTO_TEST_CASE(followsTheWeights)
{
    Fixture it;
    it.addMember(member("a1", "a", 0.1));
    it.addMember(member("a2", "a", 0.5));
    it.addUpstreams("a", 12);
    BOOST_TEST(it.decideFor("a1").claim.size() == 2);
    BOOST_TEST(it.decideFor("a2").claim.size() == 10);
}

// Guards against upstreams of a lost zone that nobody takes: VMs know the keepers of their own zone
// and of the lost one only, and each left them to VMs that it took for idle.
BOOST_AUTO_TEST_CASE(sharesALostZoneWithoutKnowingOtherZones)
{
    std::set<UpstreamId> claimed;
    for (const char *const zone : {"a", "b"}) {
        Fixture it;
        for (const char *const vm : {"a1", "a2", "b1", "b2"}) {
            it.addMember(member(vm, std::string(1, vm[0])));
        }
        it.addUpstreams(zone, 16);
        it.addUpstreams("lost", 16);
        for (int n = 0; n < 16; ++n) {
            it.keep(std::string{zone} + '-' + std::to_string(n),
                    std::string{zone} + std::to_string(1 + n % 2));
        }
        for (const char *const number : {"1", "2"}) {
            const auto claim = it.decideFor(std::string{zone} + number).claim;
            BOOST_TEST(claim.size() == 4);
            claimed.insert(claim.begin(), claim.end());
        }
    }
    BOOST_TEST(claimed.size() == 16);
}

BOOST_AUTO_TEST_SUITE_END()
