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

/// Counts shown on the status page.
struct DispatcherStatus
{
    std::size_t records = 0;
    std::size_t queuedTasks = 0;
    std::size_t runningTasks = 0;
    bool draining = false;
    ConfigurationVersion configuration;
    /// Number of stopped VMs whose records this VM holds and whose submissions it answers.
    std::size_t sealedSets = 0;
    std::size_t heldKeyRanges = 0;
    /// Number of key ranges whose lease row this VM has read from the platform table.
    std::size_t knownKeyRanges = 0;
};

/// State of a job as returned by `GET /v1/jobs/ID`.
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
/// Times passed to handle() must not decrease. Thread safety: none.
class Dispatcher
{
public:
    /// Production code uses the default safety rules; only tests pass others.
    Dispatcher(DispatcherOptions options, std::uint64_t seed, const SafetyRules &rules = {});

    /// Processes the event and appends the resulting actions to `actions`.
    void handle(const Event &event, TimePoint now, Actions &actions);

    /// Returns when handle(TimerFired{}) is due, or `std::nullopt` if no timer is set.
    std::optional<TimePoint> nextTimer() const;

    /// Returns a token for job ids whose home is this incarnation. Precondition: issuesTokens().
    HomeToken issueToken(TimePoint now) const { return m_tokens.issue(now); }
    /// Returns false while the daemon is draining or the record table is full.
    bool issuesTokens() const { return !m_draining && !m_jobs.full(); }

    DispatcherStatus status() const;
    std::optional<JobView> view(const JobId &id) const;

private:
    struct SuccessorPointer
    {
        VmId successor;
        TimePoint forgetAt;
    };
    struct Attempt
    {
        TaskRef task;
        UpstreamId upstream;
        bool resultNeeded = true;
    };

    void handleEvent(const JobSubmitted &event, TimePoint now, Actions &actions);
    void handleEvent(const JobCancelled &event, TimePoint now, Actions &actions);
    void handleEvent(const CallerDisconnected &event, TimePoint now, Actions &actions);
    void handleEvent(const AttemptEnded &event, TimePoint now, Actions &actions);
    void handleEvent(const UpstreamStateReported &event, TimePoint now, Actions &actions);
    void handleEvent(const ConfigurationAccepted &event, TimePoint now, Actions &actions);
    void handleEvent(const PeerMessageReceived &event, TimePoint now, Actions &actions);
    void handleEvent(const PeerLinkChanged &event, TimePoint now, Actions &actions);
    void handleEvent(const TableRowsRead &event, TimePoint now, Actions &actions);
    void handleEvent(const TableTransacted &event, TimePoint now, Actions &actions);
    void handleEvent(const TableOperationFailed &event, TimePoint now, Actions &actions);
    void handleEvent(const DrainRequested &event, TimePoint now, Actions &actions);
    void handleEvent(const TimerFired &event, TimePoint now, Actions &actions);

    /// Accepts, joins, forwards or refuses a submission. A submission received from a peer is never
    /// forwarded again.
    void submit(const Requester &from, const JobSpec &job, TimePoint now, Actions &actions);
    void submitHere(const Requester &from, const JobSpec &job, const std::optional<HomeJobId> &home,
                    TimePoint now, Actions &actions);
    /// Detects a pause of the process from the time since the last event.
    void detectPause(TimePoint now);
    /// Returns the linked VM that holds the range, the successor of a holder that stopped as
    /// planned, or `std::nullopt` if neither is linked.
    std::optional<KeyHolder> reachableHolder(std::uint32_t range) const;
    /// Answers or forwards a submission with a key-form id and returns true, or returns false if
    /// this VM may accept the submission.
    bool answerUnlessRangeHeld(const Requester &from, const JobSpec &job, TimePoint now,
                               Actions &actions);
    /// Returns the outcome for an id without a record if the token is forged, expired or revoked,
    /// otherwise `std::nullopt`.
    std::optional<JobOutcome> outcomeFromToken(const HomeToken &token, TimePoint now) const;
    /// Records a cancellation for an id that has not been submitted yet, so that a delayed
    /// submission is refused.
    void cancelUnsubmitted(const JobId &job, TimePoint now, Actions &actions);
    bool canAcceptKey(const JobId &job, TimePoint now) const;
    void forward(const Requester &from, const JobSpec &job, const VmId &peer, Incarnation expected,
                 TimePoint now, Actions &actions);
    static void answer(const Requester &to, const JobId &job, JobOutcome outcome, Actions &actions);
    void refuse(const Requester &from, const JobSpec &job, NotRun refusal, TimePoint forgetAt,
                TimePoint now, Actions &actions);
    void handlePeerMessage(const VmId &from, const Heartbeat &message, TimePoint now,
                           Actions &actions);
    void handlePeerMessage(const VmId &from, const ForwardJob &message, TimePoint now,
                           Actions &actions);
    void handlePeerMessage(const VmId &from, const HandoverRecords &message, TimePoint now,
                           Actions &actions);
    void handlePeerMessage(const VmId &from, const HandoverPointer &message, TimePoint now,
                           Actions &actions);
    void handlePeerMessage(const VmId &from, const ForwardedAnswer &message, TimePoint now,
                           Actions &actions);
    void completeAttempt(const Attempt &attempt, const AttemptResult &result, TimePoint now,
                         Actions &actions);
    /// Ends a job that cannot complete: as `NotRun` if no task started, otherwise as `Failed`.
    void endIncompleteJob(JobHandle job, RefusalReason refusalIfUnstarted,
                          FailureReason failureIfStarted, std::optional<Duration> retryAfter,
                          Actions &actions);
    /// Ends every job with a queued task that no remaining upstream can run.
    void endUnrunnableJobs(Actions &actions);
    void endJob(JobHandle job, JobOutcome outcome, Actions &actions);
    void expire(TimePoint now, Actions &actions);
    void startDueTasks(TimePoint now, Actions &actions);
    void continueStop(TimePoint now, Actions &actions);
    /// Freezes the records for the handover. Afterwards no task starts and no record changes.
    void seal(TimePoint now);
    /// During a planned stop, jobs that still run at this time are ended.
    TimePoint runningJobsDeadline() const;
    /// Returns the longest time for which callers may still resubmit an id recorded on this VM.
    Duration recordRetention() const;
    void expireHandovers(TimePoint now);

    DispatcherOptions m_options;
    SafetyRules m_rules;
    TokenAuthority m_tokens;
    JobTable m_jobs;
    PeerTable m_peers;
    ForwardTable m_forwards;
    SealedSets m_sealedSets;
    HandoverSender m_sender;
    std::unordered_map<Incarnation, SuccessorPointer> m_pointers;
    KeyRanges m_keyRanges;
    Scheduler m_scheduler;
    std::unordered_map<AttemptId, Attempt> m_attempts;
    std::unordered_map<CallerRequestId, JobHandle> m_requests;
    std::set<std::pair<TimePoint, JobHandle>> m_deadlines;
    std::uint64_t m_nextAttempt = 1;
    ConfigurationVersion m_configuration;
    /// Upstreams whose replies announced that they are leaving before the platform's list, which
    /// lags, showed it. Until the list shows it too, entries that report them as live are stale.
    std::set<UpstreamId> m_leavingBeforeListed;
    /// Tokens issued at or before this time are revoked: they start no new job.
    TimePoint m_revokedBefore = TimePoint::min();
    std::optional<TimePoint> m_lastHandled;
    /// Key-form submissions are not accepted before this time: after a pause of the process they
    /// may have been queued for too long.
    TimePoint m_rejectKeysUntil = TimePoint::min();
    bool m_draining = false;
    bool m_sealed = false;
    bool m_stopped = false;
    TimePoint m_stopDeadline;
};

} // namespace rattandock::core
