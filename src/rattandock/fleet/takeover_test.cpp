// Takeover of upstreams at the size of the largest deployment that is played: 300 VMs and 2,244
// upstreams in five zones, with the conditional writes of a store.
#include <boost/test/unit_test.hpp>
#include <set>

#include "rattandock/fleet/keeper_assignment.hpp"

using namespace rattandock;
using namespace rattandock::fleet;

namespace {

constexpr std::size_t vmCount = 300;
constexpr std::size_t upstreamCount = 2244;
constexpr std::size_t zoneCount = 5;
/// Rows in one write of a dispatcher.
constexpr std::size_t rowsPerWrite = 48;
/// Rounds of the assignment, 250 ms each, in which all upstreams must have a keeper again.
constexpr std::size_t maxRounds = 4;
/// Writes of one part that the store lets wait: those of a second.
constexpr std::size_t maxWaitingWrites = 200;

ZoneId zoneOf(std::size_t n)
{
    return ZoneId{"zone-" + std::to_string(n % zoneCount)};
}

struct Fixture
{
    Fixture()
    {
        for (std::size_t n = 0; n < vmCount; ++n) {
            const VmId vm{"vm-" + std::to_string(n)};
            view.members[vm] = {vm, Incarnation{1}, zoneOf(n), "", n % 4 == 0 ? 0.3 : 0.09, false,
                                1};
        }
        for (std::size_t n = 0; n < upstreamCount; ++n) {
            // Upstream n and VM n modulo the number of VMs are in the same zone.
            const UpstreamId id{"i-" + std::to_string(n)};
            view.upstreams[id] = zoneOf(n);
            view.keepers[id] = {
                    id, zoneOf(n), VmId{"vm-" + std::to_string(n % vmCount)}, Incarnation{1}, 1, 1};
        }
    }

    std::size_t orphans() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(view.upstreams, [&](const auto &it) {
            const auto row = view.keepers.find(it.first);
            return row == view.keepers.end() || !view.members.contains(row->second.vm)
                   || view.members.at(row->second.vm).incarnation != row->second.incarnation;
        }));
    }

    /// Lets every VM decide by the rows as they were at the start of the round; writes are carried
    /// out one after the other under their conditions.
    void decideOnce()
    {
        const AssignmentView before = view;
        AssignmentView own = before;
        std::map<ZoneId, std::size_t> writesOfZone;
        for (const auto &[vm, row] : before.members) {
            own.self = vm;
            std::map<ZoneId, std::vector<UpstreamId>> byZone;
            for (const UpstreamId &it : assignUpstreams(own).claim) {
                byZone[view.upstreams.at(it)].push_back(it);
            }
            for (auto &[zone, claims] : byZone) {
                claims.resize(std::min(claims.size(), rowsPerWrite));
                ++writes;
                mostWrites = std::max(mostWrites, ++writesOfZone[zone]);
                write(row, claims, before);
            }
        }
        ++rounds;
    }

    void write(const MemberRow &keeper, const std::vector<UpstreamId> &claims,
               const AssignmentView &before)
    {
        const auto versionIn = [](const AssignmentView &in, const UpstreamId &id) {
            const auto row = in.keepers.find(id);
            return row == in.keepers.end() ? std::uint64_t{0} : row->second.version;
        };
        for (const UpstreamId &it : claims) {
            if (versionIn(view, it) != versionIn(before, it)) {
                ++conflicts;
                return;
            }
        }
        for (const UpstreamId &it : claims) {
            const std::uint64_t version = versionIn(view, it) + 1;
            view.keepers[it] = {
                    it, view.upstreams.at(it), keeper.vm, keeper.incarnation, version, version};
        }
    }

    void settle()
    {
        rounds = 0;
        writes = 0;
        mostWrites = 0;
        while (orphans() > 0 && rounds < maxRounds) {
            decideOnce();
        }
    }

    AssignmentView view;
    std::size_t rounds = 0;
    std::size_t writes = 0;
    std::size_t mostWrites = 0;
    std::size_t conflicts = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(TakeoverTest, Fixture)

// Guards against a first division that takes seconds, or two VMs that claim the same upstream.
BOOST_AUTO_TEST_CASE(dividesAllUpstreamsAtTheStart)
{
    view.keepers.clear();
    settle();
    BOOST_TEST(orphans() == 0);
    BOOST_TEST(rounds <= maxRounds);
    BOOST_TEST(conflicts == 0);
    BOOST_TEST_MESSAGE("start: rounds " << rounds << ", writes " << writes << ", of one zone "
                                        << mostWrites);
    BOOST_TEST(mostWrites <= maxWaitingWrites);
}

// Guards against upstreams that stay without a keeper after a twentieth of the VMs was killed.
BOOST_AUTO_TEST_CASE(takesOverFromATwentieth)
{
    for (std::size_t n = 0; n < vmCount; n += 20) {
        view.members.erase(VmId{"vm-" + std::to_string(n)});
    }
    const std::size_t lost = orphans();
    BOOST_TEST(lost > 0);
    settle();
    BOOST_TEST(orphans() == 0);
    BOOST_TEST(conflicts == 0);
    BOOST_TEST_MESSAGE("twentieth: orphans " << lost << ", rounds " << rounds << ", writes "
                                             << writes);
}

// Guards against a zone without VMs whose upstreams serve nobody.
BOOST_AUTO_TEST_CASE(takesOverAZoneWithoutVms)
{
    for (std::size_t n = 0; n < vmCount; n += zoneCount) {
        view.members.erase(VmId{"vm-" + std::to_string(n)});
    }
    settle();
    BOOST_TEST(orphans() == 0);
    BOOST_TEST(conflicts == 0);
    BOOST_TEST_MESSAGE("zone: rounds " << rounds << ", writes " << writes);
}

// Guards against a return from a power loss that queues behind the store's limits.
BOOST_AUTO_TEST_CASE(takesOverAfterAPowerLoss)
{
    for (auto &[vm, row] : view.members) {
        row.incarnation = Incarnation{2};
    }
    BOOST_TEST(orphans() == upstreamCount);
    settle();
    BOOST_TEST(orphans() == 0);
    BOOST_TEST(conflicts == 0);
    BOOST_TEST(mostWrites <= maxWaitingWrites);
    BOOST_TEST_MESSAGE("power loss: rounds " << rounds << ", writes " << writes << ", of one zone "
                                             << mostWrites);
}

BOOST_AUTO_TEST_SUITE_END()
