#pragma once

#include <map>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "rattandock/base/time.hpp"
#include "rattandock/fleet/run_report.hpp"

namespace rattandock::fleet {

/// Runs of one upstream that have to end, and the stop orders for them.
///
/// Load pattern: hundreds of runs of one upstream lose their callers at once, and each order takes
/// one of the upstream's few connections until it is answered. Orders wait here for a connection,
/// the run that was added first comes first, and an order that was refused or stays without an
/// answer is repeated, so that the run ends before its job can come back.
/// Thread safety: none.
class StopQueue
{
public:
    /// `repeatInterval` is the time after which a run that has not ended is stopped again, although
    /// the upstream has accepted the order.
    explicit StopQueue(Duration repeatInterval)
        : m_repeatInterval(repeatInterval)
    {
    }

    /// Adds a run that must have ended by `limit`. If it was added before, the earlier limit holds.
    void add(const ActiveRun &run, TimePoint limit, TimePoint now);
    /// Removes a run that has ended. An order for it that is under way still counts as open.
    void remove(const ActiveRun &run);
    /// Returns the runs to send stop orders for, so that at most `maxOpen` orders are under way.
    /// Each of them needs a call of answered().
    std::vector<ActiveRun> takeDue(TimePoint now, std::size_t maxOpen);
    /// Records the result of an order. `isAccepted`: the upstream has accepted it. No effect if
    /// takeDue() has not returned the run: this VM has sent the order when it kept the upstream
    /// before.
    void answered(const ActiveRun &run, bool isAccepted, TimePoint now);
    /// Returns when the next order is due; `std::nullopt` if none is.
    std::optional<TimePoint> nextDue() const;
    /// Returns the earliest limit of a run; the latest time possible without any.
    TimePoint earliestLimit() const;
    /// Returns the number of orders without an answer.
    std::size_t openCount() const { return m_open.size(); }

private:
    struct Stop
    {
        /// When the run must have ended.
        TimePoint limit;
        /// When the next order is due.
        TimePoint due;
        /// Orders in a row that the upstream has not accepted.
        unsigned failures = 0;
        /// The upstream has accepted the latest order.
        bool isAccepted = false;
    };

    void setDue(const ActiveRun &run, Stop &stop, TimePoint due);

    Duration m_repeatInterval;
    std::unordered_map<ActiveRun, Stop, ActiveRunHash> m_stops;
    /// The same runs by the time at which they are due, in the order of their addition. Entries of
    /// runs that have ended or are due at another time are skipped.
    std::multimap<TimePoint, ActiveRun> m_due;
    /// Runs with failures.
    std::size_t m_failing = 0;
    /// Runs with an order under way, once for each order.
    std::unordered_multiset<ActiveRun, ActiveRunHash> m_open;
};

} // namespace rattandock::fleet
