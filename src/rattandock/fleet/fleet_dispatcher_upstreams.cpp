// Updates of a FleetDispatcher's view of upstreams, VMs and keepers, and outputs of the ledgers.
#include <algorithm>

#include "rattandock/base/overloaded.hpp"
#include "rattandock/fleet/fleet_dispatcher.hpp"
#include "rattandock/fleet/upstream_directory.hpp"

namespace rattandock::fleet {

void FleetDispatcher::handleEvent(const UpstreamListRead &event, TimePoint now,
                                  FleetActions &actions)
{
    recordColdUpstreams(event.cold, now, actions);
    m_hasUpstreams = m_hasUpstreams || event.isWhole;
    if (event.asOf || event.isWhole) {
        m_listAsOf = std::max(m_listAsOf, event.asOf.value_or(now));
        m_hasListReadFailed = false;
    }
    m_isAssignmentDue = m_isAssignmentDue || !event.present.empty() || !event.removed.empty();
    std::set<UpstreamId> present;
    for (const UpstreamEntry &it : event.present) {
        present.insert(it.id);
        updateListedUpstream(it);
    }
    const auto unlist = [&](const UpstreamId &id, ListedUpstream &listed) {
        listed.unlistedSince = listed.unlistedSince.value_or(now);
        m_unlistedUpstreams.insert(id);
    };
    if (event.isWhole) {
        for (auto &[id, listed] : m_listedUpstreams) {
            if (!present.contains(id)) {
                unlist(id, listed);
            }
        }
    }
    for (const UpstreamId &it : event.removed) {
        if (const auto listed = m_listedUpstreams.find(it); listed != m_listedUpstreams.end()) {
            unlist(it, listed->second);
        }
    }
    if (!event.present.empty() || !event.removed.empty()) {
        updateUnservedServices();
    }
}

void FleetDispatcher::handleEvent(const UpstreamListReadFailed &event, TimePoint /*now*/,
                                  FleetActions & /*actions*/)
{
    // A read that was sent before the last pause of this process may have failed due to the pause,
    // so its failure does not show that the store is unavailable.
    m_hasListReadFailed = m_hasListReadFailed || !m_pausedAt || event.sentAt > *m_pausedAt;
}

bool FleetDispatcher::isUpstreamListUsable(TimePoint now) const
{
    // While the store is unavailable no VM can detect that an upstream drains, so work continues
    // with the old list. After a pause of this process, a read sent after it has to succeed or fail
    // first.
    return m_hasListReadFailed
           || m_listAsOf + DirectoryTimes{m_options.drainLimit}.maxUsableAge >= now;
}

void FleetDispatcher::updateListedUpstream(const UpstreamEntry &entry)
{
    removeListedUpstream(entry.id);
    m_listedUpstreams[entry.id] = ListedUpstream{entry, std::nullopt};
    m_listedByZone[entry.zone].insert(entry.id);
    if (const auto kept = m_keptUpstreams.find(entry.id); kept != m_keptUpstreams.end()) {
        kept->second.ledger.update(entry);
    }
}

void FleetDispatcher::removeListedUpstream(const UpstreamId &id)
{
    m_unlistedUpstreams.erase(id);
    if (const auto listed = m_listedUpstreams.find(id); listed != m_listedUpstreams.end()) {
        m_listedByZone[listed->second.entry.zone].erase(id);
        m_listedUpstreams.erase(listed);
    }
}

void FleetDispatcher::expireUnlisted(TimePoint now, FleetActions &actions)
{
    std::vector<UpstreamId> expired;
    for (const UpstreamId &it : m_unlistedUpstreams) {
        const ListedUpstream &listed = m_listedUpstreams.at(it);
        const auto kept = m_keptUpstreams.find(it);
        const bool isSilent = kept == m_keptUpstreams.end() || kept->second.ledger.isSilent();
        const bool hasLeft = listed.entry.draining && isSilent;
        if (hasLeft || now - *listed.unlistedSince >= m_options.unlistedGrace) {
            expired.push_back(it);
        }
    }
    for (const UpstreamId &it : expired) {
        removeListedUpstream(it);
        if (m_keptUpstreams.contains(it)) {
            actions.emplace_back(
                    FleetLogRecord{FleetLogRecordKind::UpstreamGone, "unlisted", {}, it.value()});
            dropUpstream(it, "unlisted", now, actions);
        }
    }
}

void FleetDispatcher::handleEvent(const MembersRead &event, TimePoint now,
                                  FleetActions & /*actions*/)
{
    if (!event.rows) {
        m_members.readFailed();
        return;
    }
    m_hasMembers = m_hasMembers || !event.zone || event.zone == m_options.zone;
    m_isAssignmentDue = true;
    std::map<VmId, MemberRow> present;
    for (const MemberRow &it : *event.rows) {
        present.emplace(it.vm, it);
        m_members.updateRow(it);
        m_members.setLink(it.vm, m_linkedVms.contains(it.vm));
    }
    m_members.eraseMissing(present, event.zone);
    m_members.readSucceeded(now, event.zone, event.sentAt);
}

MemberLinks FleetDispatcher::memberLinks() const
{
    MemberLinks links;
    links.isOwnZoneFullyLinked = m_members.isZoneLinked(m_options.zone, m_options.vm);
    links.ownZoneSize = m_members.memberCount(m_options.zone);
    std::set<ZoneId> outdated;
    for (const VmId &it : m_linkedVms) {
        const MemberRow *const row = m_members.find(it);
        if (row == nullptr) {
            links.isOwnZoneFullyLinked = false;
        } else {
            (m_members.isRowCurrent(it) ? links.linkedZones : outdated).insert(row->zone);
        }
    }
    for (const ZoneId &it : outdated) {
        links.linkedZones.erase(it);
    }
    return links;
}

void FleetDispatcher::handleEvent(const KeepersRead &event, TimePoint now, FleetActions &actions)
{
    if (event.isWhole && event.zone) {
        m_zonesWithKeepersRead.insert(*event.zone);
    }
    m_hasAllKeepers = m_hasAllKeepers || (event.isWhole && !event.zone);
    m_isAssignmentDue = true;
    for (const KeeperRow &it : event.rows) {
        applyKeeperRow(it, now, actions);
    }
}

void FleetDispatcher::handleEvent(const KeeperWriteCompleted &event, TimePoint now,
                                  FleetActions &actions)
{
    m_zonesBeingWritten.erase(event.zone);
    m_isAssignmentDue = true;
    for (const KeeperRow &it : event.rows) {
        applyKeeperRow(it, now, actions);
    }
}

void FleetDispatcher::applyKeeperRow(const KeeperRow &row, TimePoint now, FleetActions &actions)
{
    const auto known = m_keepers.find(row.upstream);
    if (known != m_keepers.end() && known->second.version > row.version) {
        return;
    }
    m_keepers[row.upstream] = row;
    const auto abandoned = m_abandonedEpochs.find(row.upstream);
    // The new ledger would send lower fencing tokens than the former one of the same epoch.
    const bool isAbandoned = abandoned != m_abandonedEpochs.end() && row.epoch <= abandoned->second;
    const bool isOwnKeeper = isOwnRow(row) && !isAbandoned;
    if (!isAbandoned && abandoned != m_abandonedEpochs.end()) {
        m_abandonedEpochs.erase(abandoned);
    }
    const auto kept = m_keptUpstreams.find(row.upstream);
    if (kept != m_keptUpstreams.end()
        && (!isOwnKeeper || kept->second.ledger.epoch() != row.epoch)) {
        dropUpstream(row.upstream, "other-keeper", now, actions);
    }
    const auto listed = m_listedUpstreams.find(row.upstream);
    if (isOwnKeeper && listed != m_listedUpstreams.end()
        && !m_keptUpstreams.contains(row.upstream)) {
        m_keptUpstreams.emplace(
                row.upstream,
                KeptUpstream{UpstreamLedger{listed->second.entry, row.epoch, m_options.lease},
                             false,
                             {},
                             now,
                             {}});
        actions.emplace_back(
                FleetLogRecord{FleetLogRecordKind::UpstreamClaimed,
                               "claimed",
                               {},
                               row.upstream.value() + ", epoch " + std::to_string(row.epoch)});
    }
}

void FleetDispatcher::dropUpstream(const UpstreamId &id, std::string_view reason, TimePoint now,
                                   FleetActions &actions)
{
    sendSuspicion(id, now, actions);
    auto node = m_keptUpstreams.extract(id);
    if (node.empty()) {
        return;
    }
    UpstreamLedger &ledger = node.mapped().ledger;
    m_abandonedEpochs[id] = ledger.epoch();
    actions.emplace_back(ReleaseConnections{ledger.entry().address});
    if (ledger.runCount() > 0) {
        actions.emplace_back(
                FleetLogRecord{FleetLogRecordKind::UpstreamLost,
                               reason,
                               {},
                               id.value() + ", runs " + std::to_string(ledger.runCount())});
    }
    LedgerOutputs outputs;
    m_abandonedRunsEndAt = ledger.abandon(now, outputs);
    applyLedgerOutputs(id, outputs, now, actions);
    m_abandonedRunsEndAt.reset();
    m_upstreamWatch.erase(id);
    m_warmUp.unlimit(id);
}

void FleetDispatcher::stepLedgers(TimePoint now, FleetActions &actions)
{
    std::vector<UpstreamId> due;
    for (const auto &[id, kept] : m_keptUpstreams) {
        if (const auto timer = kept.ledger.nextTimer(); timer && *timer <= now) {
            due.push_back(id);
        }
    }
    for (const UpstreamId &it : due) {
        if (const auto kept = m_keptUpstreams.find(it); kept != m_keptUpstreams.end()) {
            LedgerOutputs outputs;
            kept->second.ledger.step(now, outputs);
            applyLedgerOutputs(it, outputs, now, actions);
        }
    }
}

void FleetDispatcher::handleEvent(const StartOrderCompleted &event, TimePoint now,
                                  FleetActions &actions)
{
    if (const auto kept = m_keptUpstreams.find(event.upstream); kept != m_keptUpstreams.end()) {
        LedgerOutputs outputs;
        kept->second.ledger.startAnswered(event.name, event.number, event.result, event.clock, now,
                                          outputs);
        applyLedgerOutputs(event.upstream, outputs, now, actions);
    }
}

void FleetDispatcher::handleEvent(const StopOrderCompleted &event, TimePoint now,
                                  FleetActions &actions)
{
    if (const auto kept = m_keptUpstreams.find(event.upstream); kept != m_keptUpstreams.end()) {
        LedgerOutputs outputs;
        kept->second.ledger.stopAnswered(event.name, event.number, event.result, now, outputs);
        applyLedgerOutputs(event.upstream, outputs, now, actions);
    }
}

void FleetDispatcher::handleEvent(const RunReportReceived &event, TimePoint now,
                                  FleetActions &actions)
{
    if (const auto kept = m_keptUpstreams.find(event.upstream); kept != m_keptUpstreams.end()) {
        LedgerOutputs outputs;
        UpstreamLedger &ledger = kept->second.ledger;
        const UpstreamProcessStart former = ledger.processStart();
        ledger.pollAnswered(event.number, event.report, now, outputs);
        if (former != UpstreamProcessStart{} && former != ledger.processStart()) {
            // The entry of the new process states whether it is cold.
            m_warmUp.unlimit(event.upstream);
            kept->second.idleSince = now;
        }
        applyLedgerOutputs(event.upstream, outputs, now, actions);
        adoptSuspicion(event.upstream, now, actions);
    }
}

void FleetDispatcher::handleEvent(const RunReportFailed &event, TimePoint now,
                                  FleetActions &actions)
{
    if (const auto kept = m_keptUpstreams.find(event.upstream); kept != m_keptUpstreams.end()) {
        LedgerOutputs outputs;
        kept->second.ledger.pollFailed(event.number, event.result, now, outputs);
        applyLedgerOutputs(event.upstream, outputs, now, actions);
    }
}

void FleetDispatcher::applyLedgerOutputs(const UpstreamId &upstream, LedgerOutputs &outputs,
                                         TimePoint now, FleetActions &actions)
{
    for (LedgerOutput &output : outputs) {
        std::visit(Overloaded{[&](PollOrder &it) { actions.emplace_back(std::move(it)); },
                              [&](StopOrder &it) { actions.emplace_back(std::move(it)); },
                              [&](const RunEnded &it) { handleRunEnd(upstream, it, now, actions); },
                              [&](const LapsedRunCrashed &it) {
                                  handleLapsedRunCrash(it, now, actions);
                              },
                              [&](const RunNeverStarted &it) {
                                  handleRunNotStarted(upstream, it, now, actions);
                              },
                              [&](const UpstreamLost &it) {
                                  m_keepers.erase(it.upstream);
                                  m_isAssignmentDue = true;
                                  if (it.reason == OrderResult::OtherIncarnation) {
                                      removeListedUpstream(it.upstream);
                                  }
                                  dropUpstream(it.upstream, name(it.reason), now, actions);
                              }},
                   output);
    }
}

bool FleetDispatcher::mayPlaceOn(const KeptUpstream &kept, TimePoint now) const
{
    const UpstreamEntry &entry = kept.ledger.entry();
    return !kept.isReleasing && !kept.isolatedRun && !entry.draining && kept.ledger.takesOrders()
           && isUpstreamListUsable(now) && !m_evacuations.isEvacuated(entry.zone)
           && areEvacuationsUsable(now) && m_upstreamWatch.mayStart(entry.id, now);
}

bool FleetDispatcher::hasLabel(const UpstreamEntry &entry, const FleetJob &job) const
{
    return job.requiredLabel.empty()
           || std::ranges::find(entry.labels, job.requiredLabel) != entry.labels.end();
}

std::string FleetDispatcher::upstreamKind(const UpstreamEntry &entry)
{
    return entry.labels.empty() ? std::string{} : entry.labels.front();
}

} // namespace rattandock::fleet
