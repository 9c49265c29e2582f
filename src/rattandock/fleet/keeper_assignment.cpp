#include "rattandock/fleet/keeper_assignment.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace rattandock::fleet {

namespace {

/// A member with the upstreams that it keeps or is about to get.
struct Holder
{
    const MemberRow *row = nullptr;
    std::vector<UpstreamId> kept;
    std::map<ZoneId, std::size_t> keptIn;

    std::size_t countIn(const ZoneId &zone) const
    {
        const auto it = keptIn.find(zone);
        return it == keptIn.end() ? 0 : it->second;
    }
    /// Only the upstreams of the zone count: VMs of other zones don't know of all others.
    double loadIn(const ZoneId &zone) const
    {
        return static_cast<double>(countIn(zone)) / row->weight;
    }
    void take(const UpstreamId &upstream, const ZoneId &zone)
    {
        kept.push_back(upstream);
        ++keptIn[zone];
    }
};

using Holders = std::map<VmId, Holder>;

/// Members that take upstreams, and upstreams, of one zone.
struct ZoneShare
{
    std::vector<Holder *> takers;
    double weights = 0;
    std::size_t upstreams = 0;

    /// Upstreams of the zone that fall to a member by its weight.
    double of(const MemberRow &member) const
    {
        return weights > 0 ? static_cast<double>(upstreams) * member.weight / weights : 0;
    }
};

using ZoneShares = std::map<ZoneId, ZoneShare>;

ZoneShares sharesOf(Holders &holders, const AssignmentView &view)
{
    ZoneShares shares;
    for (auto &[vm, holder] : holders) {
        if (!holder.row->draining) {
            ZoneShare &share = shares[holder.row->zone];
            share.takers.push_back(&holder);
            share.weights += holder.row->weight;
        }
    }
    for (const auto &[upstream, zone] : view.upstreams) {
        ++shares[zone].upstreams;
    }
    return shares;
}

bool isKeptBy(const KeeperRow &row, const Holders &holders)
{
    const auto it = holders.find(row.vm);
    return it != holders.end() && it->second.row->incarnation == row.incarnation;
}

Holder *leastLoaded(const std::vector<Holder *> &takers, const ZoneId &zone)
{
    const auto it = std::ranges::min_element(
            takers, {}, [&](const Holder *holder) { return holder->loadIn(zone); });
    return it == takers.end() ? nullptr : *it;
}

bool someoneLacks(const ZoneShare &share, const MemberRow &self)
{
    return std::ranges::any_of(share.takers, [&](const Holder *it) {
        return it->row->vm != self.vm
               && static_cast<double>(it->countIn(it->row->zone)) < std::floor(share.of(*it->row));
    });
}

std::vector<UpstreamId> surplus(const Holder &self, const ZoneShares &shares,
                                const AssignmentView &view)
{
    std::vector<UpstreamId> release;
    std::vector<UpstreamId> ownZone;
    for (const UpstreamId &it : self.kept) {
        const ZoneId &zone = view.upstreams.at(it);
        const bool foreign = zone != self.row->zone;
        if (self.row->draining || (foreign && !shares.at(zone).takers.empty())) {
            release.push_back(it);
        } else if (!foreign) {
            ownZone.push_back(it);
        }
    }
    const auto share = shares.find(self.row->zone);
    if (self.row->draining || share == shares.end() || !someoneLacks(share->second, *self.row)) {
        return release;
    }
    const auto keep = static_cast<std::size_t>(std::ceil(share->second.of(*self.row)));
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
    Holders holders;
    for (const auto &[vm, row] : view.members) {
        holders[vm].row = &row;
    }
    if (!holders.contains(view.self)) {
        return decision;
    }
    std::vector<std::pair<UpstreamId, ZoneId>> orphans;
    for (const auto &[upstream, zone] : view.upstreams) {
        const auto row = view.keepers.find(upstream);
        if (row != view.keepers.end() && isKeptBy(row->second, holders)) {
            holders.at(row->second.vm).take(upstream, zone);
        } else {
            orphans.emplace_back(upstream, zone);
        }
    }
    const ZoneShares shares = sharesOf(holders, view);
    decision.release = surplus(holders.at(view.self), shares, view);
    std::vector<Holder *> everyone;
    for (auto &[vm, holder] : holders) {
        if (!holder.row->draining) {
            everyone.push_back(&holder);
        }
    }
    for (const auto &[upstream, zone] : orphans) {
        // The least loaded of its zone, else of all.
        const std::vector<Holder *> &near = shares.at(zone).takers;
        Holder *const taker = leastLoaded(near.empty() ? everyone : near, zone);
        if (taker == nullptr) {
            break;
        }
        taker->take(upstream, zone);
        if (taker->row->vm == view.self) {
            decision.claim.push_back(upstream);
        }
    }
    return decision;
}

} // namespace rattandock::fleet
