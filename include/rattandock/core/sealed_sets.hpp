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

/// The records of one incarnation that will never start another task.
struct SealedSet
{
    VmId vm;
    Incarnation incarnation;
    TimePoint coversTokensIssuedAfter;
    std::vector<Incarnation> heldSets;
    std::unordered_map<JobId, HandoverRecord> records;
    TimePoint forgetAt;
    /// Whose batches are counted.
    Incarnation sender;
    std::set<std::uint32_t> batches;
    std::optional<std::uint32_t> lastBatch;
    /// Whole, and received together with all sets that the sender held.
    bool accepted = false;

    bool whole() const { return lastBatch && batches.size() == *lastBatch + 1ULL; }
};

/// Sealed record sets received from stopped peers. Thread safety: none.
class SealedSets
{
public:
    SealedSets(const SafetyRules &rules, Bytes answerStore);

    /// True if the set is accepted now or was before, so that the sender can be told.
    bool take(const HandoverRecords &batch, TimePoint now);

    /// The answer to an id of a sealed incarnation; nothing if no set can tell.
    std::optional<JobOutcome> answer(const HomeToken &token, const JobSpec &job) const;
    /// The recorded answer to a key-form id; nothing if no set has it.
    std::optional<JobOutcome> answerToKey(const JobSpec &job) const;

    /// True if some set has a record of the id.
    bool knows(const JobId &id) const;

    /// True if all records of the incarnation are here, so that its key ranges may be taken.
    bool accepted(Incarnation incarnation) const;

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
