// How far a FleetDispatcher trusts its upstreams, and what it sends to other VMs about it.
#include <array>

#include "rattandock/fleet/fleet_dispatcher.hpp"

namespace rattandock::fleet {

namespace {

std::string_view name(TrustLevel level)
{
    static constexpr std::array<std::string_view, trustLevelCount> names{"trusted", "quarantined",
                                                                         "limited"};
    return names.at(static_cast<std::size_t>(level));
}

} // namespace

void FleetDispatcher::recordRunResult(const UpstreamId &upstream, const TaskRef &run,
                                      bool hasSucceeded, std::string_view reason, TimePoint now,
                                      FleetActions &actions)
{
    const UpstreamTrust before = m_upstreamWatch.trust(upstream);
    const UpstreamQuarantine::Change change =
            hasSucceeded ? m_upstreamWatch.succeeded(upstream)
                         : m_upstreamWatch.failed(upstream, run.job, now);
    if (change == UpstreamQuarantine::Change::Quarantined) {
        actions.emplace_back(
                FleetLogRecord{FleetLogRecordKind::UpstreamSetAside, reason, {}, upstream.value()});
    } else if (change == UpstreamQuarantine::Change::Restored) {
        actions.emplace_back(FleetLogRecord{
                FleetLogRecordKind::UpstreamRestored, "probe-done", {}, upstream.value()});
    }
    if (m_upstreamWatch.trust(upstream) != before) {
        sendSuspicion(upstream, now, actions);
    }
}

void FleetDispatcher::sendSuspicion(const UpstreamId &upstream, TimePoint now,
                                    FleetActions &actions)
{
    const auto kept = m_keptUpstreams.find(upstream);
    const auto lastFailure = m_upstreamWatch.lastFailure(upstream);
    const UpstreamTrust trust = m_upstreamWatch.trust(upstream);
    if (kept == m_keptUpstreams.end() || trust == UpstreamTrust{} || !lastFailure
        || now - *lastFailure >= UpstreamQuarantine::healthyTime) {
        return;
    }
    const UpstreamLedger &ledger = kept->second.ledger;
    if (ledger.processStart() == UpstreamProcessStart{}) {
        return;
    }
    for (const VmId &it : m_linkedVms) {
        const MemberRow *const row = m_members.find(it);
        if (row != nullptr && row->zone == ledger.entry().zone
            && row->messageLevel >= ownMessageLevel) {
            actions.emplace_back(SendToVm{it, UpstreamSuspicion{upstream, ledger.processStart(),
                                                                trust, now - *lastFailure}});
        }
    }
}

void FleetDispatcher::handleEvent(const SuspicionReceived &event, TimePoint now,
                                  FleetActions &actions)
{
    const UpstreamSuspicion &suspicion = event.suspicion;
    // A link from before a pause may deliver a message whose age has grown meanwhile.
    const bool isUsable =
            suspicion.age >= Duration{} && suspicion.age < UpstreamQuarantine::healthyTime
            && suspicion.state.pause >= Duration{} && m_listedUpstreams.contains(suspicion.upstream)
            && !m_staleLinks.contains(event.from);
    if (!isUsable) {
        return;
    }
    m_suspicions[suspicion.upstream] = {suspicion.processStart, suspicion.state,
                                        now - suspicion.age};
    adoptSuspicion(suspicion.upstream, now, actions);
}

void FleetDispatcher::adoptSuspicion(const UpstreamId &upstream, TimePoint now,
                                     FleetActions &actions)
{
    const auto it = m_suspicions.find(upstream);
    const auto kept = m_keptUpstreams.find(upstream);
    if (it == m_suspicions.end() || kept == m_keptUpstreams.end()
        || kept->second.ledger.processStart() == UpstreamProcessStart{}) {
        return;
    }
    const ReportedSuspicion reported = it->second;
    m_suspicions.erase(it);
    if (reported.processStart != kept->second.ledger.processStart()
        || now - reported.lastFailure >= UpstreamQuarantine::healthyTime) {
        return;
    }
    if (m_upstreamWatch.adopt(upstream, reported.trust, reported.lastFailure)) {
        actions.emplace_back(FleetLogRecord{FleetLogRecordKind::SuspicionAdopted,
                                            name(reported.trust.level),
                                            {},
                                            upstream.value()});
    }
}

void FleetDispatcher::updateSuspicions(TimePoint now, FleetActions &actions)
{
    std::erase_if(m_suspicions, [&](const auto &it) {
        return now - it.second.lastFailure >= UpstreamQuarantine::healthyTime
               || !m_listedUpstreams.contains(it.first);
    });
    struct Counts
    {
        std::size_t kept = 0;
        std::size_t quarantined = 0;
    };
    std::map<ZoneId, Counts> zones;
    for (const auto &[id, kept] : m_keptUpstreams) {
        Counts &counts = zones[kept.ledger.entry().zone];
        ++counts.kept;
        counts.quarantined += m_upstreamWatch.trust(id).level == TrustLevel::Quarantined ? 1U : 0U;
    }
    std::set<ZoneId> mostlyQuarantined;
    for (const auto &[zone, counts] : zones) {
        if (!UpstreamQuarantine::isWidespread(counts.quarantined, counts.kept)) {
            continue;
        }
        mostlyQuarantined.insert(zone);
        if (!m_zonesMostlyQuarantined.contains(zone)) {
            actions.emplace_back(FleetLogRecord{FleetLogRecordKind::QuarantineWidespread,
                                                "began",
                                                {},
                                                zone.value() + ", upstreams "
                                                        + std::to_string(counts.quarantined)
                                                        + " of " + std::to_string(counts.kept)});
        }
    }
    for (const ZoneId &it : m_zonesMostlyQuarantined) {
        if (!mostlyQuarantined.contains(it)) {
            actions.emplace_back(FleetLogRecord{
                    FleetLogRecordKind::QuarantineWidespread, "ended", {}, it.value()});
        }
    }
    m_zonesMostlyQuarantined = std::move(mostlyQuarantined);
    for (const auto &[id, kept] : m_keptUpstreams) {
        m_upstreamWatch.setWidespread(id,
                                      m_zonesMostlyQuarantined.contains(kept.ledger.entry().zone));
    }
}

} // namespace rattandock::fleet
