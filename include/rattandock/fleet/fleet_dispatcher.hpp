#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "rattandock/fleet/admission.hpp"
#include "rattandock/fleet/ending_runs.hpp"
#include "rattandock/fleet/fleet_action.hpp"
#include "rattandock/fleet/fleet_event.hpp"
#include "rattandock/fleet/fleet_options.hpp"
#include "rattandock/fleet/member_reads.hpp"
#include "rattandock/fleet/run_times.hpp"
#include "rattandock/fleet/sharing.hpp"
#include "rattandock/fleet/upstream_quarantine.hpp"

namespace rattandock::fleet {

/// Counters for the status page and the metrics.
struct FleetStatus
{
    std::size_t keptUpstreams = 0;
    std::size_t knownUpstreams = 0;
    std::size_t jobs = 0;
    std::size_t waitingTasks = 0;
    std::size_t runs = 0;
    std::size_t linkedVms = 0;
    bool stopping = false;
    /// Ids of ended jobs of which a run may still execute.
    std::size_t endingJobs = 0;
};

/// Schedules jobs on one VM of a fleet whose upstreams are divided among the VMs through rows in
/// the platform's store. It decides which upstreams this VM keeps (is the only one to start tasks
/// on), which jobs it admits, and on which upstream or at which other VM each task runs.
///
/// This is a deterministic state machine without I/O, clock or threads. The driver calls handle()
/// for each event in order from one thread, calls handle(TimerDue{}) when nextTimer() is due, and
/// executes the appended actions in order. `now` must not decrease between calls.
/// Thread safety: none.
class FleetDispatcher
{
public:
    explicit FleetDispatcher(FleetOptions options);

    /// Processes one event and appends the resulting actions to `actions`.
    void handle(const FleetEvent &event, TimePoint now, FleetActions &actions);
    /// Returns when handle(TimerDue{}) is due, or `std::nullopt` before the first event.
    std::optional<TimePoint> nextTimer() const;

    FleetStatus status() const;
    /// Returns this VM's free capacity and queued work, which the heartbeats to other VMs carry.
    CapacityReport roomReport(TimePoint now) const;
    /// Returns true if a kept upstream accepts starts or another VM has reported usable capacity.
    bool canAcceptJobs() const;
    /// Returns false if the list of upstreams is so old that tasks could be started on an upstream
    /// whose drain limit has passed.
    bool isUpstreamListUsable(TimePoint now) const;
    /// Returns this VM's rank among the VMs of its zone that may read the list of upstreams on
    /// behalf of the others. Rank 0 reads first.
    std::size_t listReaderRank() const { return m_members.rankInZone(m_options.vm); }
    MemberLinks memberLinks() const;
    /// Returns the other zones in which this VM keeps upstreams or may have to claim some because
    /// no VM there serves them.
    std::set<ZoneId> foreignZonesToKeep(TimePoint now) const;
    /// Returns the VMs of this VM's own zone to which a peer link is up.
    std::vector<VmId> linkedVmsInOwnZone() const;
    /// Returns true if the link to `vm` is up and was set up after the last pause of this process.
    /// Older links can still deliver messages that were sent before the pause.
    bool isLinkFresh(const VmId &vm) const;
    /// Returns true once a planned stop was requested and no job, kept upstream or pending write of
    /// keeper rows is left.
    bool isStopped() const;
    /// Returns the entry of a kept upstream, or null if this VM does not keep it. The pointer is
    /// valid until the next call of handle().
    const UpstreamEntry *findKeptUpstream(const UpstreamId &id) const;

private:
    enum class TaskState : std::uint8_t { Waiting, Running, Offered, Done };
    struct Task
    {
        TaskState state = TaskState::Waiting;
        /// Where the latest run was started.
        UpstreamId upstream;
        /// Number of the next run of this task.
        std::uint32_t nextRun = 1;
        /// Runs that ended in failure.
        std::uint32_t failures = 0;
        /// Expected run time of the latest run.
        Duration expected{};
        TimePoint startedAt;
        bool isOverdue = false;
        /// Earliest time of the next start. A former run may still execute until then, or the
        /// last start was refused.
        TimePoint notBefore;
    };
    /// Offer of another VM that a job was created for.
    struct OfferOrigin
    {
        VmId vm;
        std::uint64_t number = 0;
    };
    using Origin = std::variant<CallerRequestId, OfferOrigin>;
    struct Job
    {
        FleetJob spec;
        Origin origin;
        /// Index in `spec` of each element of `tasks`. A job from another VM's offer may contain
        /// only some of the tasks.
        std::vector<std::uint32_t> indices;
        std::vector<Task> tasks;
        /// Tasks in state Waiting.
        std::size_t waiting = 0;
        /// Tasks in state Done.
        std::size_t done = 0;
        /// A later answer counts as late.
        TimePoint objective;
        /// Latest time to answer; the answer margin is already subtracted.
        TimePoint deadline;
        /// The job is turned away if no task has started by then.
        TimePoint firstStartLimit;
        /// Number of runs that were stopped as overdue.
        unsigned overdueStops = 0;
        /// True if a task was started here or may have been started by another VM.
        bool hasStarted = false;
        /// Offers of this job's tasks to other VMs that have not ended.
        std::size_t openOffers = 0;

        /// Returns true if no task can have started, here or at another VM.
        bool isUnstarted() const { return !hasStarted && openOffers == 0; }
    };
    /// Tasks of a job that were offered to another VM.
    struct Offer
    {
        VmId vm;
        JobNumber job;
        /// Indices in Job::tasks.
        std::vector<std::uint32_t> tasks;
    };
    /// An upstream on which this VM starts tasks.
    struct KeptUpstream
    {
        UpstreamLedger ledger;
        /// Set while the assignment requires its release; no task is started there.
        bool isReleasing = false;
        /// When a run last succeeded on this upstream.
        TimePoint lastSuccess;
    };
    /// An entry of the platform's list of upstreams.
    struct ListedUpstream
    {
        UpstreamEntry entry;
        /// When the entry was first missing from the list; unset while it is present.
        std::optional<TimePoint> unlistedSince;
    };
    /// A suspicion that another VM reported.
    struct ReportedSuspicion
    {
        UpstreamProcessStart processStart;
        UpstreamTrust trust;
        TimePoint lastFailure;
    };
    using Jobs = std::map<JobNumber, Job>;

    void handleEvent(const JobSubmitted &event, TimePoint now, FleetActions &actions);
    void handleEvent(const CallerDisconnected &event, TimePoint now, FleetActions &actions);
    void handleEvent(const UpstreamListRead &event, TimePoint now, FleetActions &actions);
    void handleEvent(const UpstreamListReadFailed &event, TimePoint now, FleetActions &actions);
    void handleEvent(const MembersRead &event, TimePoint now, FleetActions &actions);
    void handleEvent(const KeepersRead &event, TimePoint now, FleetActions &actions);
    void handleEvent(const KeeperWriteCompleted &event, TimePoint now, FleetActions &actions);
    void handleEvent(const StartOrderCompleted &event, TimePoint now, FleetActions &actions);
    void handleEvent(const StopOrderCompleted &event, TimePoint now, FleetActions &actions);
    void handleEvent(const RunReportReceived &event, TimePoint now, FleetActions &actions);
    void handleEvent(const RunReportFailed &event, TimePoint now, FleetActions &actions);
    void handleEvent(const PeerLinkChanged &event, TimePoint now, FleetActions &actions);
    void handleEvent(const PeerInputClosed &event, TimePoint now, FleetActions &actions);
    void handleEvent(const PeerCapacityReported &event, TimePoint now, FleetActions &actions);
    void handleEvent(const OfferReceived &event, TimePoint now, FleetActions &actions);
    void handleEvent(const OfferEnded &event, TimePoint now, FleetActions &actions);
    void handleEvent(const OfferWithdrawn &event, TimePoint now, FleetActions &actions);
    void handleEvent(const SuspicionReceived &event, TimePoint now, FleetActions &actions);
    void handleEvent(const UpstreamProbed &event, TimePoint now, FleetActions &actions);
    void handleEvent(const StopRequested &event, TimePoint now, FleetActions &actions);
    void handleEvent(const ProcessPaused &event, TimePoint now, FleetActions &actions);
    void handleEvent(const TimerDue &event, TimePoint now, FleetActions &actions);

    // Upstreams (fleet_dispatcher_upstreams.cpp, fleet_dispatcher_assignment.cpp).
    void updateListedUpstream(const UpstreamEntry &entry);
    /// Removes an upstream from the list of upstreams; it stays kept if it was.
    void removeListedUpstream(const UpstreamId &id);
    /// Returns true if all keeper rows of the zone were read at least once.
    bool hasReadKeepersOf(const ZoneId &zone) const;
    /// Stores a keeper row unless it is outdated, and starts or stops keeping its upstream.
    void applyKeeperRow(const KeeperRow &row, TimePoint now, FleetActions &actions);
    /// Claims and releases upstreams as assignUpstreams() requires.
    void updateAssignment(TimePoint now, FleetActions &actions);
    /// Writes the claim or release of upstreams to the store, one conditional write per zone.
    void writeKeepers(const std::vector<UpstreamId> &upstreams, bool claim, TimePoint now,
                      FleetActions &actions);
    /// Returns true if the row names this process.
    bool isOwnRow(const KeeperRow &row) const
    {
        return row.vm == m_options.vm && row.incarnation == m_options.incarnation;
    }
    /// Stops keeping an upstream and requeues the tasks that ran there.
    void dropUpstream(const UpstreamId &id, std::string_view reason, TimePoint now,
                      FleetActions &actions);
    /// Returns the upstreams of the own zone and of zones that were reached recently. Requests a
    /// probe for each other zone.
    std::vector<UpstreamId> filterReachable(const std::vector<UpstreamId> &upstreams, TimePoint now,
                                            FleetActions &actions);
    /// Returns true once the VMs that had rows before the start have renewed them, or the settle
    /// time has passed.
    bool isMembershipSettled(TimePoint now) const;
    /// Drops upstreams that drained and stopped, or were missing from the list for too long.
    void expireUnlisted(TimePoint now, FleetActions &actions);
    /// Steps each ledger whose timer is due.
    void stepLedgers(TimePoint now, FleetActions &actions);
    void applyLedgerOutputs(const UpstreamId &upstream, LedgerOutputs &outputs, TimePoint now,
                            FleetActions &actions);
    /// Returns true if new tasks may be started on the upstream.
    bool mayPlaceOn(const KeptUpstream &kept, TimePoint now) const;
    bool hasLabel(const UpstreamEntry &entry, const FleetJob &job) const;
    /// Returns the kind of an upstream, by which run times are averaged: its first label.
    static std::string upstreamKind(const UpstreamEntry &entry);

    // Trust in upstreams (fleet_dispatcher_trust.cpp).
    /// Records what a run shows about the upstream, and reports a change to the VMs of its zone.
    void recordRunResult(const UpstreamId &upstream, const TaskRef &run, bool hasSucceeded,
                         std::string_view reason, TimePoint now, FleetActions &actions);
    /// Sends what is known of a kept upstream to the linked VMs of its zone.
    void sendSuspicion(const UpstreamId &upstream, TimePoint now, FleetActions &actions);
    /// Starts from what the previous keeper knew, once the upstream has reported its process.
    void adoptSuspicion(const UpstreamId &upstream, TimePoint now, FleetActions &actions);
    /// Drops expired suspicions and updates which zones have mostly quarantined upstreams.
    void updateSuspicions(TimePoint now, FleetActions &actions);

    // Runs (fleet_dispatcher_runs.cpp).
    /// Completes, fails or requeues the task whose run has ended.
    void handleRunEnd(const UpstreamId &upstream, const RunEnded &over, TimePoint now,
                      FleetActions &actions);
    /// Requeues a task whose start the upstream refused, or ends the job if it was rejected.
    void handleRunNotStarted(const UpstreamId &upstream, const RunNeverStarted &run, TimePoint now,
                             FleetActions &actions);
    void completeTask(JobNumber number, Job &job, Task &task, FleetActions &actions);
    void requeueTask(Job &job, Task &task, TimePoint notBefore);
    /// Counts overdue runs against their upstream and restarts those that can still end in time.
    void handleOverdueRuns(TimePoint now, FleetActions &actions);
    /// Starts or offers the waiting tasks of all jobs in scheduling order.
    void dispatch(TimePoint now, FleetActions &actions);
    /// Starts the waiting tasks of one job that fit on kept upstreams and offers the rest.
    void dispatchJob(JobNumber number, Job &job, TimePoint now, FleetActions &actions);
    /// Starts one task on a kept upstream. Returns false if no upstream is suitable.
    bool startOnKeptUpstream(JobNumber number, Job &job, std::size_t index, TimePoint now,
                             FleetActions &actions);
    /// Returns the largest run time, in percent of the estimate, with which an upstream can still
    /// end a task of the job within the time left.
    std::uint32_t maxUsefulRunTimePercent(const FleetJob &job, Duration left) const;
    /// Offers waiting tasks to other VMs that have reported free room.
    void offerWaitingTasks(JobNumber number, Job &job, TimePoint now, FleetActions &actions);
    /// Returns the latest time at which the job's tasks can start and still be expected to end in
    /// time.
    TimePoint latestStartOf(const Job &job) const;
    /// Returns the jobs with waiting tasks in scheduling order, at most one round's worth.
    std::vector<JobNumber> waitingJobsInOrder(TimePoint now) const;
    /// Returns the expected run time of one task on an average upstream.
    Duration expectedRun(const FleetJob &job) const;
    /// Returns the expected run time of one task on the fastest kind of upstream.
    Duration fastestRun(const FleetJob &job) const;

    // Jobs (fleet_dispatcher_jobs.cpp).
    JobNumber addJob(FleetJob spec, Origin origin, std::vector<std::uint32_t> indices,
                     std::uint32_t firstRun, TimePoint now);
    /// Returns the refusal of an arriving job, or `std::nullopt` if it is admitted.
    std::optional<JobTurnedAway> checkAdmission(const FleetJob &job, TimePoint now) const;
    void turnAway(CallerRequestId request, const FleetJob &job, const JobTurnedAway &end,
                  FleetActions &actions);
    /// Returns where the unfinished tasks of a job are, as text for the log line of its end.
    std::string describeUnfinishedTasks(JobNumber number, const Job &job, TimePoint now) const;
    /// Stops the remaining tasks, answers the caller or the offering VM and removes the job.
    void endJob(JobNumber number, const JobEnd &end, TimePoint now, FleetActions &actions);
    /// Ends an unfinished job: as turned away if none of its tasks can have started, else as
    /// broken off.
    void abortJob(JobNumber number, TurnAwayReason ifUnstarted, BreakOffReason ifStarted,
                  TimePoint now, FleetActions &actions);
    /// Stops the running tasks of a job and withdraws its offers.
    void stopTasks(JobNumber number, Job &job, TimePoint now, FleetActions &actions);
    /// Ends the jobs that were offered to another VM or by it.
    void endSharedJobs(const VmId &vm, TimePoint now, FleetActions &actions);
    /// Aborts jobs that cannot meet their deadline, that waited too long for their first start, or
    /// that are left at the stop limit.
    void expireJobs(TimePoint now, FleetActions &actions);
    /// Ends the unfinished jobs with the same id when the caller submits it again, here or at the
    /// VM that offers its tasks. Jobs that this VM offered before stay: they are parts of one job.
    void replaceJob(const JobId &id, const std::optional<VmId> &offeredBy, TimePoint now,
                    FleetActions &actions);
    /// Returns the time from the loss of another VM until none of the tasks that were offered to it
    /// can execute.
    Duration runsEndAfterLoss() const
    {
        return m_options.lease.runsEndAfter(m_options.peerSilence);
    }
    /// Returns the work of all waiting tasks that have to start before `before`.
    CoreWork queuedWork(TimePoint before) const;
    /// Returns how many tasks of the job fit into free room now, here and at other VMs.
    std::size_t placesFor(const FleetJob &job, TimePoint now) const;
    /// Returns the thousandths of a core on which tasks can run, here and at other VMs.
    std::uint64_t usableCpu(TimePoint now) const;

    FleetOptions m_options;
    std::map<UpstreamId, ListedUpstream> m_listedUpstreams;
    std::map<ZoneId, std::set<UpstreamId>> m_listedByZone;
    /// Upstreams of m_listedUpstreams whose row is missing from the store.
    std::set<UpstreamId> m_unlistedUpstreams;
    std::map<UpstreamId, KeeperRow> m_keepers;
    std::map<UpstreamId, KeptUpstream> m_keptUpstreams;
    /// Epochs of upstreams that this VM ceased to keep and whose rows have not changed since. Such
    /// a row may still name this VM, if its release was not written.
    std::map<UpstreamId, std::uint64_t> m_abandonedEpochs;
    /// Zones with a write of keeper rows in flight; at most one per zone.
    std::set<ZoneId> m_zonesBeingWritten;
    /// When an upstream of another zone was last reached.
    std::map<ZoneId, TimePoint> m_zoneReachedAt;
    /// Zones with a reachability probe in flight.
    std::set<ZoneId> m_zonesBeingProbed;
    Membership m_members;
    std::set<VmId> m_linkedVms;
    /// Links that were up before the last pause of this process. Their messages may be outdated.
    std::set<VmId> m_staleLinks;
    /// When the last pause of this process was detected.
    std::optional<TimePoint> m_pausedAt;
    PeerRoom m_sharedRoom;
    RunTimes m_runTimes;
    UpstreamQuarantine m_upstreamWatch;
    /// What the keepers of other upstreams reported of them.
    std::map<UpstreamId, ReportedSuspicion> m_suspicions;
    /// Zones in which most of the kept upstreams are quarantined.
    std::set<ZoneId> m_zonesMostlyQuarantined;
    Jobs m_jobs;
    std::unordered_map<JobId, JobNumber> m_jobsById;
    std::unordered_map<CallerRequestId, JobNumber> m_jobsByRequest;
    std::map<std::pair<VmId, std::uint64_t>, JobNumber> m_jobsByOffer;
    EndingRuns m_endingRuns;
    std::map<std::uint64_t, Offer> m_offers;
    std::uint64_t m_nextJob = 1;
    std::uint64_t m_nextOffer = 1;
    std::optional<TimePoint> m_startedAt;
    /// When a requested stop aborts the remaining jobs; unset if no stop was requested.
    std::optional<TimePoint> m_stopAt;
    TimePoint m_nextAssignment;
    TimePoint m_nextHousekeeping = TimePoint::min();
    /// Set only while dropUpstream() ends the runs of an upstream: the time by which all of them
    /// have stopped there, at the latest.
    std::optional<TimePoint> m_abandonedRunsEndAt;
    /// True if an input of updateAssignment() has changed since its last run, or if that run left a
    /// claim or release to complete.
    bool m_isAssignmentDue = true;
    /// True once the members of the own zone were read.
    bool m_hasMembers = false;
    /// True once all keeper rows of all zones were read together.
    bool m_hasAllKeepers = false;
    /// Zones of which all keeper rows were read at least once.
    std::set<ZoneId> m_zonesWithKeepersRead;
    /// True once the whole list of upstreams was read.
    bool m_hasUpstreams = false;
    /// The list of upstreams is at least as recent as this time.
    TimePoint m_listAsOf = TimePoint::min();
    /// True if the last attempt to read the list of upstreams failed.
    bool m_hasListReadFailed = false;
};

} // namespace rattandock::fleet
