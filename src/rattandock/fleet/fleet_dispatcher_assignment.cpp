// Which upstreams a FleetDispatcher claims and gives up.
#include <algorithm>

#include "rattandock/fleet/fleet_dispatcher.hpp"
#include "rattandock/fleet/keeper_assignment.hpp"

namespace rattandock::fleet {

namespace {

/// Rows in one conditional write; below the platform's bound of 100 entries of checks and writes.
constexpr std::size_t maxRowsPerWrite = 48;

} // namespace

bool FleetDispatcher::knowsKeepersOf(const ZoneId &zone) const
{
    return m_hasAllKeepers || m_keepersReadOf.contains(zone);
}

std::set<ZoneId> FleetDispatcher::foreignZonesToKeep(TimePoint now) const
{
    std::set<ZoneId> zones;
    for (const auto &[id, kept] : m_kept) {
        zones.insert(kept.ledger.entry().zone);
    }
    if (m_startedAt && now - *m_startedAt >= m_options.settleTime) {
        const std::set<ZoneId> served = m_members.servedZones();
        for (const auto &[zone, upstreams] : m_listedIn) {
            if (!upstreams.empty() && !served.contains(zone) && m_members.wasRead(zone)) {
                zones.insert(zone);
            }
        }
    }
    zones.erase(m_options.zone);
    return zones;
}

void FleetDispatcher::considerAssignment(TimePoint now, FleetActions &actions)
{
    const MemberRow *const self = m_members.find(m_options.vm);
    if (!m_hasMembers || !knowsKeepersOf(m_options.zone) || !m_hasUpstreams || !isSettled(now)
        || self == nullptr) {
        return;
    }
    m_isAssignmentDue = false;
    AssignmentView view{m_options.vm, m_members.aliveMembers(), {}, {}};
    MemberRow &own = view.members[m_options.vm] = *self;
    own.incarnation = m_options.incarnation;
    own.draining = m_stopAt.has_value();
    std::set<ZoneId> zones = foreignZonesToKeep(now);
    std::erase_if(zones, [&](const ZoneId &it) { return !knowsKeepersOf(it); });
    zones.insert(m_options.zone);
    for (const ZoneId &zone : zones) {
        for (const UpstreamId &id : m_listedIn[zone]) {
            const Listed &listed = m_listed.at(id);
            const bool isLeaving = listed.entry.draining || listed.unlistedSince;
            if (isLeaving && !m_kept.contains(id)) {
                continue;
            }
            view.upstreams.emplace(id, zone);
            if (const auto keeper = m_keepers.find(id); keeper != m_keepers.end()) {
                view.keepers.insert(*keeper);
            }
        }
    }
    const AssignmentDecision decision = assignUpstreams(view);
    // What cannot be done yet, as runs have to end or a zone has to be reached, is tried again.
    m_isAssignmentDue = !decision.claim.empty() || !decision.release.empty();
    for (auto &[id, kept] : m_kept) {
        kept.isReleasing = std::ranges::find(decision.release, id) != decision.release.end();
    }
    std::vector<UpstreamId> released;
    for (const UpstreamId &it : decision.release) {
        if (m_kept.contains(it) && m_kept.at(it).ledger.isIdle()) {
            released.push_back(it);
        }
    }
    writeKeepers(released, false, now, actions);
    std::vector<UpstreamId> claimed;
    std::ranges::copy_if(decision.claim, std::back_inserter(claimed),
                         [&](const UpstreamId &it) { return m_listed.contains(it); });
    writeKeepers(reachable(claimed, now, actions), true, now, actions);
}

bool FleetDispatcher::isSettled(TimePoint now) const
{
    return now - *m_startedAt >= m_options.settleTime || m_members.hasSettled(m_options.zone, now);
}

std::vector<UpstreamId> FleetDispatcher::reachable(const std::vector<UpstreamId> &upstreams,
                                                   TimePoint now, FleetActions &actions)
{
    // When all VMs of a zone fall silent, the zone may be cut off and go on serving its upstreams.
    // Taking them from it would end what they run as soon as the cut heals, and serve nobody.
    std::vector<UpstreamId> result;
    for (const UpstreamId &it : upstreams) {
        const UpstreamEntry &entry = m_listed.at(it).entry;
        const auto reached = m_zoneReached.find(entry.zone);
        if (entry.zone == m_options.zone
            || (reached != m_zoneReached.end()
                && now - reached->second < m_options.zoneReachedFor)) {
            result.push_back(it);
        } else if (m_probing.insert(entry.zone).second) {
            actions.emplace_back(ProbeUpstream{entry.zone, entry.address});
        }
    }
    return result;
}

void FleetDispatcher::on(const UpstreamProbed &event, TimePoint now, FleetActions & /*actions*/)
{
    m_probing.erase(event.zone);
    m_isAssignmentDue = true;
    if (event.isReachable) {
        m_zoneReached[event.zone] = now;
    }
}

void FleetDispatcher::writeKeepers(const std::vector<UpstreamId> &upstreams, bool claim,
                                   TimePoint now, FleetActions &actions)
{
    std::map<ZoneId, std::vector<KeeperRow>> byZone;
    for (const UpstreamId &it : upstreams) {
        const ZoneId &zone = m_listed.at(it).entry.zone;
        auto &rows = byZone[zone];
        if (m_writing.contains(zone) || rows.size() >= maxRowsPerWrite) {
            continue;
        }
        const auto known = m_keepers.find(it);
        KeeperRow row =
                known == m_keepers.end() ? KeeperRow{it, zone, {}, {}, 0, 0} : known->second;
        row.vm = claim ? m_options.vm : VmId{};
        row.incarnation = claim ? m_options.incarnation : Incarnation{};
        row.epoch += 1;
        rows.push_back(std::move(row));
    }
    for (auto &[zone, rows] : byZone) {
        if (rows.empty()) {
            continue;
        }
        m_writing.insert(zone);
        for (const KeeperRow &it : rows) {
            if (!claim) {
                // Given up before the row says so: from here on another VM may order it.
                actions.emplace_back(FleetNote{
                        FleetNoteKind::UpstreamReleased, "released", {}, it.upstream.value()});
                dropUpstream(it.upstream, "released", now, actions);
            }
        }
        actions.emplace_back(WriteKeepers{zone, std::move(rows)});
    }
}

} // namespace rattandock::fleet
