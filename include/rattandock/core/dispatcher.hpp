#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "rattandock/core/action.hpp"
#include "rattandock/core/dispatcher_options.hpp"
#include "rattandock/core/event.hpp"
#include "rattandock/core/forward_table.hpp"
#include "rattandock/core/handover_sender.hpp"
#include "rattandock/core/home_token.hpp"
#include "rattandock/core/job_table.hpp"
#include "rattandock/core/key_ranges.hpp"
#include "rattandock/core/peer_table.hpp"
#include "rattandock/core/safety_rules.hpp"
#include "rattandock/core/scheduler.hpp"
#include "rattandock/core/sealed_sets.hpp"

namespace rattandock::core {

/// Counts that a status page shows.
struct DispatcherStatus
{
    std::size_t records = 0;
    std::size_t queuedTasks = 0;
    std::size_t runningTasks = 0;
    bool draining = false;
    ConfigurationVersion configuration;
    /// Stopped VMs for which this VM answers.
    std::size_t sealedSets = 0;
    std::size_t heldKeyRanges = 0;
    /// Ranges whose holder this VM has read.
    std::size_t knownKeyRanges = 0;
};

/// What `GET /v1/jobs/ID` tells of a job.
struct JobView
{
    JobId id;
    std::size_t taskCount = 0;
    std::size_t startedCount = 0;
    std::size_t doneCount = 0;
    std::optional<JobOutcome> outcome;
};

/// The decision core of one daemon: a deterministic state machine without I/O, clock or threads.
///
/// The driver calls handle() for each event in order from one thread, calls
/// handle(TimerFired{}) when nextTimer() is due, and carries out the appended actions in order.
/// Times must not go back. Thread safety: none.
class Dispatcher
{
public:
    /// Only tests pass rules.
    Dispatcher(DispatcherOptions options, std::uint64_t seed, const SafetyRules &rules = {});

    /// Appends the actions that follow from the event.
    void handle(const Event &event, TimePoint now, Actions &actions);

    /// When handle(TimerFired{}) is due; nothing if no timer is set.
    std::optional<TimePoint> nextTimer() const;

    /// A token for job ids whose home is this incarnation. Precondition: issuesTokens().
    HomeToken issueToken(TimePoint now) const { return m_tokens.issue(now); }
    /// False while draining or while the record table is full.
    bool issuesTokens() const { return !m_draining && !m_jobs.full(); }

    DispatcherStatus status() const;
    std::optional<JobView> view(const JobId &id) const;

private:
    struct Pointer
    {
        VmId successor;
        TimePoint forgetAt;
    };
    struct Attempt
    {
        TaskRef task;
        UpstreamId upstream;
        bool wanted = true;
    };

    void on(const JobSubmitted &event, TimePoint now, Actions &actions);
    void on(const JobCancelled &event, TimePoint now, Actions &actions);
    void on(const CallerLeft &event, TimePoint now, Actions &actions);
    void on(const AttemptEnded &event, TimePoint now, Actions &actions);
    void on(const UpstreamSeen &event, TimePoint now, Actions &actions);
    void on(const ConfigurationAccepted &event, TimePoint now, Actions &actions);
    void on(const PeerMessageReceived &event, TimePoint now, Actions &actions);
    void on(const PeerLinkChanged &event, TimePoint now, Actions &actions);
    void on(const TableRowsRead &event, TimePoint now, Actions &actions);
    void on(const TableTransacted &event, TimePoint now, Actions &actions);
    void on(const TableFailed &event, TimePoint now, Actions &actions);
    void on(const DrainRequested &event, TimePoint now, Actions &actions);
    void on(const TimerFired &event, TimePoint now, Actions &actions);

    /// Starts, joins, forwards or refuses a submission. One from a peer is never forwarded again.
    void submit(const Requester &from, const JobSpec &job, TimePoint now, Actions &actions);
    void submitHere(const Requester &from, const JobSpec &job, const std::optional<HomeJobId> &home,
                    TimePoint now, Actions &actions);
    /// Sees from the time since the last event that the process was paused.
    void noticePause(TimePoint now);
    /// The linked VM that holds the range, or that took over its planned stop.
    std::optional<KeyHolder> reachableHolder(std::uint32_t range) const;
    /// Routes a key-form id by the standing of its range. False if this VM may accept it.
    bool answeredByRange(const Requester &from, const JobSpec &job, TimePoint now,
                         Actions &actions);
    /// The answer to an id without a record, if its token alone decides it.
    std::optional<JobOutcome> outcomeByToken(const HomeToken &token, TimePoint now) const;
    /// Refuses an id that no submission of has arrived yet, so that a delayed one does not run.
    void cancelUnseen(const JobId &job, TimePoint now, Actions &actions);
    bool mayAcceptKey(const JobId &job, TimePoint now) const;
    void forward(const Requester &from, const JobSpec &job, const VmId &peer, Incarnation expected,
                 TimePoint now, Actions &actions);
    static void answer(const Requester &to, const JobId &job, JobOutcome outcome, Actions &actions);
    void refuse(const Requester &from, const JobSpec &job, NotRun refusal, TimePoint forgetAt,
                TimePoint now, Actions &actions);
    void onPeer(const VmId &from, const Heartbeat &message, TimePoint now, Actions &actions);
    void onPeer(const VmId &from, const ForwardJob &message, TimePoint now, Actions &actions);
    void onPeer(const VmId &from, const HandoverRecords &message, TimePoint now, Actions &actions);
    void onPeer(const VmId &from, const HandoverPointer &message, TimePoint now, Actions &actions);
    void onPeer(const VmId &from, const ForwardedAnswer &message, TimePoint now, Actions &actions);
    void completeAttempt(const Attempt &attempt, const AttemptResult &result, TimePoint now,
                         Actions &actions);
    /// Ends a job that cannot complete: not run if no task started, else failed.
    void giveUp(JobHandle job, RefusalReason ifUnstarted, FailureReason ifStarted,
                std::optional<Duration> retryAfter, Actions &actions);
    /// Ends the jobs with a queued task that no upstream can run any more.
    void giveUpStranded(Actions &actions);
    void endJob(JobHandle job, JobOutcome outcome, Actions &actions);
    void expire(TimePoint now, Actions &actions);
    void startDueTasks(TimePoint now, Actions &actions);
    void continueStop(TimePoint now, Actions &actions);
    /// From here on no task starts, and the records do not change.
    void seal(TimePoint now);
    /// Running jobs of a planned stop are given up at this time.
    TimePoint finishJobsBy() const;
    /// How long any record of this VM may be asked for.
    Duration recordLife() const;
    void forgetHandovers(TimePoint now);

    DispatcherOptions m_options;
    SafetyRules m_rules;
    TokenAuthority m_tokens;
    JobTable m_jobs;
    PeerTable m_peers;
    ForwardTable m_forwards;
    SealedSets m_sealedSets;
    HandoverSender m_sender;
    std::unordered_map<Incarnation, Pointer> m_pointers;
    KeyRanges m_keyRanges;
    Scheduler m_scheduler;
    std::unordered_map<AttemptId, Attempt> m_attempts;
    std::unordered_map<CallerRequestId, JobHandle> m_requests;
    std::set<std::pair<TimePoint, JobHandle>> m_deadlines;
    std::uint64_t m_nextAttempt = 1;
    ConfigurationVersion m_configuration;
    /// Upstreams that said they are leaving before the lagging list did; until the list follows,
    /// its word that they are live is old.
    std::set<UpstreamId> m_leavingUnlisted;
    /// Tokens issued before this time start no new job.
    TimePoint m_revokedBefore = TimePoint::min();
    std::optional<TimePoint> m_lastHandled;
    /// Key-form submissions until then may have waited too long for this VM.
    TimePoint m_keysLateUntil = TimePoint::min();
    bool m_draining = false;
    bool m_sealed = false;
    bool m_stopped = false;
    TimePoint m_stopBy;
};

} // namespace rattandock::core
