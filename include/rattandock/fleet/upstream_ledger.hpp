#pragma once

#include <map>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

#include "rattandock/fleet/lease_times.hpp"
#include "rattandock/fleet/run_report.hpp"
#include "rattandock/fleet/stop_queue.hpp"
#include "rattandock/fleet/task_ref.hpp"
#include "rattandock/fleet/upstream_entry.hpp"

namespace rattandock::fleet {

/// Sequence number of a poll of one upstream. Replies to other polls than the open one are ignored.
using PollNumber = StrongValue<struct PollNumberTag, std::uint64_t>;

/// Requests the active and ended runs of an upstream. If `leaseUntil` is set, the request also
/// renews the lease of all runs there.
struct PollOrder
{
    UpstreamId upstream;
    PollNumber number;
    FencingToken token;
    /// The upstream may drop the ended runs up to this position.
    EndNumber acknowledged;
    std::optional<UpstreamTime> leaseUntil;
    /// Long polling: the upstream may delay its reply by up to this time until a run ends.
    Duration wait{};
};

/// Requests an upstream to stop a run.
struct StopOrder
{
    UpstreamId upstream;
    RunName name;
    RunNumber number;
    FencingToken token;
};

/// Reports that a run which this VM started has ended, or that its lease has expired.
struct RunEnded
{
    TaskRef task;
    RunEndKind kind{};
    /// Time from sending the start order to processing the end.
    Duration elapsed{};
    /// Whether the upstream confirmed that the run had started.
    bool confirmed = false;
    /// True if the run was among the last that were started on an upstream whose process was
    /// replaced, or which refused connections until the lease expired.
    bool isCrashSuspect = false;
};

/// Reports that the process on which a confirmed run lapsed earlier had ended: the upstream has
/// reported a new process. It follows the RunEnded of the run.
struct LapsedRunCrashed
{
    TaskRef task;
    /// True if the run was among the last that were started on the former process.
    bool isCrashSuspect = false;
};

/// Reports that a start order has not started a run and can no longer do so.
struct RunNeverStarted
{
    TaskRef task;
    OrderResult reason{};
};

/// Reports that this VM must stop using the upstream: another keeper sends it orders, or another
/// incarnation answers at its address.
struct UpstreamLost
{
    UpstreamId upstream;
    OrderResult reason{};
};

using LedgerOutput = std::variant<PollOrder, StopOrder, RunEnded, LapsedRunCrashed, RunNeverStarted,
                                  UpstreamLost>;
using LedgerOutputs = std::vector<LedgerOutput>;

/// Tracks the state of one upstream for its keeper: the runs, the room that they reserve, the lease
/// of the runs and the upstream's clock.
///
/// A start order without a reply keeps its room reserved until the order can no longer take effect.
/// To ensure that, the ledger raises the fencing token and polls with the new token; the order is
/// fenced off if the report of that poll does not contain the run. If the upstream does not reply
/// at all, its runs are considered ended when the last lease that was sent has expired. A reset or
/// refused connection ends no run, as a filter between the hosts causes it as well as the end of
/// the process. Only the report of a new process shows that the former one has crashed.
/// Thread safety: none.
class UpstreamLedger
{
public:
    UpstreamLedger(UpstreamEntry entry, std::uint64_t epoch, const LeaseTimes &times);

    const UpstreamEntry &entry() const { return m_entry; }
    void update(UpstreamEntry entry) { m_entry = std::move(entry); }
    std::uint64_t epoch() const { return m_epoch; }
    /// Returns zero before the first report, or if the upstream does not report it.
    UpstreamProcessStart processStart() const { return m_processStart; }

    /// Returns false before the first report, while polls fail, and while the upstream still has
    /// runs of a previous keeper, whose size is unknown.
    bool takesOrders() const;
    /// Returns false while many start orders are unconfirmed or stop orders are under way, as each
    /// holds a connection and tasks that need no resources would otherwise be started without a
    /// limit, and while the lease must end soon because of a run whose stop orders fail.
    bool mayStart(TimePoint now) const;
    /// Returns true if the last poll failed.
    bool isSilent() const { return m_failures > 0; }
    Resources freeRoom() const { return m_entry.capacity.minus(m_reservedRoom); }
    bool isIdle() const { return m_runs.empty() && m_unknownRuns.empty(); }
    std::size_t runCount() const { return m_runs.size(); }
    /// Returns the number of runs on this upstream of the step that `task` belongs to, whoever
    /// started them: for any offer or attempt of the job, or the previous keeper.
    std::size_t runCountOfStep(const RunName &task) const;

    /// Records that a start order was sent, and reserves its room.
    /// Precondition: takesOrders() is true and `need` fits into freeRoom().
    void startSent(const TaskRef &task, const RunName &name, RunNumber number,
                   const Resources &need, TimePoint now);
    /// Returns the token for orders sent now.
    FencingToken token() const;
    /// Returns the end, on the upstream's clock, of a lease that is granted at `now`.
    /// Precondition: a report was received.
    UpstreamTime leaseUntil(TimePoint now) const;

    void startAnswered(const RunName &name, RunNumber number, OrderResult result,
                       std::optional<UpstreamTime> clock, TimePoint now, LedgerOutputs &out);
    void pollAnswered(PollNumber number, const RunReport &report, TimePoint now,
                      LedgerOutputs &out);
    void pollFailed(PollNumber number, OrderResult result, TimePoint now, LedgerOutputs &out);
    void stopAnswered(const RunName &name, RunNumber number, OrderResult result, TimePoint now,
                      LedgerOutputs &out);
    /// Stops the run: sends the order as soon as a connection is free for it, and again until a
    /// report shows the end. If none does so before, the lease of all runs of the upstream ends in
    /// time for the run to be over by `limit`. No effect if the run has ended.
    void stop(const TaskRef &task, TimePoint limit, TimePoint now, LedgerOutputs &out);

    /// Sends a poll if one is due, and ends all runs if their lease has expired.
    void step(TimePoint now, LedgerOutputs &out);
    std::optional<TimePoint> nextTimer() const;
    /// Ends all runs as lapsed. The ledger must not be used afterwards.
    /// Returns the time from which no run of this ledger can be active on the upstream.
    TimePoint abandon(TimePoint now, LedgerOutputs &out);

private:
    enum class State : std::uint8_t {
        /// The start order was sent and its reply is pending.
        Starting,
        /// The start order failed without a reply; the run may or may not have started.
        Unconfirmed,
        Active,
        Stopping,
    };
    struct Run
    {
        TaskRef task;
        Resources need;
        State state{};
        FencingToken token;
        TimePoint sent;
        /// When the upstream first confirmed the run; `std::nullopt` before.
        std::optional<TimePoint> confirmed;
        /// Set once the upstream has reported a new process.
        bool hasCrashed = false;
        bool isCrashSuspect = false;
    };
    /// A confirmed run whose lease expired without a report of its end.
    struct LapsedRun
    {
        TaskRef task;
        TimePoint sent;
    };
    struct Poll
    {
        PollNumber number;
        FencingToken token;
        TimePoint sent;
    };
    using Runs = std::unordered_map<ActiveRun, Run, ActiveRunHash>;

    Runs::iterator remove(Runs::iterator it);
    void end(Runs::iterator it, RunEndKind kind, TimePoint now, LedgerOutputs &out);
    void endAll(RunEndKind kind, TimePoint now, LedgerOutputs &out);
    /// Ends all runs whose lease has expired, and records the confirmed ones for the case that the
    /// next report shows a crash.
    void endExpired(TimePoint now, LedgerOutputs &out);
    /// Returns the send time from which runs were among the last that were started.
    TimePoint crashSuspectsSince() const;
    void markCrashSuspects();
    /// Marks all runs as crashed and reports the crash of those that have lapsed.
    void markCrashed(LedgerOutputs &out);
    /// Handles a report of another process than the previous reports under the same upstream id.
    void handleProcessRestart(UpstreamProcessStart processStart, TimePoint now, LedgerOutputs &out);
    /// Records a reading of the upstream's clock, and the end of the lease that a new process may
    /// have granted by the clock of the former one.
    void updateClock(UpstreamTime clock, TimePoint now);
    /// Returns the local end of a lease that is granted at `now`: after the lease time, but early
    /// enough that each stopped run is over by its limit. Not after `now` if that cannot be.
    TimePoint grantedLeaseEnd(TimePoint now) const;
    /// Records that an order with a lease is sent.
    void leaseSent(TimePoint now);
    void confirm(Run &run, TimePoint now);
    void sendPoll(TimePoint now, LedgerOutputs &out);
    /// Sends the stop orders that are due and for which a connection is free.
    void sendDueStops(TimePoint now, LedgerOutputs &out);
    /// Returns how many stop orders may be under way.
    std::size_t maxOpenStops() const;
    void reconcile(const Poll &poll, const RunReport &report, TimePoint now, LedgerOutputs &out);
    /// Ends the runs that the report lists nowhere although it would if they could be active.
    /// Precondition: the report lists all ends.
    void endMissingRuns(const Poll &poll, const RunReport &report, TimePoint now,
                        LedgerOutputs &out);
    /// Replaces the list of runs that this ledger did not start, and stops them.
    void setUnknownRuns(std::vector<ActiveRun> runs, TimePoint now);
    /// Returns when the confirmed runs end on the upstream if their lease is not renewed. Includes
    /// the allowed clock drift and a margin.
    TimePoint leaseExpiry() const;
    /// The same for runs that are not confirmed. An order without a reply may have reached a new
    /// process, whose clock is behind that of the lease, so that it granted the longest lease.
    TimePoint unconfirmedLeaseExpiry() const;
    bool hasUnconfirmedRuns() const { return m_confirmedRuns < m_runs.size(); }
    /// Returns when the next runs end if their lease is not renewed; `std::nullopt` without runs.
    std::optional<TimePoint> nextExpiry() const;
    TimePoint nextPoll() const;

    UpstreamEntry m_entry;
    std::uint64_t m_epoch;
    LeaseTimes m_times;
    std::uint32_t m_tokenIncrements = 0;
    Runs m_runs;
    /// Number of runs that the upstream has confirmed.
    std::size_t m_confirmedRuns = 0;
    /// Active runs that this ledger did not start, such as those of a previous keeper. They are
    /// being stopped; the room that they take is unknown.
    std::vector<ActiveRun> m_unknownRuns;
    /// Own and unknown runs that have to end.
    StopQueue m_stops;
    /// Runs that lapsed since the last report.
    std::vector<LapsedRun> m_lapsedRuns;
    Resources m_reservedRoom;
    /// Highest position of an ended run that was received.
    EndNumber m_acknowledged;
    /// Highest acknowledged position that a poll with a reply has sent to the upstream.
    EndNumber m_acknowledgedByUpstream;
    UpstreamProcessStart m_processStart;
    /// Last reading of the upstream's clock and the local time of its arrival. The reading is
    /// behind the upstream's clock by the network delay, never ahead of it.
    std::optional<std::pair<UpstreamTime, TimePoint>> m_clock;
    /// Local end of the longest lease that the process of the last clock reading, or one before it,
    /// has granted. Upstreams never shorten a lease.
    TimePoint m_leaseEnd = TimePoint::min();
    /// Latest end of a lease that was requested, on the upstream's clock, but no later than the
    /// upstream can have granted by its last reading.
    UpstreamTime m_leaseUntil;
    /// When the last order with a lease was sent.
    TimePoint m_leaseSent = TimePoint::min();
    std::optional<Poll> m_openPoll;
    std::uint64_t m_nextPollNumber = 1;
    TimePoint m_lastPoll = TimePoint::min();
    TimePoint m_retryAt = TimePoint::min();
    /// Failed polls since the last report.
    unsigned m_failures = 0;
};

} // namespace rattandock::fleet
