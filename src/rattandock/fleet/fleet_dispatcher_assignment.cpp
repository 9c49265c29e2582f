// Claim and release of upstreams by a FleetDispatcher.
#include <algorithm>

#include "rattandock/fleet/fleet_dispatcher.hpp"
#include "rattandock/fleet/keeper_assignment.hpp"

namespace rattandock::fleet {

namespace {

/// Maximum number of rows in one conditional write. Keeps it below the platform's limit of 100
/// checks and writes together.
constexpr std::size_t maxRowsPerWrite = 48;

} // namespace

bool FleetDispatcher::hasReadKeepersOf(const ZoneId &zone) const
{
    return m_hasAllKeepers || m_zonesWithKeepersRead.contains(zone);
}

std::set<ZoneId> FleetDispatcher::foreignZonesToKeep(TimePoint now) const
{
    std::set<ZoneId> zones;
    for (const auto &[id, kept] : m_keptUpstreams) {
        zones.insert(kept.ledger.entry().zone);
    }
    if (m_startedAt && now - *m_startedAt >= m_options.settleTime) {
        const std::set<ZoneId> served = m_members.servedZones();
        for (const auto &[zone, upstreams] : m_listedByZone) {
            if (!upstreams.empty() && !served.contains(zone) && m_members.wasRead(zone)) {
                zones.insert(zone);
            }
        }
    }
    zones.erase(m_options.zone);
    return zones;
}

void FleetDispatcher::updateAssignment(TimePoint now, FleetActions &actions)
{
    const MemberRow *const self = m_members.find(m_options.vm);
    if (!m_hasMembers || !hasReadKeepersOf(m_options.zone) || !m_hasUpstreams
        || !isMembershipSettled(now) || self == nullptr) {
        return;
    }
    m_isAssignmentDue = false;
    AssignmentView view{m_options.vm, m_members.aliveMembers(), {}, {}};
    MemberRow &own = view.members[m_options.vm] = *self;
    own.incarnation = m_options.incarnation;
    own.draining = m_stopAt.has_value();
    std::set<ZoneId> zones = foreignZonesToKeep(now);
    std::erase_if(zones, [&](const ZoneId &it) { return !hasReadKeepersOf(it); });
    zones.insert(m_options.zone);
    for (const ZoneId &zone : zones) {
        for (const UpstreamId &id : m_listedByZone[zone]) {
            const ListedUpstream &listed = m_listedUpstreams.at(id);
            const bool isLeaving = listed.entry.draining || listed.unlistedSince;
            if (isLeaving && !m_keptUpstreams.contains(id)) {
                continue;
            }
            view.upstreams.emplace(id, zone);
            if (const auto keeper = m_keepers.find(id); keeper != m_keepers.end()) {
                view.keepers.insert(*keeper);
            }
        }
    }
    AssignmentDecision decision = assignUpstreams(view);
    for (const auto &[id, row] : view.keepers) {
        const bool isReleased = std::ranges::find(decision.release, id) != decision.release.end();
        if (isOwnRow(row) && !m_keptUpstreams.contains(id) && !isReleased) {
            // The release of this row was not written. Only this VM can claim it.
            decision.claim.push_back(id);
        }
    }
    // Retries at the next interval, as a release waits for the end of runs and a claim in another
    // zone for a successful probe.
    m_isAssignmentDue = !decision.claim.empty() || !decision.release.empty();
    for (auto &[id, kept] : m_keptUpstreams) {
        kept.isReleasing = std::ranges::find(decision.release, id) != decision.release.end();
    }
    std::vector<UpstreamId> released;
    for (const UpstreamId &it : decision.release) {
        const auto kept = m_keptUpstreams.find(it);
        if (kept == m_keptUpstreams.end() || kept->second.ledger.isIdle()) {
            released.push_back(it);
        }
    }
    writeKeepers(released, false, now, actions);
    std::vector<UpstreamId> claimed;
    std::ranges::copy_if(decision.claim, std::back_inserter(claimed),
                         [&](const UpstreamId &it) { return m_listedUpstreams.contains(it); });
    writeKeepers(filterReachable(claimed, now, actions), true, now, actions);
}

bool FleetDispatcher::isMembershipSettled(TimePoint now) const
{
    return now - *m_startedAt >= m_options.settleTime || m_members.hasSettled(m_options.zone, now);
}

std::vector<UpstreamId> FleetDispatcher::filterReachable(const std::vector<UpstreamId> &upstreams,
                                                         TimePoint now, FleetActions &actions)
{
    // If no VM of a zone responds, the zone may be partitioned and still serve its upstreams.
    // Claiming them would end their runs as soon as the partition heals, without any gain, as they
    // cannot be reached from here before.
    std::vector<UpstreamId> result;
    for (const UpstreamId &it : upstreams) {
        const UpstreamEntry &entry = m_listedUpstreams.at(it).entry;
        const auto reached = m_zoneReachedAt.find(entry.zone);
        if (entry.zone == m_options.zone
            || (reached != m_zoneReachedAt.end()
                && now - reached->second < m_options.zoneReachableTtl)) {
            result.push_back(it);
        } else if (m_zonesBeingProbed.insert(entry.zone).second) {
            actions.emplace_back(ProbeUpstream{entry.zone, entry.address});
        }
    }
    return result;
}

void FleetDispatcher::handleEvent(const UpstreamProbed &event, TimePoint now,
                                  FleetActions & /*actions*/)
{
    m_zonesBeingProbed.erase(event.zone);
    m_isAssignmentDue = true;
    if (event.isReachable) {
        m_zoneReachedAt[event.zone] = now;
    }
}

void FleetDispatcher::writeKeepers(const std::vector<UpstreamId> &upstreams, bool claim,
                                   TimePoint now, FleetActions &actions)
{
    std::map<ZoneId, std::vector<KeeperRow>> byZone;
    for (const UpstreamId &it : upstreams) {
        const ZoneId &zone = m_listedUpstreams.at(it).entry.zone;
        auto &rows = byZone[zone];
        if (m_zonesBeingWritten.contains(zone) || rows.size() >= maxRowsPerWrite) {
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
        m_zonesBeingWritten.insert(zone);
        for (const KeeperRow &it : rows) {
            if (!claim) {
                // Stops using the upstream before the row is written: once it is, another VM may
                // claim the upstream and start tasks there.
                actions.emplace_back(FleetLogRecord{
                        FleetLogRecordKind::UpstreamReleased, "released", {}, it.upstream.value()});
                dropUpstream(it.upstream, "released", now, actions);
            }
        }
        actions.emplace_back(WriteKeepers{zone, std::move(rows)});
    }
}

} // namespace rattandock::fleet
