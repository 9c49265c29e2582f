// What a FleetDispatcher knows of upstreams, VMs and keepers, and what the ledgers report.
#include <algorithm>

#include "rattandock/base/overloaded.hpp"
#include "rattandock/fleet/fleet_dispatcher.hpp"
#include "rattandock/fleet/upstream_directory.hpp"

namespace rattandock::fleet {

void FleetDispatcher::on(const UpstreamsSeen &event, TimePoint now, FleetActions & /*actions*/)
{
    m_hasUpstreams = m_hasUpstreams || event.isWhole;
    if (event.asOf || event.isWhole) {
        m_listAsOf = std::max(m_listAsOf, event.asOf.value_or(now));
        m_isListUnread = false;
    }
    m_isAssignmentDue = m_isAssignmentDue || !event.present.empty() || !event.removed.empty();
    std::set<UpstreamId> present;
    for (const UpstreamEntry &it : event.present) {
        present.insert(it.id);
        seeUpstream(it);
    }
    const auto unlist = [&](const UpstreamId &id, Listed &listed) {
        listed.unlistedSince = listed.unlistedSince.value_or(now);
        m_unlisted.insert(id);
    };
    if (event.isWhole) {
        for (auto &[id, listed] : m_listed) {
            if (!present.contains(id)) {
                unlist(id, listed);
            }
        }
    }
    for (const UpstreamId &it : event.removed) {
        if (const auto listed = m_listed.find(it); listed != m_listed.end()) {
            unlist(it, listed->second);
        }
    }
}

void FleetDispatcher::on(const UpstreamsUnread &event, TimePoint /*now*/,
                         FleetActions & /*actions*/)
{
    // A read that was under way during a pause of this process says nothing of the store.
    m_isListUnread = m_isListUnread || !m_pausedAt || event.sentAt > *m_pausedAt;
}

bool FleetDispatcher::isListUsable(TimePoint now) const
{
    // While the store is away nobody can learn of a draining upstream, and work goes on. After a
    // pause of this process an answer or a failure from after it has to come first.
    return m_isListUnread || m_listAsOf + DirectoryTimes{m_options.drainLimit}.maxUsableAge >= now;
}

void FleetDispatcher::seeUpstream(const UpstreamEntry &entry)
{
    unlistUpstream(entry.id);
    m_listed[entry.id] = Listed{entry, std::nullopt};
    m_listedIn[entry.zone].insert(entry.id);
    if (const auto kept = m_kept.find(entry.id); kept != m_kept.end()) {
        kept->second.ledger.update(entry);
    }
}

void FleetDispatcher::unlistUpstream(const UpstreamId &id)
{
    m_unlisted.erase(id);
    if (const auto listed = m_listed.find(id); listed != m_listed.end()) {
        m_listedIn[listed->second.entry.zone].erase(id);
        m_listed.erase(listed);
    }
}

void FleetDispatcher::expireUnlisted(TimePoint now, FleetActions &actions)
{
    std::vector<UpstreamId> gone;
    for (const UpstreamId &it : m_unlisted) {
        const Listed &listed = m_listed.at(it);
        const auto kept = m_kept.find(it);
        const bool isSilent = kept == m_kept.end() || kept->second.ledger.isSilent();
        const bool hasLeft = listed.entry.draining && isSilent;
        if (hasLeft || now - *listed.unlistedSince >= m_options.unlistedUse) {
            gone.push_back(it);
        }
    }
    for (const UpstreamId &it : gone) {
        unlistUpstream(it);
        if (m_kept.contains(it)) {
            actions.emplace_back(
                    FleetNote{FleetNoteKind::UpstreamGone, "unlisted", {}, it.value()});
            dropUpstream(it, "unlisted", now, actions);
        }
    }
}

void FleetDispatcher::on(const MembersRead &event, TimePoint now, FleetActions & /*actions*/)
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
        m_members.setLink(it.vm, m_linked.contains(it.vm));
    }
    m_members.eraseMissing(present, event.zone);
    m_members.readSucceeded(now, event.zone);
}

MemberLinks FleetDispatcher::memberLinks() const
{
    MemberLinks links;
    links.isOwnZoneLinked = m_members.isZoneLinked(m_options.zone, m_options.vm);
    links.ownZoneSize = m_members.memberCount(m_options.zone);
    std::set<ZoneId> outdated;
    for (const VmId &it : m_linked) {
        const MemberRow *const row = m_members.find(it);
        if (row == nullptr) {
            links.isOwnZoneLinked = false;
        } else {
            (m_members.isRowCurrent(it) ? links.linkedZones : outdated).insert(row->zone);
        }
    }
    for (const ZoneId &it : outdated) {
        links.linkedZones.erase(it);
    }
    return links;
}

void FleetDispatcher::on(const KeepersRead &event, TimePoint now, FleetActions &actions)
{
    if (event.isWhole && event.zone) {
        m_keepersReadOf.insert(*event.zone);
    }
    m_hasAllKeepers = m_hasAllKeepers || (event.isWhole && !event.zone);
    m_isAssignmentDue = true;
    for (const KeeperRow &it : event.rows) {
        seeKeeper(it, now, actions);
    }
}

void FleetDispatcher::on(const KeepersWritten &event, TimePoint now, FleetActions &actions)
{
    m_writing.erase(event.zone);
    m_isAssignmentDue = true;
    for (const KeeperRow &it : event.rows) {
        seeKeeper(it, now, actions);
    }
}

void FleetDispatcher::seeKeeper(const KeeperRow &row, TimePoint now, FleetActions &actions)
{
    const auto known = m_keepers.find(row.upstream);
    if (known != m_keepers.end() && known->second.version > row.version) {
        return;
    }
    m_keepers[row.upstream] = row;
    const bool isMine = row.vm == m_options.vm && row.incarnation == m_options.incarnation;
    const auto kept = m_kept.find(row.upstream);
    if (kept != m_kept.end() && (!isMine || kept->second.ledger.epoch() != row.epoch)) {
        dropUpstream(row.upstream, "other-keeper", now, actions);
    }
    const auto listed = m_listed.find(row.upstream);
    if (isMine && listed != m_listed.end() && !m_kept.contains(row.upstream)) {
        m_kept.emplace(
                row.upstream,
                Kept{UpstreamLedger{listed->second.entry, row.epoch, m_options.lease}, false, {}});
        actions.emplace_back(
                FleetNote{FleetNoteKind::UpstreamClaimed,
                          "claimed",
                          {},
                          row.upstream.value() + ", epoch " + std::to_string(row.epoch)});
    }
}

void FleetDispatcher::dropUpstream(const UpstreamId &id, std::string_view reason, TimePoint now,
                                   FleetActions &actions)
{
    auto node = m_kept.extract(id);
    if (node.empty()) {
        return;
    }
    UpstreamLedger &ledger = node.mapped().ledger;
    if (ledger.runCount() > 0) {
        actions.emplace_back(FleetNote{FleetNoteKind::UpstreamLost,
                                       reason,
                                       {},
                                       id.value() + ", runs " + std::to_string(ledger.runCount())});
    }
    LedgerOutputs outputs;
    m_runsOverAt = ledger.abandon(now, outputs);
    apply(id, outputs, now, actions);
    m_runsOverAt.reset();
    m_watch.erase(id);
}

void FleetDispatcher::stepLedgers(TimePoint now, FleetActions &actions)
{
    std::vector<UpstreamId> due;
    for (const auto &[id, kept] : m_kept) {
        if (const auto timer = kept.ledger.nextTimer(); timer && *timer <= now) {
            due.push_back(id);
        }
    }
    for (const UpstreamId &it : due) {
        if (const auto kept = m_kept.find(it); kept != m_kept.end()) {
            LedgerOutputs outputs;
            kept->second.ledger.step(now, outputs);
            apply(it, outputs, now, actions);
        }
    }
}

void FleetDispatcher::on(const StartAnswered &event, TimePoint now, FleetActions &actions)
{
    if (const auto kept = m_kept.find(event.upstream); kept != m_kept.end()) {
        LedgerOutputs outputs;
        kept->second.ledger.startAnswered(event.name, event.number, event.result, event.clock, now,
                                          outputs);
        apply(event.upstream, outputs, now, actions);
    }
}

void FleetDispatcher::on(const StopAnswered &event, TimePoint now, FleetActions &actions)
{
    if (const auto kept = m_kept.find(event.upstream); kept != m_kept.end()) {
        LedgerOutputs outputs;
        kept->second.ledger.stopAnswered(event.name, event.number, event.result, now, outputs);
        apply(event.upstream, outputs, now, actions);
    }
}

void FleetDispatcher::on(const LookAnswered &event, TimePoint now, FleetActions &actions)
{
    if (const auto kept = m_kept.find(event.upstream); kept != m_kept.end()) {
        LedgerOutputs outputs;
        kept->second.ledger.pollAnswered(event.number, event.report, now, outputs);
        apply(event.upstream, outputs, now, actions);
    }
}

void FleetDispatcher::on(const LookFailed &event, TimePoint now, FleetActions &actions)
{
    if (const auto kept = m_kept.find(event.upstream); kept != m_kept.end()) {
        LedgerOutputs outputs;
        kept->second.ledger.pollFailed(event.number, event.result, now, outputs);
        apply(event.upstream, outputs, now, actions);
    }
}

void FleetDispatcher::apply(const UpstreamId &upstream, LedgerOutputs &outputs, TimePoint now,
                            FleetActions &actions)
{
    for (LedgerOutput &output : outputs) {
        std::visit(Overloaded{[&](PollOrder &it) { actions.emplace_back(std::move(it)); },
                              [&](StopOrder &it) { actions.emplace_back(std::move(it)); },
                              [&](const RunEnded &it) { runOver(upstream, it, now, actions); },
                              [&](const RunNeverStarted &it) {
                                  runNeverStarted(upstream, it, now, actions);
                              },
                              [&](const UpstreamLost &it) {
                                  m_keepers.erase(it.upstream);
                                  m_isAssignmentDue = true;
                                  if (it.reason == OrderResult::OtherIncarnation) {
                                      unlistUpstream(it.upstream);
                                  }
                                  dropUpstream(it.upstream, name(it.reason), now, actions);
                              }},
                   output);
    }
}

bool FleetDispatcher::mayPlaceOn(const Kept &kept, TimePoint now) const
{
    const UpstreamEntry &entry = kept.ledger.entry();
    return !kept.isReleasing && !entry.draining && kept.ledger.takesOrders() && isListUsable(now)
           && m_watch.mayStart(entry.id, now);
}

bool FleetDispatcher::hasLabel(const UpstreamEntry &entry, const FleetJob &job) const
{
    return job.requiredLabel.empty()
           || std::ranges::find(entry.labels, job.requiredLabel) != entry.labels.end();
}

std::string FleetDispatcher::kindOf(const UpstreamEntry &entry)
{
    return entry.labels.empty() ? std::string{} : entry.labels.front();
}

} // namespace rattandock::fleet
