#pragma once

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "rattandock/core/home_token.hpp"
#include "rattandock/core/peer_message.hpp"
#include "rattandock/core/safety_rules.hpp"

namespace rattandock::core {

/// The job records of a sealed incarnation, that is, one that starts no more tasks.
struct SealedSet
{
    VmId vm;
    Incarnation incarnation;
    TimePoint coversTokensIssuedAfter;
    std::vector<Incarnation> heldSets;
    std::unordered_map<JobId, HandoverRecord> records;
    /// The set is removed at this time.
    TimePoint forgetAt;
    /// The sender of the batches counted in `batches`.
    Incarnation sender;
    std::set<std::uint32_t> batches;
    /// Number of the last batch, once that batch was received.
    std::optional<std::uint32_t> lastBatch;
    /// True once all batches were received and all sets in `heldSets` are accepted.
    bool accepted = false;

    /// True if all batches of the set were received.
    bool isComplete() const { return lastBatch && batches.size() == *lastBatch + 1ULL; }
};

/// Sealed record sets received from stopped peers. Thread safety: none.
class SealedSets
{
public:
    SealedSets(const SafetyRules &rules, Bytes answerStore);

    /// Adds a batch to its set. Returns true if this is the last batch and the set is accepted, in
    /// which case the caller confirms the set to the sender.
    bool take(const HandoverRecords &batch, TimePoint now);

    /// Returns the outcome for an id whose home is a sealed incarnation, or `std::nullopt` if the
    /// set is missing or incomplete and has no record of the id.
    std::optional<JobOutcome> answer(const HomeToken &token, const JobSpec &job) const;
    /// Returns the recorded outcome for a key-form id, or `std::nullopt` if no set has a record of
    /// it.
    std::optional<JobOutcome> answerToKey(const JobSpec &job) const;

    /// True if any set has a record of the id.
    bool hasRecordOf(const JobId &id) const;

    /// True if the incarnation's set is accepted, so that its key ranges may be taken.
    bool accepted(Incarnation incarnation) const;

    /// Removes the sets that have expired.
    void forgetUntil(TimePoint now);
    /// Accepted sets, in the order in which they were first received.
    std::vector<const SealedSet *> all() const;

private:
    void add(SealedSet &set, const HandoverRecord &record);

    SafetyRules m_rules;
    Bytes m_answerStore;
    std::uint64_t m_storedBytes = 0;
    std::map<Incarnation, SealedSet> m_sets;
    std::vector<Incarnation> m_order;
};

} // namespace rattandock::core
