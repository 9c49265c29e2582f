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
    void setKeeper(const std::string &upstream, const std::string &vm,
                   std::uint64_t incarnation = 1)
    {
        const UpstreamId id{upstream};
        view.keepers[id] = {id, view.upstreams.at(id), VmId{vm}, Incarnation{incarnation}, 1, 1};
    }

    AssignmentView view;
};

} // namespace

BOOST_AUTO_TEST_SUITE(KeeperAssignmentTest)

// Guards against an upstream that two VMs with the same view claim, or that none of them claims.
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

// Guards against the loss of running tasks: when a VM joins, upstreams with an alive keeper must be
// released by that keeper first and not be claimed by the VM.
BOOST_AUTO_TEST_CASE(claimsNoUpstreamWithAnAliveKeeper)
{
    Fixture it;
    it.addMember(member("a1", "a"));
    it.addMember(member("a2", "a"));
    it.addUpstreams("a", 4);
    for (int n = 0; n < 4; ++n) {
        it.setKeeper("a-" + std::to_string(n), "a1");
    }
    BOOST_TEST(it.decideFor("a2").claim.empty());
    BOOST_TEST(it.decideFor("a1").release.size() == 2);
}

// Guards against upstreams that stay assigned to the previous incarnation of a VM that restarted.
BOOST_AUTO_TEST_CASE(claimsUpstreamsOfAPreviousIncarnation)
{
    Fixture it;
    it.addMember(member("a1", "a"));
    it.addUpstreams("a", 3);
    for (int n = 0; n < 3; ++n) {
        it.setKeeper("a-" + std::to_string(n), "a1", 7);
    }
    BOOST_TEST(it.decideFor("a1").claim.size() == 3);
}

// Guards against the upstreams of a zone without VMs having no keeper, and against VMs of other
// zones that don't release them when the zone has a VM again.
BOOST_AUTO_TEST_CASE(assignsAZoneWithoutVmsUntilItHasOne)
{
    Fixture it;
    it.addMember(member("a1", "a"));
    it.addUpstreams("b", 2);
    BOOST_TEST(it.decideFor("a1").claim.size() == 2);
    it.setKeeper("b-0", "a1");
    it.setKeeper("b-1", "a1");
    BOOST_TEST(it.decideFor("a1").release.empty());
    it.addMember(member("b1", "b"));
    BOOST_TEST(it.decideFor("a1").release.size() == 2);
}

// Guards against a small VM being assigned as many upstreams as one with five times its processor
// share.
BOOST_AUTO_TEST_CASE(assignsInProportionToWeights)
{
    Fixture it;
    it.addMember(member("a1", "a", 0.1));
    it.addMember(member("a2", "a", 0.5));
    it.addUpstreams("a", 12);
    BOOST_TEST(it.decideFor("a1").claim.size() == 2);
    BOOST_TEST(it.decideFor("a2").claim.size() == 10);
}

// Guards against upstreams of a lost zone that no VM claims. A VM reads the keepers of its own zone
// and of the lost zone only, so the VMs of all other zones appear idle to it. When the load of all
// zones was compared, each VM left the upstreams to those apparently idle VMs.
BOOST_AUTO_TEST_CASE(dividesALostZoneWithoutKeepersOfOtherZones)
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
            it.setKeeper(std::string{zone} + '-' + std::to_string(n),
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
