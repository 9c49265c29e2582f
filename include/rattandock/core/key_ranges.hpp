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

/// Whether this VM may accept new keys of a range.
enum class KeyRangeState : std::uint8_t {
    /// This VM holds the range under a valid lease and may accept new keys of it.
    Held,
    /// This VM holds the range, but took it from a lost holder that may have started tasks for its
    /// keys. New keys are refused until the quarantine ends.
    Quarantined,
    /// This VM held the range at its last read of the table, but its lease has expired.
    LeaseExpired,
    /// Another VM holds the range, or no VM does.
    NotHeld,
};

/// Tracks which key ranges this VM holds, when its lease expires and which ranges are in
/// quarantine.
///
/// Each cycle reads all rows and then commits one transaction that renews the lease and takes the
/// ranges that are free or whose holder is lost. The held ranges are derived only from rows that
/// were read or whose transaction was confirmed, so the next read corrects the state after a lost
/// reply. Thread safety: none.
class KeyRanges
{
public:
    KeyRanges(const DispatcherOptions &options, const SafetyRules &rules);

    /// The range that the hash of the id selects.
    std::uint32_t rangeOf(const JobId &id) const;
    KeyRangeState rangeState(std::uint32_t range, TimePoint now) const;
    /// Returns the holder at the last read, or `std::nullopt` if the range has none.
    std::optional<KeyHolder> holder(std::uint32_t range) const;
    std::size_t heldCount() const;
    /// Number of ranges that have a holder in the rows read or written last.
    std::size_t knownCount() const;

    /// Starts a cycle that is due, or cancels a table operation that has timed out.
    /// Precondition: key ranges are enabled in the settings.
    void step(TimePoint now, Actions &actions);
    /// Replies to table operations. Replies to any but the pending operation are ignored.
    void on(const TableRowsRead &event, const SealedSets &sealed, std::size_t peerCount,
            TimePoint now, Actions &actions);
    void on(const TableTransacted &event, TimePoint now, Actions &actions);
    void on(const TableOperationFailed &event, TimePoint now);
    /// Makes the next cycle due now, because ranges of an accepted sealed set can be taken.
    void startCycleNow(TimePoint now);
    /// Starts no more reads or writes, so that a successor can take the ranges.
    void stop() { m_stopped = true; }

    std::optional<TimePoint> nextTimer() const;

private:
    struct Range
    {
        /// As last read or written; version 0 means that the last read returned no row.
        std::optional<RangeRow> row;
        std::uint64_t version = 0;
        bool held = false;
        TimePoint quarantineUntil;
    };
    struct Lease
    {
        std::string value;
        std::uint64_t version = 0;
        /// Local time of the first read that returned this value and version.
        TimePoint unchangedSince;
        bool present = false;
    };
    struct Operation
    {
        TableOperationId id;
        TimePoint timeoutAt;
        std::vector<TableWrite> writes;
    };

    TableOperationId nextOperation();
    void readRows(const std::vector<TableRow> &rows, TimePoint now);
    /// Marks a range as held or not held according to its row, and starts its quarantine.
    void updateHeld(Range &range, TimePoint now);
    /// Starts the transaction that renews the lease and takes ranges.
    void startTransaction(const SealedSets &sealed, std::size_t peerCount, TimePoint now,
                          Actions &actions);
    /// Extends the lease from the time at which the given value was sent.
    void confirmLease(const std::string &value);
    /// True if another holder's lease row has not changed for longer than its lease lasts.
    bool isLeaseExpired(const KeyHolder &holder, TimePoint now) const;

    DispatcherOptions m_options;
    SafetyRules m_rules;
    KeyHolder m_self;
    std::vector<Range> m_ranges;
    std::map<KeyHolder, Lease> m_leases;
    std::optional<TimePoint> m_lastRead;
    /// Send times of lease values whose lease has not expired yet.
    std::map<std::string, TimePoint> m_sentLeases;
    std::optional<TimePoint> m_leaseUntil;
    std::optional<Operation> m_pending;
    TimePoint m_nextCycle;
    std::uint64_t m_counter = 0;
    bool m_cycleRequested = false;
    bool m_stopped = false;
};

} // namespace rattandock::core
