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
    std::size_t ownZone = 0;

    double load() const { return static_cast<double>(kept.size()) / row->weight; }
};

using Holders = std::map<VmId, Holder>;

bool isKeptBy(const KeeperRow &row, const Holders &holders)
{
    const auto it = holders.find(row.vm);
    return it != holders.end() && it->second.row->incarnation == row.incarnation;
}

/// The member that an orphan goes to: the least loaded of its zone, else of all.
Holder *leastLoaded(Holders &holders, const ZoneId &zone)
{
    Holder *best = nullptr;
    bool bestInZone = false;
    for (auto &[vm, holder] : holders) {
        if (holder.row->draining) {
            continue;
        }
        const bool inZone = holder.row->zone == zone;
        const bool better = best == nullptr || (inZone && !bestInZone)
                            || (inZone == bestInZone && holder.load() < best->load());
        if (better) {
            best = &holder;
            bestInZone = inZone;
        }
    }
    return best;
}

/// Upstreams of the zone that fall to a member by its weight.
double fairShare(const Holders &holders, const AssignmentView &view, const MemberRow &member)
{
    double weights = 0;
    for (const auto &[vm, holder] : holders) {
        if (holder.row->zone == member.zone && !holder.row->draining) {
            weights += holder.row->weight;
        }
    }
    const auto count = std::ranges::count_if(
            view.upstreams, [&](const auto &it) { return it.second == member.zone; });
    return weights > 0 ? static_cast<double>(count) * member.weight / weights : 0;
}

bool someoneLacks(const Holders &holders, const AssignmentView &view, const MemberRow &self)
{
    return std::ranges::any_of(holders, [&](const auto &it) {
        const MemberRow &row = *it.second.row;
        return row.vm != self.vm && row.zone == self.zone && !row.draining
               && static_cast<double>(it.second.ownZone)
                          < std::floor(fairShare(holders, view, row));
    });
}

std::vector<UpstreamId> surplus(const Holders &holders, const AssignmentView &view)
{
    std::vector<UpstreamId> release;
    const Holder &self = holders.at(view.self);
    std::vector<UpstreamId> ownZone;
    for (const UpstreamId &it : self.kept) {
        const ZoneId &zone = view.upstreams.at(it);
        const bool foreign = zone != self.row->zone;
        const bool zoneHasVm = std::ranges::any_of(holders, [&](const auto &holder) {
            return holder.second.row->zone == zone && !holder.second.row->draining;
        });
        if (self.row->draining || (foreign && zoneHasVm)) {
            release.push_back(it);
        } else if (!foreign) {
            ownZone.push_back(it);
        }
    }
    if (self.row->draining || !someoneLacks(holders, view, *self.row)) {
        return release;
    }
    const auto keep = static_cast<std::size_t>(std::ceil(fairShare(holders, view, *self.row)));
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
            Holder &holder = holders.at(row->second.vm);
            holder.kept.push_back(upstream);
            holder.ownZone += holder.row->zone == zone ? 1 : 0;
        } else {
            orphans.emplace_back(upstream, zone);
        }
    }
    decision.release = surplus(holders, view);
    for (const auto &[upstream, zone] : orphans) {
        Holder *const taker = leastLoaded(holders, zone);
        if (taker == nullptr) {
            break;
        }
        taker->kept.push_back(upstream);
        if (taker->row->vm == view.self) {
            decision.claim.push_back(upstream);
        }
    }
    return decision;
}

} // namespace rattandock::fleet
