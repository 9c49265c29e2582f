// Routing, acceptance and refusal of submissions in the Dispatcher.
#include <algorithm>

#include "rattandock/base/overloaded.hpp"
#include "rattandock/core/dispatcher.hpp"

namespace rattandock::core {

void Dispatcher::submit(const Requester &from, const JobSpec &job, TimePoint now, Actions &actions)
{
    const auto home = parseHomeJobId(job.id);
    if (!home || m_tokens.isOwn(home->token)) {
        return submitHere(from, job, home, now, actions);
    }
    const Incarnation expected = home->token.incarnation;
    if (auto outcome = m_sealedSets.answer(home->token, job)) {
        return answer(from, job.id, std::move(*outcome), actions);
    }
    if (std::holds_alternative<PeerRequest>(from)) {
        return answer(from, job.id, Unknown{UnknownReason::HomeLost}, actions);
    }
    if (const auto pointer = m_pointers.find(expected); pointer != m_pointers.end()) {
        const VmId &successor = pointer->second.successor;
        if (successor != m_options.vm && m_peers.isLinked(successor)) {
            return forward(from, job, successor, expected, now, actions);
        }
        return answer(from, job.id, Unknown{UnknownReason::HomeUnreachable}, actions);
    }
    if (home->token.vm == m_options.vm) {
        return answer(from, job.id, Unknown{UnknownReason::HomeLost}, actions);
    }
    const auto seen = m_peers.incarnation(home->token.vm);
    if (seen == expected) {
        return forward(from, job, home->token.vm, expected, now, actions);
    }
    answer(from, job.id, Unknown{seen ? UnknownReason::HomeLost : UnknownReason::HomeUnreachable},
           actions);
}

void Dispatcher::forward(const Requester &from, const JobSpec &job, const VmId &peer,
                         Incarnation expected, TimePoint now, Actions &actions)
{
    if (m_stopped) {
        // The process is about to exit and cannot wait for the answer.
        return answer(from, job.id, Unknown{UnknownReason::HomeUnreachable}, actions);
    }
    const std::uint64_t number = m_forwards.add({std::get<CallerRequestId>(from), job.id, peer,
                                                 now + job.deadline + m_options.forwardMargin});
    actions.emplace_back(Note{NoteKind::JobForwarded,
                              parseHomeJobId(job.id) ? "home-form" : "key-form", job.id,
                              peer.value()});
    actions.emplace_back(SendToPeer{peer, ForwardJob{number, expected, job}});
}

void Dispatcher::answer(const Requester &to, const JobId &job, JobOutcome outcome, Actions &actions)
{
    std::visit(
            Overloaded{[&](const CallerRequestId &it) {
                           actions.emplace_back(AnswerCaller{it, job, std::move(outcome)});
                       },
                       [&](const PeerRequest &it) {
                           actions.emplace_back(SendToPeer{
                                   it.peer, ForwardedAnswer{it.forwardNumber, std::move(outcome)}});
                       }},
            to);
}

bool Dispatcher::answerUnlessRangeHeld(const Requester &from, const JobSpec &job, TimePoint now,
                                       Actions &actions)
{
    if (!m_options.keyRanges) {
        return false;
    }
    if (auto outcome = m_sealedSets.answerToKey(job)) {
        answer(from, job.id, std::move(*outcome), actions);
        return true;
    }
    if (now < m_rejectKeysUntil && m_rules.answerUnknownAfterPause) {
        answer(from, job.id, Unknown{UnknownReason::RecentlyPaused}, actions);
        return true;
    }
    const std::uint32_t range = m_keyRanges.rangeOf(job.id);
    switch (m_keyRanges.rangeState(range, now)) {
    case KeyRangeState::Held:
        return false;
    case KeyRangeState::Quarantined:
        answer(from, job.id, Unknown{UnknownReason::PreviousHolderLost}, actions);
        return true;
    case KeyRangeState::LeaseExpired:
        // "Not run" would be wrong: a new holder may have started the job with this key already, or
        // may start it after its quarantine.
        answer(from, job.id, Unknown{UnknownReason::LeaseLapsed}, actions);
        return true;
    case KeyRangeState::NotHeld:
        break;
    }
    const auto holder = reachableHolder(range);
    if (holder && std::holds_alternative<CallerRequestId>(from)) {
        forward(from, job, holder->vm, holder->incarnation, now, actions);
    } else {
        answer(from, job.id, Unknown{UnknownReason::HolderUnreachable}, actions);
    }
    return true;
}

std::optional<KeyHolder> Dispatcher::reachableHolder(std::uint32_t range) const
{
    const auto holder = m_keyRanges.holder(range);
    if (!holder || m_peers.incarnation(holder->vm) == holder->incarnation) {
        return holder;
    }
    // After a planned stop the VM that took over the records also acquires the key ranges. The
    // table rows that this VM has read may be one renewal interval old.
    const auto pointer = m_pointers.find(holder->incarnation);
    if (pointer == m_pointers.end() || pointer->second.successor == m_options.vm) {
        return std::nullopt;
    }
    const VmId &successor = pointer->second.successor;
    const auto incarnation = m_peers.incarnation(successor);
    return incarnation ? std::optional{KeyHolder{successor, *incarnation}} : std::nullopt;
}

void Dispatcher::detectPause(TimePoint now)
{
    // With key ranges, nextTimer() is at most keyTransitTime / 8 after the last event, so a gap of
    // more than a quarter of keyTransitTime means that the process was paused.
    if (m_lastHandled && now - *m_lastHandled > m_options.keyTransitTime / 4) {
        m_rejectKeysUntil = now + m_options.keyTransitTime / 4;
    }
    m_lastHandled = now;
}

std::optional<JobOutcome> Dispatcher::outcomeFromToken(const HomeToken &token, TimePoint now) const
{
    const TimePoint expires = token.issued + m_options.tokenLifetime;
    if (!m_tokens.isGenuine(token)) {
        return NotRun{RefusalReason::TokenForged, std::nullopt};
    }
    if (now >= expires + m_options.recordGrace) {
        return Unknown{UnknownReason::TokenExpired};
    }
    if (now >= expires) {
        return NotRun{RefusalReason::TokenExpired, Duration{}};
    }
    if (token.issued <= m_revokedBefore) {
        return NotRun{RefusalReason::TokenRevoked, Duration{}};
    }
    return std::nullopt;
}

void Dispatcher::submitHere(const Requester &from, const JobSpec &job,
                            const std::optional<HomeJobId> &home, TimePoint now, Actions &actions)
{
    if (const auto known = m_jobs.find(job.id)) {
        JobRecord &record = m_jobs.at(*known);
        if (record.digest && record.digest != digestOf(job)) {
            return answer(from, job.id, NotRun{RefusalReason::IdReused, std::nullopt}, actions);
        }
        actions.emplace_back(Note{NoteKind::JobJoined, "resubmission", job.id, {}});
        if (record.outcome) {
            return answer(from, job.id, *record.outcome, actions);
        }
        record.waiting.push_back(from);
        if (const auto *request = std::get_if<CallerRequestId>(&from)) {
            m_requests.emplace(*request, *known);
        }
        return;
    }

    TimePoint forgetAt = now + m_options.keyValidity + m_options.keyTransitTime;
    if (!home && answerUnlessRangeHeld(from, job, now, actions)) {
        return;
    }
    if (home) {
        if (const auto outcome = outcomeFromToken(home->token, now)) {
            return answer(from, job.id, *outcome, actions);
        }
        forgetAt = home->token.issued + m_options.tokenLifetime + m_options.recordGrace;
    }
    if (!m_rules.keepRecords) {
        forgetAt = now;
    }
    if (m_sealed && m_rules.sealBeforeHandover) {
        // The records are frozen, so this refusal is not recorded. The successor answers
        // sealed-never-seen for an id without a record, which is consistent with it.
        return answer(from, job.id,
                      home || !m_options.keyRanges
                              ? JobOutcome{NotRun{RefusalReason::Draining, Duration{}}}
                              : JobOutcome{Unknown{UnknownReason::HolderUnreachable}},
                      actions);
    }
    if (m_jobs.full()) {
        if (!home) {
            return answer(from, job.id, Unknown{UnknownReason::RecordTableFull}, actions);
        }
        m_revokedBefore = now;
        return answer(from, job.id, NotRun{RefusalReason::TokenRevoked, m_options.recordGrace},
                      actions);
    }
    if (m_draining) {
        return refuse(from, job, {RefusalReason::Draining, Duration{}}, forgetAt, now, actions);
    }
    if (const auto refusal = m_scheduler.refusalFor(job, now)) {
        return refuse(from, job, *refusal, forgetAt, now, actions);
    }
    const JobHandle handle = m_jobs.add(job, now, forgetAt);
    JobRecord &record = m_jobs.at(handle);
    record.waiting.push_back(from);
    if (const auto *request = std::get_if<CallerRequestId>(&from)) {
        m_requests.emplace(*request, handle);
    }
    if (!home) {
        // The next holder of the key range accepts new keys once the key validity has passed.
        record.deadline = std::min(record.deadline, now + m_options.keyValidity);
    }
    m_deadlines.emplace(record.deadline, handle);
    m_scheduler.enqueue(handle, record.spec, now);
    actions.emplace_back(Note{NoteKind::JobAccepted, home ? "home-form" : "key-form", job.id,
                              std::to_string(job.tasks.size()) + " tasks"});
}

void Dispatcher::refuse(const Requester &from, const JobSpec &job, NotRun refusal,
                        TimePoint forgetAt, TimePoint now, Actions &actions)
{
    actions.emplace_back(Note{NoteKind::JobRefused, name(refusal.reason), job.id, {}});
    if (!m_rules.recordRefusals) {
        return answer(from, job.id, refusal, actions);
    }
    // The refusal is recorded so that a delayed copy of the submission cannot run after it.
    const JobHandle handle = m_jobs.add(job, now, forgetAt);
    m_jobs.at(handle).waiting.push_back(from);
    endJob(handle, refusal, actions);
}

bool Dispatcher::canAcceptKey(const JobId &job, TimePoint now) const
{
    return now >= m_rejectKeysUntil && !m_sealedSets.hasRecordOf(job)
           && m_keyRanges.rangeState(m_keyRanges.rangeOf(job), now) == KeyRangeState::Held;
}

void Dispatcher::cancelUnsubmitted(const JobId &job, TimePoint now, Actions &actions)
{
    const auto home = parseHomeJobId(job);
    if (home && (!m_tokens.isOwn(home->token) || outcomeFromToken(home->token, now))) {
        return;
    }
    if (m_sealed || (!home && m_options.keyRanges && !canAcceptKey(job, now))) {
        return;
    }
    if (m_jobs.full()) {
        if (home) {
            m_revokedBefore = now;
        }
        return;
    }
    const TimePoint forgetAt =
            home ? home->token.issued + m_options.tokenLifetime + m_options.recordGrace
                 : now + m_options.keyValidity + m_options.keyTransitTime;
    const NotRun outcome{RefusalReason::Cancelled, std::nullopt};
    m_jobs.addWithOutcome(job, outcome, now, forgetAt);
    actions.emplace_back(Note{NoteKind::JobRefused, name(outcome.reason), job, "not seen yet"});
}

} // namespace rattandock::core
