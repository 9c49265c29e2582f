#pragma once

#include <optional>
#include <vector>

#include "rattandock/core/action.hpp"
#include "rattandock/core/peer_table.hpp"

namespace rattandock::core {

/// Sends sealed sets to one successor, batch by batch, and waits until it confirms each set.
/// Starts again with the first set when the successor changes: a set is accepted only with all
/// sets before it. Thread safety: none.
class HandoverSender
{
public:
    HandoverSender(ZoneId zone, Duration confirmTimeout);

    /// Each set is a list of batches; the sender's own set comes last.
    void begin(std::vector<std::vector<HandoverRecords>> sets);

    bool begun() const { return m_begun; }
    bool done() const { return m_begun && m_set == m_sets.size(); }
    /// True if the set that is being sent is confirmed by this.
    bool confirm(const VmId &successor, Incarnation sealed, TimePoint now);
    /// Sends the batches that are due now.
    void step(const PeerTable &peers, TimePoint now, Actions &actions);
    std::optional<TimePoint> nextTimer() const;

private:
    bool chooseSuccessor(const PeerTable &peers, TimePoint now);

    ZoneId m_zone;
    Duration m_confirmTimeout;
    std::vector<std::vector<HandoverRecords>> m_sets;
    bool m_begun = false;
    std::optional<VmId> m_successor;
    std::size_t m_choices = 0;
    std::size_t m_set = 0;
    std::size_t m_batch = 0;
    TimePoint m_sendAt;
    TimePoint m_confirmBy;
};

/// Splits records into batches of at most maxRecords records and about 1 MiB of bodies; at least
/// one.
std::vector<HandoverRecords> splitIntoBatches(const HandoverRecords &header,
                                              std::vector<HandoverRecord> records,
                                              std::size_t maxRecords);

} // namespace rattandock::core
