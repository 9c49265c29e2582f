#pragma once

#include <map>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

#include "rattandock/fleet/lease_times.hpp"
#include "rattandock/fleet/run_report.hpp"
#include "rattandock/fleet/task_ref.hpp"
#include "rattandock/fleet/upstream_entry.hpp"

namespace rattandock::fleet {

/// Numbers the looks at one upstream.
using LookNumber = StrongValue<struct LookNumberTag, std::uint64_t>;

/// Ask an upstream for its runs and ends; renews the lease of all its runs if `leaseUntil` is set.
struct LookOrder
{
    UpstreamId upstream;
    LookNumber number;
    FencingToken token;
    EndNumber acknowledged;
    std::optional<UpstreamTime> leaseUntil;
    /// The upstream may wait this long for an end.
    Duration wait{};
};

struct StopOrder
{
    UpstreamId upstream;
    RunName name;
    RunNumber number;
    FencingToken token;
};

/// A run of this VM is over.
struct RunOver
{
    TaskRef task;
    RunEndKind how{};
    /// From the start order to the report of the end.
    Duration elapsed{};
    /// The upstream is known to have begun the run.
    bool confirmed = false;
};

/// A start order that had no effect and never will.
struct RunNeverStarted
{
    TaskRef task;
    OrderResult reason{};
};

/// Another keeper orders this upstream now, or it is another incarnation.
struct UpstreamLost
{
    UpstreamId upstream;
    OrderResult reason{};
};

using LedgerOutput = std::variant<LookOrder, StopOrder, RunOver, RunNeverStarted, UpstreamLost>;
using LedgerOutputs = std::vector<LedgerOutput>;

/// All that the keeper of one upstream knows of it: its runs, the room that they take, its lease
/// and its clock.
///
/// A start without an answer keeps its room until it provably cannot run any more: the fencing
/// token is raised, and a look under the new token does not show the run. If the upstream does not
/// answer at all, its runs are over when the last lease that was sent has run out.
/// Thread safety: none.
class UpstreamLedger
{
public:
    UpstreamLedger(UpstreamEntry entry, std::uint64_t epoch, const LeaseTimes &times);

    const UpstreamEntry &entry() const { return m_entry; }
    void update(UpstreamEntry entry) { m_entry = std::move(entry); }
    std::uint64_t epoch() const { return m_epoch; }

    /// False before the first report, while the upstream is silent, and while runs of unknown size
    /// are there.
    bool takesOrders() const;
    bool isSilent() const { return m_failures > 0; }
    Resources free() const { return m_entry.capacity.minus(m_taken); }
    bool isIdle() const { return m_runs.empty() && m_strangers.empty(); }
    std::size_t runCount() const { return m_runs.size(); }
    /// Runs of the job that take room here.
    std::size_t runsOf(JobNumber job) const;

    /// Reserves room. Precondition: takesOrders(), free() holds the need.
    void startSent(const TaskRef &task, const RunName &name, RunNumber number,
                   const Resources &need, TimePoint now);
    FencingToken token() const;
    /// End of a lease given now, on the upstream's clock. Precondition: a report has come.
    UpstreamTime leaseUntil(TimePoint now) const;

    void startAnswered(const RunName &name, RunNumber number, OrderResult result,
                       std::optional<UpstreamTime> clock, TimePoint now, LedgerOutputs &out);
    void lookAnswered(LookNumber number, const RunReport &report, TimePoint now,
                      LedgerOutputs &out);
    void lookFailed(LookNumber number, OrderResult result, TimePoint now, LedgerOutputs &out);
    void stopAnswered(const RunName &name, RunNumber number, OrderResult result, TimePoint now,
                      LedgerOutputs &out);
    /// Stops a run; no effect if it is over or being stopped.
    void stop(const TaskRef &task, TimePoint now, LedgerOutputs &out);

    /// Sends due looks and ends runs whose lease has run out.
    void step(TimePoint now, LedgerOutputs &out);
    std::optional<TimePoint> nextTimer() const;
    /// Ends all runs as lapsed and the use of this ledger.
    /// Returns when the last of them is over at the upstream for certain.
    TimePoint abandon(TimePoint now, LedgerOutputs &out);

private:
    enum class State : std::uint8_t {
        /// The start order has no answer yet.
        Starting,
        /// The start order will get no answer.
        Unconfirmed,
        Active,
        Stopping,
    };
    struct Key
    {
        RunName name;
        RunNumber number;
        friend bool operator==(const Key &, const Key &) = default;
    };
    struct KeyHash
    {
        std::size_t operator()(const Key &it) const
        {
            return std::hash<RunName>{}(it.name) * 31U + it.number.value();
        }
    };
    struct Run
    {
        TaskRef task;
        Resources need;
        State state{};
        FencingToken token;
        TimePoint sent;
        /// When the upstream was known to have the run.
        std::optional<TimePoint> confirmed;
        TimePoint stopSent;
    };
    struct Look
    {
        LookNumber number;
        FencingToken token;
        TimePoint sent;
    };
    using Runs = std::unordered_map<Key, Run, KeyHash>;

    Runs::iterator remove(Runs::iterator it);
    void end(Runs::iterator it, RunEndKind how, TimePoint now, LedgerOutputs &out);
    void endAll(RunEndKind how, TimePoint now, LedgerOutputs &out);
    /// Another process answers under the upstream's id.
    void beginLife(const RunReport &report, TimePoint now, LedgerOutputs &out);
    void learnClock(UpstreamTime clock, TimePoint now);
    void sendLook(TimePoint now, LedgerOutputs &out);
    void sendStop(const Key &key, Run &run, TimePoint now, LedgerOutputs &out);
    void reconcile(const Look &look, const RunReport &report, TimePoint now, LedgerOutputs &out);
    void stopStrangers(const RunReport &report, LedgerOutputs &out);
    /// When runs that nobody renews are over at the upstream.
    TimePoint lapse() const;
    TimePoint nextLook() const;

    UpstreamEntry m_entry;
    std::uint64_t m_epoch;
    LeaseTimes m_times;
    std::uint32_t m_raises = 0;
    Runs m_runs;
    /// Runs that a previous keeper left; stopped, of unknown size.
    std::vector<ActiveRun> m_strangers;
    Resources m_taken;
    EndNumber m_acknowledged;
    EndNumber m_acknowledgedThere;
    UpstreamLifeStart m_life;
    /// The upstream's clock at a moment, not ahead of the truth.
    std::optional<std::pair<UpstreamTime, TimePoint>> m_clock;
    TimePoint m_leaseSent = TimePoint::min();
    std::optional<Look> m_look;
    std::uint64_t m_nextLookNumber = 1;
    TimePoint m_lastLook = TimePoint::min();
    TimePoint m_retryAt = TimePoint::min();
    unsigned m_failures = 0;
};

} // namespace rattandock::fleet
