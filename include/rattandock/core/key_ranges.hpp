#pragma once

#include <map>
#include <optional>
#include <vector>

#include "rattandock/core/action.hpp"
#include "rattandock/core/dispatcher_options.hpp"
#include "rattandock/core/event.hpp"
#include "rattandock/core/key_rows.hpp"
#include "rattandock/core/safety_rules.hpp"
#include "rattandock/core/sealed_sets.hpp"

namespace rattandock::core {

enum class KeyStanding : std::uint8_t {
    /// This VM may accept new keys of the range.
    Held,
    /// This VM holds the range, but a lost holder may have started its keys.
    Quarantined,
    /// This VM held the range at its last look, but its lease has lapsed.
    Lapsed,
    Elsewhere,
};

/// Which key ranges this VM holds, until when, and which are in quarantine.
///
/// Each cycle reads all rows and then writes one transaction: the lease, and the ranges that may
/// be taken. What this VM holds follows only from rows that were read or surely written, so a lost
/// reply is repaired by the next read. Thread safety: none.
class KeyRanges
{
public:
    KeyRanges(const DispatcherOptions &options, const SafetyRules &rules);

    std::uint32_t rangeOf(const JobId &id) const;
    KeyStanding standing(std::uint32_t range, TimePoint now) const;
    /// The holder at the last look; nothing if there is none.
    std::optional<KeyHolder> holder(std::uint32_t range) const;
    std::size_t heldCount() const;
    /// Ranges whose holder this VM has read.
    std::size_t knownCount() const;

    /// Starts the read or ends the wait that is due. Precondition: key ranges are on.
    void step(TimePoint now, Actions &actions);
    void on(const TableRowsRead &event, const SealedSets &sealed, std::size_t peerCount,
            TimePoint now, Actions &actions);
    void on(const TableTransacted &event, TimePoint now, Actions &actions);
    void on(const TableOperationFailed &event, TimePoint now);
    /// The next cycle starts now: sealed ranges are waiting.
    void hurry(TimePoint now);
    /// No more reads or writes: the ranges go to a successor.
    void stop() { m_stopped = true; }

    std::optional<TimePoint> nextTimer() const;

private:
    struct Range
    {
        /// From the last read; version 0 if there is no row.
        std::optional<RangeRow> row;
        std::uint64_t version = 0;
        bool held = false;
        TimePoint quarantineUntil;
    };
    struct Lease
    {
        std::string value;
        std::uint64_t version = 0;
        TimePoint unchangedSince;
        bool present = false;
    };
    struct Operation
    {
        TableOperationId id;
        TimePoint giveUpAt;
        std::vector<TableWrite> writes;
    };

    TableOperationId nextOperation();
    void readRows(const std::vector<TableRow> &rows, TimePoint now);
    /// Holds or gives up a range as its row says.
    void apply(Range &range, TimePoint now);
    void renew(const SealedSets &sealed, std::size_t peerCount, TimePoint now, Actions &actions);
    void confirmLease(const std::string &value);
    bool lost(const KeyHolder &holder, TimePoint now) const;

    DispatcherOptions m_options;
    SafetyRules m_rules;
    KeyHolder m_self;
    std::vector<Range> m_ranges;
    std::map<KeyHolder, Lease> m_leases;
    std::optional<TimePoint> m_lastRead;
    /// When each lease value was sent, until it is too old to matter.
    std::map<std::string, TimePoint> m_sentLeases;
    std::optional<TimePoint> m_leaseUntil;
    std::optional<Operation> m_pending;
    TimePoint m_nextCycle;
    std::uint64_t m_counter = 0;
    bool m_hurried = false;
    bool m_stopped = false;
};

} // namespace rattandock::core
