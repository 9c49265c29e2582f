// Planned stop of a Dispatcher and takeover of records from stopped peers.
#include <algorithm>

#include "rattandock/core/dispatcher.hpp"

namespace rattandock::core {

namespace {

/// Extends the span by the largest assumed drift between two monotonic clocks, 1%.
Duration withDrift(Duration span)
{
    return span + span / 100;
}

} // namespace

void Dispatcher::handleEvent(const DrainRequested & /*event*/, TimePoint now, Actions &actions)
{
    if (m_draining) {
        return;
    }
    m_draining = true;
    m_stopDeadline = now + m_options.stopLimit;
    if (!m_rules.sealBeforeHandover) {
        return seal(now);
    }
    std::vector<JobHandle> unstarted;
    for (const auto &[deadline, handle] : m_deadlines) {
        if (JobTable::startedTasks(m_jobs.at(handle)).empty()) {
            unstarted.push_back(handle);
        }
    }
    for (const JobHandle &it : unstarted) {
        endIncompleteJob(it, RefusalReason::Draining, FailureReason::Cancelled, Duration{},
                         actions);
    }
}

TimePoint Dispatcher::runningJobsDeadline() const
{
    // The last sixth of the stop limit is reserved for the handover.
    return m_stopDeadline - m_options.stopLimit / 6;
}

void Dispatcher::continueStop(TimePoint now, Actions &actions)
{
    if (!m_draining || m_stopped) {
        return;
    }
    while (!m_sealed && !m_deadlines.empty() && now >= runningJobsDeadline()) {
        endIncompleteJob(m_deadlines.begin()->second, RefusalReason::Draining,
                         FailureReason::Cancelled, Duration{}, actions);
    }
    if (!m_sealed && m_deadlines.empty()) {
        seal(now);
    }
    if (m_sealed) {
        m_sender.step(m_peers, now, actions);
    }
    const bool finished = m_sealed && m_deadlines.empty() && m_forwards.empty()
                          && (m_sender.done() || m_peers.empty());
    if (!finished && now < m_stopDeadline) {
        return;
    }
    for (const PendingForward &it : m_forwards.takeExpired(TimePoint::max())) {
        answer(it.request, it.job, Unknown{UnknownReason::HomeUnreachable}, actions);
    }
    m_stopped = true;
    actions.emplace_back(
            Note{NoteKind::HandoverSent, m_sender.done() ? "confirmed" : "no-successor", {}, {}});
    actions.emplace_back(Stopped{});
}

void Dispatcher::seal(TimePoint now)
{
    m_sealed = true;
    m_keyRanges.stop();
    std::vector<std::vector<HandoverRecords>> sets;
    HandoverRecords own;
    for (const SealedSet *set : m_sealedSets.all()) {
        own.heldSets.push_back(set->incarnation);
        HandoverRecords header;
        header.sender = m_options.incarnation;
        header.sealedVm = set->vm;
        header.sealedIncarnation = set->incarnation;
        header.coversTokensIssuedAfter = set->coversTokensIssuedAfter;
        header.keepFor = set->forgetAt - now;
        std::vector<HandoverRecord> records;
        for (const auto &[id, record] : set->records) {
            records.push_back(record);
        }
        sets.push_back(
                splitIntoBatches(header, std::move(records), m_options.handoverBatchRecords));
    }
    own.sender = m_options.incarnation;
    own.sealedVm = m_options.vm;
    own.sealedIncarnation = m_options.incarnation;
    own.coversTokensIssuedAfter = now - m_options.tokenLifetime - m_options.recordGrace;
    own.keepFor = recordRetention();
    std::vector<HandoverRecord> records;
    for (const auto &[handle, record] : m_jobs.records()) {
        if (record.outcome) {
            records.push_back({record.id, record.digest, *record.outcome});
        }
    }
    sets.push_back(splitIntoBatches(own, std::move(records), m_options.handoverBatchRecords));
    m_sender.begin(std::move(sets));
}

Duration Dispatcher::recordRetention() const
{
    return withDrift(std::max(m_options.tokenLifetime + m_options.recordGrace,
                              m_options.keyValidity + m_options.keyTransitTime));
}

void Dispatcher::handlePeerMessage(const VmId &from, const HandoverRecords &message, TimePoint now,
                                   Actions &actions)
{
    if (m_draining) {
        // The batch is not confirmed, so the sender chooses another successor.
        actions.emplace_back(Note{NoteKind::PeerMessageRefused, "draining", {}, from.value()});
        return;
    }
    if (m_sealedSets.take(message, now)) {
        m_keyRanges.startCycleNow(now);
        actions.emplace_back(Note{NoteKind::HandoverTaken, "whole", {}, message.sealedVm.value()});
        actions.emplace_back(
                SendToPeer{from, HandoverPointer{message.sealedIncarnation, m_options.vm}});
    }
}

void Dispatcher::handlePeerMessage(const VmId & /*from*/, const HandoverPointer &message,
                                   TimePoint now, Actions &actions)
{
    if (message.sealedIncarnation != m_options.incarnation) {
        m_pointers[message.sealedIncarnation] = {message.successor, now + recordRetention()};
    }
    if (!m_sender.confirm(message.successor, message.sealedIncarnation, now)) {
        return;
    }
    for (const VmId &it : m_peers.linked()) {
        if (it != message.successor) {
            actions.emplace_back(SendToPeer{it, message});
        }
    }
}

void Dispatcher::expireHandovers(TimePoint now)
{
    m_sealedSets.forgetUntil(now);
    std::erase_if(m_pointers, [now](const auto &it) { return it.second.forgetAt <= now; });
}

} // namespace rattandock::core
