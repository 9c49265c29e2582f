// Takeover of upstreams at the size of the largest simulated deployment: 300 VMs and 2,244
// upstreams in five zones, with a store that writes keeper rows conditionally on their versions.
#include <boost/test/unit_test.hpp>
#include <set>

#include "rattandock/fleet/keeper_assignment.hpp"

using namespace rattandock;
using namespace rattandock::fleet;

namespace {

constexpr std::size_t vmCount = 300;
constexpr std::size_t upstreamCount = 2244;
constexpr std::size_t zoneCount = 5;
/// Most keeper rows that a dispatcher puts into one write.
constexpr std::size_t maxRowsPerWrite = 48;
/// Rounds of the assignment, one per 250 ms, after which every upstream must have a keeper.
constexpr std::size_t maxRounds = 4;
/// Writes that the store queues for one zone's part of the table: those of one second.
constexpr std::size_t maxQueuedWrites = 200;

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
            // `vmCount` is a multiple of `zoneCount`, so upstream n and its keeper, VM n % vmCount,
            // are in the same zone.
            const UpstreamId id{"i-" + std::to_string(n)};
            view.upstreams[id] = zoneOf(n);
            view.keepers[id] = {
                    id, zoneOf(n), VmId{"vm-" + std::to_string(n % vmCount)}, Incarnation{1}, 1, 1};
        }
    }

    /// Number of upstreams without an alive keeper.
    std::size_t orphanCount() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(view.upstreams, [&](const auto &it) {
            const auto row = view.keepers.find(it.first);
            return row == view.keepers.end() || !view.members.contains(row->second.vm)
                   || view.members.at(row->second.vm).incarnation != row->second.incarnation;
        }));
    }

    /// Runs the assignment once on every VM, each with the keeper rows as of the start of the
    /// round. The conditional writes are applied one after the other.
    void runRound()
    {
        const AssignmentView before = view;
        AssignmentView viewOfVm = before;
        std::map<ZoneId, std::size_t> writesByZone;
        for (const auto &[vm, row] : before.members) {
            viewOfVm.self = vm;
            std::map<ZoneId, std::vector<UpstreamId>> claimsByZone;
            for (const UpstreamId &it : assignUpstreams(viewOfVm).claim) {
                claimsByZone[view.upstreams.at(it)].push_back(it);
            }
            for (auto &[zone, claims] : claimsByZone) {
                claims.resize(std::min(claims.size(), maxRowsPerWrite));
                ++writes;
                maxWritesOfZone = std::max(maxWritesOfZone, ++writesByZone[zone]);
                write(row, claims, before);
            }
        }
        ++rounds;
    }

    /// Applies the write of all rows, or counts a conflict if one of them changed after `before`.
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

    /// Runs rounds until every upstream has a keeper, at most `maxRounds`.
    void runRounds()
    {
        rounds = 0;
        writes = 0;
        maxWritesOfZone = 0;
        while (orphanCount() > 0 && rounds < maxRounds) {
            runRound();
        }
    }

    AssignmentView view;
    std::size_t rounds = 0;
    std::size_t writes = 0;
    /// Most writes of one round to the rows of one zone.
    std::size_t maxWritesOfZone = 0;
    std::size_t conflicts = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(TakeoverTest, Fixture)

// Guards against an initial assignment that takes seconds, and against two VMs that claim the same
// upstream.
BOOST_AUTO_TEST_CASE(assignsAllUpstreamsAtTheStart)
{
    view.keepers.clear();
    runRounds();
    BOOST_TEST(orphanCount() == 0);
    BOOST_TEST(rounds <= maxRounds);
    BOOST_TEST(conflicts == 0);
    BOOST_TEST_MESSAGE("start: rounds " << rounds << ", writes " << writes << ", of one zone "
                                        << maxWritesOfZone);
    BOOST_TEST(maxWritesOfZone <= maxQueuedWrites);
}

// Guards against upstreams that stay without a keeper after one VM in 20 was killed.
BOOST_AUTO_TEST_CASE(takesOverFromOneVmInTwenty)
{
    for (std::size_t n = 0; n < vmCount; n += 20) {
        view.members.erase(VmId{"vm-" + std::to_string(n)});
    }
    const std::size_t lost = orphanCount();
    BOOST_TEST(lost > 0);
    runRounds();
    BOOST_TEST(orphanCount() == 0);
    BOOST_TEST(conflicts == 0);
    BOOST_TEST_MESSAGE("twentieth: orphans " << lost << ", rounds " << rounds << ", writes "
                                             << writes);
}

// Guards against upstreams that stay without a keeper because all VMs of their zone were lost.
BOOST_AUTO_TEST_CASE(takesOverAZoneWithoutVms)
{
    for (std::size_t n = 0; n < vmCount; n += zoneCount) {
        view.members.erase(VmId{"vm-" + std::to_string(n)});
    }
    runRounds();
    BOOST_TEST(orphanCount() == 0);
    BOOST_TEST(conflicts == 0);
    BOOST_TEST_MESSAGE("zone: rounds " << rounds << ", writes " << writes);
}

// Guards against a restart of all VMs after a power loss whose writes exceed the store's queue.
BOOST_AUTO_TEST_CASE(takesOverAfterAPowerLoss)
{
    for (auto &[vm, row] : view.members) {
        row.incarnation = Incarnation{2};
    }
    BOOST_TEST(orphanCount() == upstreamCount);
    runRounds();
    BOOST_TEST(orphanCount() == 0);
    BOOST_TEST(conflicts == 0);
    BOOST_TEST(maxWritesOfZone <= maxQueuedWrites);
    BOOST_TEST_MESSAGE("power loss: rounds " << rounds << ", writes " << writes << ", of one zone "
                                             << maxWritesOfZone);
}

BOOST_AUTO_TEST_SUITE_END()
