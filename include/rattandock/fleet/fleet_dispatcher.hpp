#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "rattandock/fleet/admission.hpp"
#include "rattandock/fleet/ending_runs.hpp"
#include "rattandock/fleet/estimate_correction.hpp"
#include "rattandock/fleet/fleet_action.hpp"
#include "rattandock/fleet/fleet_event.hpp"
#include "rattandock/fleet/fleet_options.hpp"
#include "rattandock/fleet/job_order.hpp"
#include "rattandock/fleet/member_reads.hpp"
#include "rattandock/fleet/placement.hpp"
#include "rattandock/fleet/queue_profiles.hpp"
#include "rattandock/fleet/run_times.hpp"
#include "rattandock/fleet/sharing.hpp"
#include "rattandock/fleet/upstream_quarantine.hpp"
#include "rattandock/fleet/warm_up.hpp"
#include "rattandock/fleet/zone_evacuation.hpp"

namespace rattandock::fleet {

/// A zone that the operator evacuates.
struct EvacuationStatus
{
    ZoneId zone;
    /// When this VM learned of the request.
    TimePoint since;
};

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
    std::vector<EvacuationStatus> evacuations{};
    /// The evacuations include every request made before this time; absent if unknown.
    std::optional<TimePoint> evacuationsAsOf = std::nullopt;
    /// Kept upstreams of zones that returned from an evacuation, with limited work.
    std::size_t limitedUpstreams = 0;
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
    /// Returns false if the set of evacuated zones is so old that a task could be started in a zone
    /// after the limit of its evacuation.
    bool areEvacuationsUsable(TimePoint now) const;
    /// Returns how long the next read of the requests for evacuations may wait for changes.
    Duration evacuationReadWait(TimePoint now) const
    {
        return m_evacuations.readWait(now, m_options.evacuationLimit);
    }
    /// Returns this VM's rank among the VMs of its zone that may read the list of upstreams on
    /// behalf of the others. Rank 0 reads first.
    std::size_t listReaderRank() const { return m_members.rankInZone(m_options.vm); }
    MemberLinks memberLinks() const;
    /// Returns the other zones in which this VM keeps upstreams or may have to claim some because
    /// no VM there serves them.
    std::set<ZoneId> foreignZonesToKeep(TimePoint now) const;
    /// Returns the VMs of this VM's own zone to which a peer link is up.
    std::vector<VmId> linkedVmsInOwnZone() const;
    /// Returns the linked VMs of other zones that support the messages of `revision`.
    std::vector<VmId> linkedVmsInOtherZones(std::uint64_t revision) const;
    /// Returns true if the last read row of `vm` is in this VM's own zone.
    bool isInOwnZone(const VmId &vm) const;
    /// Returns true if the link to `vm` is up and was set up after the last pause of this process.
    /// Older links can still deliver messages that were sent before the pause.
    bool isLinkFresh(const VmId &vm) const;
    /// Returns true once a planned stop was requested and no job, kept upstream or pending write of
    /// keeper rows is left.
    bool isStopped() const;
    /// Returns true if a caller of this VM waits for the job.
    bool hasJob(const JobId &id) const { return m_jobsById.contains(id); }
    /// Returns the entry of a kept upstream, or null if this VM does not keep it. The pointer is
    /// valid until the next call of handle().
    const UpstreamEntry *findKeptUpstream(const UpstreamId &id) const;

private:
    /// Returned: given back to the VM that offered it.
    enum class TaskState : std::uint8_t { Waiting, Running, Offered, Done, Returned };
    struct Task
    {
        TaskState state = TaskState::Waiting;
        /// Where the latest run was started.
        UpstreamId upstream;
        /// Number of the next run of this task.
        std::uint32_t nextRun = 1;
        /// Run numbers that were used for starts that were certainly not executed, or passed over.
        std::uint32_t unusedRuns = 0;
        /// Runs that ended in failure.
        std::uint32_t failures = 0;
        /// Runs under which the upstream crashed.
        std::uint32_t crashes = 0;
        /// Those of them that were among the last started there.
        std::uint32_t suspectedCrashes = 0;
        /// True if a run was among the last started on an upstream that may have crashed.
        bool isCrashSuspect = false;
        /// Expected run time of the latest run.
        Duration expected{};
        TimePoint startedAt;
        /// Run time, once a run has succeeded here whose time shows the speed of its upstream.
        std::optional<Duration> elapsed;
        bool isOverdue = false;
        /// True once another VM has returned the task unstarted.
        bool wasReturned = false;
        /// True if the upstream was cold or limited when the latest run was started.
        bool isColdRun = false;
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
    /// Tasks that another VM did not finish, for the log line of the job's end.
    struct UnfinishedOffer
    {
        VmId vm;
        std::size_t tasks = 0;
        std::string_view outcome;
    };
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
        /// Tasks in state Done or Returned.
        std::size_t done = 0;
        /// A later answer counts as late.
        TimePoint objective;
        TimePoint arrivedAt;
        /// When this VM last started a task; the epoch before the first start.
        TimePoint lastStartAt;
        /// Latest time to answer; the answer margin is already subtracted.
        TimePoint deadline;
        /// The job is turned away if no task has started by then.
        TimePoint firstStartLimit;
        /// Number of runs that were stopped as overdue.
        unsigned overdueStops = 0;
        /// True if a task was started here or may have been started by another VM.
        bool hasStarted = false;
        /// True if another VM may have started a task.
        bool hasStartedElsewhere = false;
        /// Number of the first run of each task.
        std::uint32_t firstRun = 1;
        /// Offers of this job's tasks to other VMs that have not ended.
        std::size_t openOffers = 0;
        /// True once its open offers were withdrawn because its time is nearly over. No further
        /// task is started or offered, and the answers decide whether it may have run.
        bool isWithdrawn = false;
        std::vector<UnfinishedOffer> unfinishedOffers;

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
        /// Number of the first run of each task at the other VM.
        std::uint32_t firstRun = 1;
    };
    /// An upstream on which this VM starts tasks.
    struct KeptUpstream
    {
        UpstreamLedger ledger;
        /// Set while the assignment requires its release; no task is started there.
        bool isReleasing = false;
        /// When a run last succeeded on this upstream.
        TimePoint lastSuccess;
        /// When a run last ended there, the VM began to keep it, or its process was replaced.
        TimePoint idleSince;
        /// Run of a task that is suspected of crashing upstreams. No other task is started beside
        /// it.
        std::optional<TaskRef> isolatedRun;
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
    void handleEvent(const JobCancelled &event, TimePoint now, FleetActions &actions);
    void handleEvent(const UpstreamListRead &event, TimePoint now, FleetActions &actions);
    void handleEvent(const UpstreamListReadFailed &event, TimePoint now, FleetActions &actions);
    void handleEvent(const EvacuationsRead &event, TimePoint now, FleetActions &actions);
    void handleEvent(const EvacuationsReadFailed &event, TimePoint now, FleetActions &actions);
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
    void handleEvent(const EvacuationStateReceived &event, TimePoint now, FleetActions &actions);
    void handleEvent(const OfferedTasksReturned &event, TimePoint now, FleetActions &actions);
    void handleEvent(const SuspicionReceived &event, TimePoint now, FleetActions &actions);
    void handleEvent(const ColdUpstreamsReceived &event, TimePoint now, FleetActions &actions);
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

    // Evacuations (fleet_dispatcher_evacuations.cpp).
    /// Logs a change of the set of evacuated zones, sends the set to the linked VMs and turns away
    /// the waiting jobs that can no longer be served. `source`: how this VM learned of it.
    void applyEvacuationChange(const ZoneEvacuations::Change &change, std::string_view source,
                               TimePoint now, FleetActions &actions);
    /// Sends the set of evacuated zones to a linked VM that decodes it and has not got it yet.
    void sendEvacuations(const VmId &vm, TimePoint now, FleetActions &actions);
    /// Determines the services whose upstreams are all in evacuated zones.
    void updateUnservedServices();
    /// Turns away the jobs of these services of which no task can have started.
    void refuseUnservedJobs(TimePoint now, FleetActions &actions);
    /// Returns true if this VM keeps upstreams and all of them are in evacuated zones.
    bool areKeptUpstreamsEvacuated() const;

    // Trust in upstreams (fleet_dispatcher_trust.cpp).
    /// Records what a run shows about the upstream, and reports a change to the VMs of its zone.
    void recordRunResult(const UpstreamId &upstream, const TaskRef &run, bool hasSucceeded,
                         std::string_view reason, TimePoint now, FleetActions &actions);
    /// Sends what is known of a kept upstream to the linked VMs of its zone.
    void sendSuspicion(const UpstreamId &upstream, TimePoint now, FleetActions &actions);
    /// Starts from the previous keeper's record, once the upstream has reported its process.
    void adoptSuspicion(const UpstreamId &upstream, TimePoint now, FleetActions &actions);
    /// Drops expired suspicions and updates which zones have mostly quarantined upstreams.
    void updateSuspicions(TimePoint now, FleetActions &actions);

    // Cold upstreams and the return of a zone (fleet_dispatcher_warm_up.cpp).
    /// Takes from entries which upstreams are cold, and sends changes to the VMs of the own zone.
    void recordColdUpstreams(const std::vector<UpstreamListRead::Cold> &cold, TimePoint now,
                             FleetActions &actions);
    /// Records until when an upstream is cold. Returns true if that is a change.
    bool recordColdUpstream(const UpstreamId &upstream, TimePoint until, std::string_view source,
                            TimePoint now, FleetActions &actions);
    /// Limits the work of the kept upstreams that stood idle in a zone which was evacuated since
    /// `since` and returns.
    void limitReturningUpstreams(const ZoneId &zone, TimePoint since, TimePoint now,
                                 FleetActions &actions);
    /// Raises the limit of an upstream after a successful run in time.
    void raiseLimit(const UpstreamId &upstream, const Task &task, Duration elapsed, TimePoint now,
                    FleetActions &actions);
    /// Returns the free room of an upstream that may be used now.
    Resources usableRoom(const KeptUpstream &kept) const;
    /// Returns the expected ratio of run time to estimate on the upstream in its present state.
    double runFactor(const UpstreamEntry &entry) const;
    /// Returns the expected run time of the job's tasks on the upstream when it is warm.
    Duration warmRunTime(const UpstreamEntry &entry, const FleetJob &job) const;

    // Runs (fleet_dispatcher_runs.cpp).
    /// Completes, fails or requeues the task whose run has ended.
    void handleRunEnd(const UpstreamId &upstream, const RunEnded &over, TimePoint now,
                      FleetActions &actions);
    /// Requeues a task whose start the upstream refused, or ends the job if it was rejected.
    void handleRunNotStarted(const UpstreamId &upstream, const RunNeverStarted &run, TimePoint now,
                             FleetActions &actions);
    /// Resets Job::hasStarted if all starts were refused, so that the job can be refused
    /// truthfully.
    static void forgetRefusedStart(Job &job, Task &task, OrderResult reason);
    /// Records that the upstream of the task's run has crashed. Returns true if the task must not
    /// be started again.
    static bool recordCrash(Task &task, bool isSuspect);
    /// Counts the crash against the task, which may have been started again since its run lapsed.
    void handleLapsedRunCrash(const LapsedRunCrashed &crash, TimePoint now, FleetActions &actions);
    /// Restricts the candidates for a task that is suspected of crashing upstreams to those on
    /// which a crash would end the fewest other runs.
    static void isolate(std::vector<PlacementCandidate> &candidates,
                        const std::vector<KeptUpstream *> &kept);
    void completeTask(JobNumber number, Job &job, Task &task, FleetActions &actions);
    void requeueTask(Job &job, Task &task, TimePoint notBefore);
    /// Counts overdue runs against their upstream and restarts those that can still end in time.
    void handleOverdueRuns(TimePoint now, FleetActions &actions);
    /// Starts the waiting tasks of one job that fit on kept upstreams if `canStartHere` is set, and
    /// offers the rest. `ownWait`: expected time until this VM has worked off the jobs that go
    /// before this one.
    void dispatchJob(JobNumber number, Job &job, bool canStartHere, Duration ownWait, TimePoint now,
                     FleetActions &actions);
    /// Returns the kept upstreams on which a task of the job fits now.
    std::vector<PlacementCandidate> placementCandidates(const Job &job, TimePoint now,
                                                        std::vector<KeptUpstream *> &kept);
    /// Starts one task on a kept upstream, or offers it if `mayOfferTasks` is set and another VM
    /// has a faster one. Returns false if no upstream is suitable.
    bool startOrOfferTask(JobNumber number, Job &job, std::size_t index, bool mayOfferTasks,
                          TimePoint now, FleetActions &actions);
    /// Returns true if the job's tasks have a better chance to end before the deadline on fast
    /// upstreams than on average ones.
    bool needsFastUpstream(const FleetJob &job, Duration untilDeadline) const;
    /// Returns the highest factor of the upstreams that are kept free for jobs which need fast
    /// ones, or `std::nullopt` if this job may use all upstreams.
    std::optional<double> reservedFactor(const Job &job, TimePoint now) const;
    /// Predicts the job's run time and adjusts its objective to the prediction.
    void predictRunTime(FleetJob &job) const;
    /// Returns the limits for placing a task of the job.
    PlacementLimits placementLimits(const FleetJob &job, Duration untilObjective,
                                    Duration untilDeadline, Duration waitForFaster) const;
    PlacementLimits placementLimitsOf(const Job &job, TimePoint now) const;
    /// Adds the run time of a successful run to the statistics: of warm upstreams, or of those that
    /// may be slow.
    void addRunTime(const UpstreamEntry &upstream, const FleetJob &job, Task &task,
                    Duration elapsed);
    /// Adds the runs of a completed job to the statistics of the speeds of upstreams.
    void addSpeeds(const Job &job);
    /// Returns the largest run time, in percent of the predicted one, with which an upstream is
    /// useful for a task with these limits.
    static std::uint32_t maxUsefulRunTimePercent(const FleetJob &job,
                                                 const PlacementLimits &limits);
    /// Returns the expected run time of one task on an average upstream.
    Duration expectedRun(const FleetJob &job) const;
    /// Returns the least factor of this VM's run times on upstreams outside evacuated zones.
    double ownFastestFactor() const;
    /// Returns the expected run time of one task on the fastest kind of upstream.
    Duration fastestRun(const FleetJob &job) const;

    // Offers (fleet_dispatcher_offers.cpp).
    /// Offers waiting tasks to other VMs that have reported free room, else to VMs with a shorter
    /// queue.
    void offerWaitingTasks(JobNumber number, Job &job, Duration ownWait, TimePoint now,
                           FleetActions &actions);
    /// Returns the limits for placing a task of the job at another VM.
    PlacementLimits offerLimitsOf(const Job &job, TimePoint now) const;
    /// Offers waiting tasks to a VM with faster free upstreams than the candidates, if that gives
    /// them a clearly better chance to end before the deadline.
    void offerToFasterUpstream(JobNumber number, Job &job,
                               const std::vector<PlacementCandidate> &candidates, TimePoint now,
                               FleetActions &actions);
    /// Returns the indices of up to `count` waiting tasks that may be offered. `skipReturned`: none
    /// that another VM has returned.
    static std::vector<std::uint32_t> offerableTasks(const Job &job, std::size_t count,
                                                     bool skipReturned, TimePoint now);
    /// Sends one offer of the tasks at `indices`. `reason` goes to the log. `startWithin` is set if
    /// they may wait in the receiver's queue.
    void sendOffer(JobNumber number, Job &job, const VmId &vm, std::vector<std::uint32_t> indices,
                   std::optional<Duration> startWithin, std::string_view reason, TimePoint now,
                   FleetActions &actions);
    /// Returns the time until which tasks can be offered or started elsewhere, so that a job none
    /// of whose tasks was started can still be refused truthfully.
    TimePoint lastReturnOf(const Job &job) const;
    /// Returns to the offering VMs the tasks that were not started in time, of offers of which
    /// other tasks were.
    void returnUnstartedTasks(TimePoint now, FleetActions &actions);
    /// Withdraws the offers of jobs that are about to be answered although nothing is known to have
    /// started, so that they can be refused truthfully.
    void withdrawUnansweredOffers(TimePoint now, FleetActions &actions);
    /// Refuses a job whose withdrawn offers have all come back unstarted.
    void endWithdrawnJob(JobNumber number, TimePoint now, FleetActions &actions);
    /// Returns true if the VM supports the messages of this build.
    bool knowsReturns(const VmId &vm) const;
    /// Answers the offers that the VM sent while the link to it was down.
    void sendHeldRefusals(const VmId &vm, FleetActions &actions);
    /// Ends the jobs of which tasks were offered to a VM, or by it, after the link to it or its
    /// input was lost.
    void endOffersOf(const VmId &vm, TimePoint now, FleetActions &actions);

    /// Free places for tasks of the mean size.
    struct PlaceCount
    {
        std::size_t all = 0;
        /// On upstreams that are faster than the average.
        std::size_t fast = 0;
    };
    PlaceCount countPlaces(TimePoint now) const;
    /// Sends a heartbeat to the VMs of the own zone with queued work if this VM has few free places
    /// and their number has changed since the last call.
    void reportScarceRoom(TimePoint now, FleetActions &actions);

    // Jobs (fleet_dispatcher_jobs.cpp).
    JobNumber addJob(FleetJob spec, Origin origin, std::vector<std::uint32_t> indices,
                     std::uint32_t firstRun, TimePoint now);
    void turnAway(CallerRequestId request, const FleetJob &job, const JobTurnedAway &end,
                  FleetActions &actions);
    /// Returns where the unfinished tasks of a job are, as text for the log line of its end.
    std::string describeUnfinishedTasks(JobNumber number, const Job &job, TimePoint now) const;
    /// Returns the job's progress and size, as text for the log line of its end.
    static std::string describeJob(const Job &job);
    /// Stops the remaining tasks, answers the caller or the offering VM and removes the job.
    void endJob(JobNumber number, const JobEnd &end, TimePoint now, FleetActions &actions);
    /// Ends an unfinished job: as turned away if none of its tasks can have started, else as
    /// broken off.
    void abortJob(JobNumber number, TurnAwayReason ifUnstarted, BreakOffReason ifStarted,
                  TimePoint now, FleetActions &actions);
    /// Stops the running tasks of a job and withdraws its offers.
    void stopTasks(JobNumber number, Job &job, TimePoint now, FleetActions &actions);
    /// Ends the unfinished jobs with the same id when the caller submits it again, here or at the
    /// VM that offers its tasks. Jobs that this VM offered before stay: they are parts of one job.
    void replaceJob(const JobId &id, const std::optional<VmId> &offeredBy, TimePoint now,
                    FleetActions &actions);

    // Queue (fleet_dispatcher_queue.cpp).
    /// Expected run times relative to a job's estimate.
    struct RunFactors
    {
        double mean = 1;
        /// On the fastest kind of upstream.
        double fastest = 1;
    };
    RunFactors runFactors() const;
    /// Returns the shortest run time of the job's tasks to allow for.
    static Duration shortestRun(const FleetJob &job, const RunFactors &factors);
    /// Starts or offers the waiting tasks of all jobs in scheduling order and refuses hopeless
    /// jobs. Does nothing unless a job or the capacity has changed.
    void dispatch(TimePoint now, FleetActions &actions);
    /// Returns the jobs with waiting tasks in scheduling order, at most one round's worth, and the
    /// hopeless jobs, which are not in `order`.
    JobOrder waitingJobsInOrder(TimePoint now) const;
    /// Orders jobs where no priorities compete: by their latest start, late jobs by their size.
    std::vector<JobNumber> orderWithoutPriorities(const std::vector<JobNumber> &jobs,
                                                  TimePoint now) const;
    /// Returns the largest free CPU of a kept upstream of each service.
    std::map<ServiceId, std::uint32_t> largestFreeCpu(TimePoint now) const;
    /// Starts a hopeless job if free capacity fits all its tasks, and refuses it otherwise.
    void startOrRefuse(const HopelessJob &hopeless, bool canStartHere, TimePoint now,
                       FleetActions &actions);
    /// Returns a job of which `waiting` tasks wait, as input of orderWaitingJobs().
    WaitingJob waitingJobOf(const FleetJob &spec, std::size_t tasks, std::size_t waiting,
                            TimePoint objective, TimePoint deadline,
                            const RunFactors &factors) const;
    WaitingJob waitingJobOf(JobNumber number, const Job &job, const RunFactors &factors) const;
    /// Sets the rates of the view by its jobs and the service's capacity. The rate is 0 if no
    /// upstream can run the service now.
    void setRates(JobOrderView &view, const ServiceId &service, TimePoint now) const;
    /// Returns the latest time at which the job's tasks can start and still be expected to end in
    /// time, if no priorities compete.
    TimePoint latestStartOf(const Job &job, const RunFactors &factors) const;
    /// Returns true if waiting tasks of the job may be offered to other VMs. An unstarted job is
    /// offered only while a return of the offer leaves time for a refusal.
    bool mayOffer(const Job &job, TimePoint now) const;

    // Admission (fleet_dispatcher_admission.cpp).
    /// Sets the times until which a new job may wait for its first start and be offered.
    void setStartLimits(Job &job, TimePoint now) const;
    /// Returns the refusal of an arriving job, or `std::nullopt` if it is admitted.
    /// Returns true if a job with this many tasks stays within `maxOpenJobs` and `maxOpenTasks`.
    bool hasRoomForJob(std::size_t tasks) const;
    std::optional<JobTurnedAway> checkAdmission(const FleetJob &job, TimePoint now) const;
    /// Returns the retry-after time if an arriving job is hopeless, by the order of all waiting
    /// jobs and the new one.
    std::optional<Duration> refusalByOrder(const FleetJob &job, TimePoint now) const;
    static Duration retryAfterFor(TurnAwayReason reason, const JobId &id);
    /// Aborts jobs that cannot meet their deadline, that waited too long for their first start, or
    /// that are left at the stop limit.
    void expireJobs(TimePoint now, FleetActions &actions);
    /// Returns the expected work of `tasks` tasks of the job.
    CoreWork expectedWork(const FleetJob &job, std::size_t tasks) const;
    /// Returns the time from the loss of another VM until none of the tasks that were offered to it
    /// can execute.
    Duration runsEndAfterLoss() const
    {
        return m_options.lease.runsEndAfter(m_options.peerSilence);
    }
    /// Returns the work of all waiting tasks that have to start before `before`.
    CoreWork queuedWork(TimePoint before) const;
    /// Returns how many tasks of the job fit into free room now, here and at other VMs, if
    /// `timeLeft` is left until its deadline.
    std::size_t placesFor(const FleetJob &job, Duration timeLeft, TimePoint now) const;
    /// Returns the thousandths of a core on which tasks can run, here and at other VMs.
    std::uint64_t usableCpu(TimePoint now) const;
    /// Returns the thousandths of a core of this VM's upstreams on which tasks can run.
    std::uint64_t ownUsableCpu(TimePoint now) const;

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
    /// Numbers of the offers of each VM that were refused while the link to it was down, at most
    /// `maxOpenJobs` of a VM.
    std::map<VmId, std::vector<std::uint64_t>> m_heldRefusals;
    /// When the last pause of this process was detected.
    std::optional<TimePoint> m_pausedAt;
    /// Message revisions of the VMs with a link, as their heartbeats state them.
    std::map<VmId, std::uint64_t> m_peerRevisions;
    PeerRoom m_sharedRoom;
    RunTimes m_runTimes;
    QueueProfiles m_queueProfiles;
    EstimateCorrection m_estimates;
    UpstreamQuarantine m_upstreamWatch;
    WarmUp m_warmUp;
    /// Mean CPU of the tasks of recent jobs, in thousandths of a core; 0 before the first job.
    double m_meanTaskCpu = 0;
    PlaceCount m_placesAtLastReport;
    /// Scarce room is not reported again before this time.
    TimePoint m_nextScarceReport;
    /// When the last job arrived that needs fast upstreams; unset before the first one.
    std::optional<TimePoint> m_fastNeededAt;
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
    /// True if the order of the waiting jobs is outdated: a job or the capacity has changed since
    /// the last round of dispatch().
    bool m_isDispatchDue = true;
    /// Earliest time at which a requeued task may start, unless the next round comes before.
    TimePoint m_dispatchAgainAt = TimePoint::max();
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
    ZoneEvacuations m_evacuations;
    std::map<ZoneId, TimePoint> m_evacuatedSince;
    /// Linked VMs that got the present set of evacuated zones.
    std::set<VmId> m_evacuationsSentTo;
    /// Services with upstreams in evacuated zones only.
    std::set<ServiceId> m_unservedServices;
};

} // namespace rattandock::fleet
