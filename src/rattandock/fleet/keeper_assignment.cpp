#include "rattandock/fleet/keeper_assignment.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace rattandock::fleet {

namespace {

/// A member with the upstreams that are assigned to it, including those it gets in this decision.
struct MemberLoad
{
    const MemberRow *row = nullptr;
    std::vector<UpstreamId> upstreams;
    std::map<ZoneId, std::size_t> countByZone;

    std::size_t countIn(const ZoneId &zone) const
    {
        const auto it = countByZone.find(zone);
        return it == countByZone.end() ? 0 : it->second;
    }
    /// Upstreams of `zone` per weight. Upstreams of other zones are not counted: a VM reads the
    /// keepers of some zones only, so VMs of different zones would compute different totals.
    double loadIn(const ZoneId &zone) const
    {
        return static_cast<double>(countIn(zone)) / row->weight;
    }
    void assign(const UpstreamId &upstream, const ZoneId &zone)
    {
        upstreams.push_back(upstream);
        ++countByZone[zone];
    }
};

using MemberLoads = std::map<VmId, MemberLoad>;

/// The members of a zone among which its upstreams are divided, and the number of its upstreams.
struct ZoneShare
{
    /// The members of the zone that are not draining.
    std::vector<MemberLoad *> candidates;
    double totalWeight = 0;
    std::size_t upstreamCount = 0;

    /// The member's part of the zone's upstreams, in proportion to its weight; not rounded.
    double shareOf(const MemberRow &member) const
    {
        return totalWeight > 0 ? static_cast<double>(upstreamCount) * member.weight / totalWeight
                               : 0;
    }
};

using ZoneShares = std::map<ZoneId, ZoneShare>;

ZoneShares computeZoneShares(MemberLoads &loads, const AssignmentView &view)
{
    ZoneShares shares;
    for (auto &[vm, load] : loads) {
        if (!load.row->draining) {
            ZoneShare &share = shares[load.row->zone];
            share.candidates.push_back(&load);
            share.totalWeight += load.row->weight;
        }
    }
    for (const auto &[upstream, zone] : view.upstreams) {
        ++shares[zone].upstreamCount;
    }
    return shares;
}

/// Returns true if the row names an alive member and that member's current incarnation.
bool isAliveKeeper(const KeeperRow &row, const MemberLoads &loads)
{
    const auto it = loads.find(row.vm);
    return it != loads.end() && it->second.row->incarnation == row.incarnation;
}

/// Returns the candidate with the fewest upstreams of the zone per weight, or null if there is
/// none.
MemberLoad *leastLoaded(const std::vector<MemberLoad *> &candidates, const ZoneId &zone)
{
    const auto it = std::ranges::min_element(
            candidates, {}, [&](const MemberLoad *load) { return load->loadIn(zone); });
    return it == candidates.end() ? nullptr : *it;
}

/// Returns true if a candidate other than `self` has fewer upstreams of the zone than its share,
/// rounded down.
bool isAnotherMemberBelowShare(const ZoneShare &share, const MemberRow &self)
{
    return std::ranges::any_of(share.candidates, [&](const MemberLoad *it) {
        return it->row->vm != self.vm
               && static_cast<double>(it->countIn(it->row->zone))
                          < std::floor(share.shareOf(*it->row));
    });
}

/// Returns the upstreams that `self` releases: all if it is draining, else those of other zones
/// that have a candidate, and those of its own zone in excess of its share, rounded up, while
/// another member is below its own.
std::vector<UpstreamId> upstreamsToRelease(const MemberLoad &self, const ZoneShares &shares,
                                           const AssignmentView &view)
{
    std::vector<UpstreamId> release;
    std::vector<UpstreamId> ownZone;
    for (const UpstreamId &it : self.upstreams) {
        const ZoneId &zone = view.upstreams.at(it);
        const bool isOtherZone = zone != self.row->zone;
        if (self.row->draining || (isOtherZone && !shares.at(zone).candidates.empty())) {
            release.push_back(it);
        } else if (!isOtherZone) {
            ownZone.push_back(it);
        }
    }
    const auto share = shares.find(self.row->zone);
    if (self.row->draining || share == shares.end()
        || !isAnotherMemberBelowShare(share->second, *self.row)) {
        return release;
    }
    const auto keep = static_cast<std::size_t>(std::ceil(share->second.shareOf(*self.row)));
    if (ownZone.size() > keep) {
        release.insert(release.end(), ownZone.begin() + static_cast<std::ptrdiff_t>(keep),
                       ownZone.end());
    }
    return release;
}

} // namespace

AssignmentDecision assignUpstreams(const AssignmentView &view)
{
    AssignmentDecision decision;
    MemberLoads loads;
    for (const auto &[vm, row] : view.members) {
        loads[vm].row = &row;
    }
    if (!loads.contains(view.self)) {
        return decision;
    }
    std::vector<std::pair<UpstreamId, ZoneId>> orphans;
    for (const auto &[upstream, zone] : view.upstreams) {
        const auto row = view.keepers.find(upstream);
        if (row != view.keepers.end() && isAliveKeeper(row->second, loads)) {
            loads.at(row->second.vm).assign(upstream, zone);
        } else {
            orphans.emplace_back(upstream, zone);
        }
    }
    const ZoneShares shares = computeZoneShares(loads, view);
    decision.release = upstreamsToRelease(loads.at(view.self), shares, view);
    std::vector<MemberLoad *> allCandidates;
    for (auto &[vm, load] : loads) {
        if (!load.row->draining) {
            allCandidates.push_back(&load);
        }
    }
    for (const auto &[upstream, zone] : orphans) {
        // The least loaded member of the upstream's zone, or of all zones if its zone has none.
        const std::vector<MemberLoad *> &inZone = shares.at(zone).candidates;
        MemberLoad *const keeper = leastLoaded(inZone.empty() ? allCandidates : inZone, zone);
        if (keeper == nullptr) {
            break;
        }
        keeper->assign(upstream, zone);
        if (keeper->row->vm == view.self) {
            decision.claim.push_back(upstream);
        }
    }
    return decision;
}

} // namespace rattandock::fleet
