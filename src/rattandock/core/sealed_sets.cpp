#include "rattandock/core/sealed_sets.hpp"

#include <algorithm>

namespace rattandock::core {

namespace {

JobOutcome outcomeFor(const HandoverRecord &record, const JobSpec &job)
{
    if (record.digest && record.digest != digestOf(job)) {
        return NotRun{RefusalReason::IdReused, std::nullopt};
    }
    return record.outcome;
}

} // namespace

SealedSets::SealedSets(const SafetyRules &rules, Bytes answerStore)
    : m_rules(rules)
    , m_answerStore(answerStore)
{
}

bool SealedSets::take(const HandoverRecords &batch, TimePoint now)
{
    auto [it, added] = m_sets.try_emplace(batch.sealedIncarnation);
    SealedSet &set = it->second;
    if (added) {
        set.vm = batch.sealedVm;
        set.incarnation = batch.sealedIncarnation;
        set.coversTokensIssuedAfter = batch.coversTokensIssuedAfter;
        set.heldSets = batch.heldSets;
        m_order.push_back(set.incarnation);
    }
    if (set.sender != batch.sender && !set.isComplete()) {
        set.sender = batch.sender;
        set.batches.clear();
        set.lastBatch.reset();
    }
    set.forgetAt = std::max(set.forgetAt, now + batch.keepFor);
    if (!set.isComplete() && set.batches.insert(batch.batch).second) {
        for (const HandoverRecord &record : batch.records) {
            add(set, record);
        }
        if (batch.last) {
            set.lastBatch = batch.batch;
        }
    }
    if (!set.accepted && (set.isComplete() || (batch.last && !m_rules.requireCompleteSet))) {
        set.accepted = std::ranges::all_of(set.heldSets,
                                           [this](Incarnation held) { return accepted(held); });
    }
    return batch.last && set.accepted;
}

void SealedSets::add(SealedSet &set, const HandoverRecord &record)
{
    const auto [it, added] = set.records.emplace(record.id, record);
    if (!added) {
        return;
    }
    HandoverRecord &kept = it->second;
    const std::uint64_t n = bodyBytes(kept.outcome);
    if (m_storedBytes + n > m_answerStore.value() && n > 0) {
        kept.outcome = withoutBody(kept.outcome);
    }
    m_storedBytes += bodyBytes(kept.outcome);
}

std::optional<JobOutcome> SealedSets::answer(const HomeToken &token, const JobSpec &job) const
{
    const auto it = m_sets.find(token.incarnation);
    if (it == m_sets.end()) {
        return std::nullopt;
    }
    const SealedSet &set = it->second;
    if (const auto record = set.records.find(job.id); record != set.records.end()) {
        return outcomeFor(record->second, job);
    }
    if (!set.isComplete() && m_rules.requireCompleteSet) {
        return std::nullopt;
    }
    // The home may have removed the records of older tokens before it was sealed, so a missing
    // record doesn't show that the job was never started.
    if (m_rules.checkTokenAge && token.issued <= set.coversTokensIssuedAfter) {
        return Unknown{UnknownReason::TokenExpired};
    }
    return NotRun{RefusalReason::SealedNeverSeen, Duration{}};
}

std::optional<JobOutcome> SealedSets::answerToKey(const JobSpec &job) const
{
    for (const auto &[incarnation, set] : m_sets) {
        if (const auto record = set.records.find(job.id); record != set.records.end()) {
            return outcomeFor(record->second, job);
        }
    }
    return std::nullopt;
}

bool SealedSets::hasRecordOf(const JobId &id) const
{
    return std::ranges::any_of(m_sets,
                               [&id](const auto &it) { return it.second.records.contains(id); });
}

bool SealedSets::accepted(Incarnation incarnation) const
{
    const auto it = m_sets.find(incarnation);
    return it != m_sets.end() && it->second.accepted;
}

void SealedSets::forgetUntil(TimePoint now)
{
    for (auto it = m_sets.begin(); it != m_sets.end();) {
        if (it->second.forgetAt > now) {
            ++it;
            continue;
        }
        for (const auto &[id, record] : it->second.records) {
            m_storedBytes -= bodyBytes(record.outcome);
        }
        std::erase(m_order, it->first);
        it = m_sets.erase(it);
    }
}

std::vector<const SealedSet *> SealedSets::all() const
{
    std::vector<const SealedSet *> found;
    for (const Incarnation &it : m_order) {
        if (const SealedSet &set = m_sets.at(it); set.accepted) {
            found.push_back(&set);
        }
    }
    return found;
}

} // namespace rattandock::core
