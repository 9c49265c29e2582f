#pragma once

#include <optional>
#include <vector>

#include "rattandock/core/action.hpp"
#include "rattandock/core/peer_table.hpp"

namespace rattandock::core {

/// Sends sealed record sets to one successor in batches and waits for the confirmation of each set
/// before it sends the next. Restarts with the first set when the successor changes, because a
/// successor accepts a set only after all sets before it. Thread safety: none.
class HandoverSender
{
public:
    HandoverSender(ZoneId zone, Duration confirmTimeout);

    /// Starts the handover. Each set is a list of batches. The sender's own set comes last.
    void begin(std::vector<std::vector<HandoverRecords>> sets);

    bool begun() const { return m_begun; }
    bool done() const { return m_begun && m_currentSet == m_sets.size(); }
    /// Handles a confirmation from a successor. Returns true if it confirms the current set.
    bool confirm(const VmId &successor, Incarnation sealed, TimePoint now);
    /// Sends the batches that are due at `now`.
    void step(const PeerTable &peers, TimePoint now, Actions &actions);
    std::optional<TimePoint> nextTimer() const;

private:
    bool chooseSuccessor(const PeerTable &peers, TimePoint now);

    ZoneId m_zone;
    Duration m_confirmTimeout;
    std::vector<std::vector<HandoverRecords>> m_sets;
    bool m_begun = false;
    std::optional<VmId> m_successor;
    std::size_t m_successorChoices = 0;
    std::size_t m_currentSet = 0;
    std::size_t m_nextBatch = 0;
    TimePoint m_nextSendTime;
    TimePoint m_confirmDeadline;
};

/// Splits records into batches of at most maxRecords records and about 1 MiB of bodies. Returns at
/// least one batch.
std::vector<HandoverRecords> splitIntoBatches(const HandoverRecords &header,
                                              std::vector<HandoverRecord> records,
                                              std::size_t maxRecords);

} // namespace rattandock::core
