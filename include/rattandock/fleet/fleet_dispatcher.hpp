#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "rattandock/fleet/admission.hpp"
#include "rattandock/fleet/fleet_action.hpp"
#include "rattandock/fleet/fleet_event.hpp"
#include "rattandock/fleet/fleet_options.hpp"
#include "rattandock/fleet/member_reads.hpp"
#include "rattandock/fleet/run_times.hpp"
#include "rattandock/fleet/sharing.hpp"
#include "rattandock/fleet/upstream_quarantine.hpp"

namespace rattandock::fleet {

/// Counts that a status page shows.
struct FleetStatus
{
    std::size_t keptUpstreams = 0;
    std::size_t knownUpstreams = 0;
    std::size_t jobs = 0;
    std::size_t waitingTasks = 0;
    std::size_t runs = 0;
    std::size_t linkedVms = 0;
    bool stopping = false;
};

/// Decides for one VM of a fleet that shares upstreams through the platform: which upstreams to
/// keep, which jobs to take, and where their tasks run.
///
/// A deterministic state machine without I/O, clock or threads: the driver calls handle() for each
/// event in order from one thread, calls handle(TimerDue{}) when nextTimer() is due, and carries
/// out the appended actions in order. Times must not go back. Thread safety: none.
class FleetDispatcher
{
public:
    explicit FleetDispatcher(FleetOptions options);

    void handle(const FleetEvent &event, TimePoint now, FleetActions &actions);
    std::optional<TimePoint> nextTimer() const;

    FleetStatus status() const;
    /// Room for the next heartbeat to other VMs.
    RoomReport roomReport(TimePoint now) const;
    /// True if this VM can take jobs: it keeps upstreams or knows VMs that do.
    bool canServe() const;
    /// False if an upstream may have drained for too long without this VM knowing.
    bool isListUsable(TimePoint now) const;
    /// This VM's place among those of its zone that may read the list of upstreams for the others.
    std::size_t readerRank() const { return m_members.rankInZone(m_options.vm); }
    MemberLinks memberLinks() const;
    /// Other zones whose upstreams this VM may have to keep.
    std::set<ZoneId> foreignZonesToKeep(TimePoint now) const;
    /// The linked VMs of the own zone.
    std::vector<VmId> linkedInZone() const;
    /// False for a link that carries messages from before a pause of this process.
    bool isLinkFresh(const VmId &vm) const;
    /// True when a planned stop has nothing left to wait for.
    bool isStopped() const;
    /// Address of a kept upstream; nothing if it is not kept.
    const UpstreamEntry *keptUpstream(const UpstreamId &id) const;

private:
    enum class TaskState : std::uint8_t { Waiting, Running, Offered, Done };
    struct Task
    {
        TaskState state = TaskState::Waiting;
        UpstreamId upstream;
        std::uint32_t nextRun = 1;
        std::uint32_t failures = 0;
        Duration expected{};
        TimePoint startedAt;
        bool isOverdue = false;
        /// A former run may still be at work until then.
        TimePoint notBefore;
    };
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
        /// Index in `spec` of each task that runs here; an offer may hold only some.
        std::vector<std::uint32_t> indices;
        std::vector<Task> tasks;
        std::size_t waiting = 0;
        std::size_t done = 0;
        TimePoint objective;
        TimePoint deadline;
        /// Turned away if nothing has started by then.
        TimePoint firstStartLimit;
        /// Runs that were stopped as overdue.
        unsigned overdueStops = 0;
        /// A task was started here, or may have been at another VM.
        bool hasStarted = false;
        /// Offers of its tasks that have not ended.
        std::size_t openOffers = 0;

        bool isUntouched() const { return !hasStarted && openOffers == 0; }
    };
    struct Offer
    {
        VmId vm;
        JobNumber job;
        std::vector<std::uint32_t> tasks;
    };
    struct Kept
    {
        UpstreamLedger ledger;
        bool isReleasing = false;
        /// When a run last ended in success here.
        TimePoint lastSuccess;
    };
    struct Listed
    {
        UpstreamEntry entry;
        std::optional<TimePoint> unlistedSince;
    };
    using Jobs = std::map<JobNumber, Job>;

    void on(const JobArrived &event, TimePoint now, FleetActions &actions);
    void on(const CallerGone &event, TimePoint now, FleetActions &actions);
    void on(const UpstreamsSeen &event, TimePoint now, FleetActions &actions);
    void on(const UpstreamsUnread &event, TimePoint now, FleetActions &actions);
    void on(const MembersRead &event, TimePoint now, FleetActions &actions);
    void on(const KeepersRead &event, TimePoint now, FleetActions &actions);
    void on(const KeepersWritten &event, TimePoint now, FleetActions &actions);
    void on(const StartAnswered &event, TimePoint now, FleetActions &actions);
    void on(const StopAnswered &event, TimePoint now, FleetActions &actions);
    void on(const LookAnswered &event, TimePoint now, FleetActions &actions);
    void on(const LookFailed &event, TimePoint now, FleetActions &actions);
    void on(const PeerLink &event, TimePoint now, FleetActions &actions);
    void on(const PeerRoomSeen &event, TimePoint now, FleetActions &actions);
    void on(const OfferArrived &event, TimePoint now, FleetActions &actions);
    void on(const OfferEnded &event, TimePoint now, FleetActions &actions);
    void on(const OfferWithdrawn &event, TimePoint now, FleetActions &actions);
    void on(const UpstreamProbed &event, TimePoint now, FleetActions &actions);
    void on(const StopRequested &event, TimePoint now, FleetActions &actions);
    void on(const ProcessPaused &event, TimePoint now, FleetActions &actions);
    void on(const TimerDue &event, TimePoint now, FleetActions &actions);

    // Upstreams (fleet_dispatcher_upstreams.cpp, fleet_dispatcher_assignment.cpp).
    void seeUpstream(const UpstreamEntry &entry);
    void unlistUpstream(const UpstreamId &id);
    bool knowsKeepersOf(const ZoneId &zone) const;
    void seeKeeper(const KeeperRow &row, TimePoint now, FleetActions &actions);
    void considerAssignment(TimePoint now, FleetActions &actions);
    void writeKeepers(const std::vector<UpstreamId> &upstreams, bool claim, TimePoint now,
                      FleetActions &actions);
    void dropUpstream(const UpstreamId &id, std::string_view reason, TimePoint now,
                      FleetActions &actions);
    /// Asks whether upstreams of another zone can be reached, and leaves out those that were not.
    std::vector<UpstreamId> reachable(const std::vector<UpstreamId> &upstreams, TimePoint now,
                                      FleetActions &actions);
    /// True once the VMs that are known from before have shown up again, or had time to.
    bool isSettled(TimePoint now) const;
    void expireUnlisted(TimePoint now, FleetActions &actions);
    void stepLedgers(TimePoint now, FleetActions &actions);
    void apply(const UpstreamId &upstream, LedgerOutputs &outputs, TimePoint now,
               FleetActions &actions);
    bool mayPlaceOn(const Kept &kept, TimePoint now) const;
    bool hasLabel(const UpstreamEntry &entry, const FleetJob &job) const;
    static std::string kindOf(const UpstreamEntry &entry);

    // Runs (fleet_dispatcher_runs.cpp).
    void runOver(const UpstreamId &upstream, const RunEnded &over, TimePoint now,
                 FleetActions &actions);
    void runNeverStarted(const UpstreamId &upstream, const RunNeverStarted &run, TimePoint now,
                         FleetActions &actions);
    void taskDone(JobNumber number, Job &job, Task &task, FleetActions &actions);
    void taskWaits(Job &job, Task &task, TimePoint notBefore);
    void judgeRuns(TimePoint now, FleetActions &actions);
    void dispatch(TimePoint now, FleetActions &actions);
    /// Starts what fits of one job. False if room is left for nobody.
    void dispatchJob(JobNumber number, Job &job, TimePoint now, FleetActions &actions);
    bool startHere(JobNumber number, Job &job, std::size_t index, TimePoint now,
                   FleetActions &actions);
    /// Upstreams with a larger time percent would not end the job's tasks within the time left.
    std::uint32_t slowestUsefulPercent(const FleetJob &job, Duration left) const;
    void offerWaiting(JobNumber number, Job &job, TimePoint now, FleetActions &actions);
    /// The last moment at which the job's tasks can start and probably end in time.
    TimePoint latestStartOf(const Job &job) const;
    std::vector<JobNumber> waitingInOrder(TimePoint now) const;
    Duration expectedRun(const FleetJob &job) const;
    /// Expected run time of one task on the fastest kind of upstream.
    Duration fastestRun(const FleetJob &job) const;

    // Jobs (fleet_dispatcher_jobs.cpp).
    JobNumber addJob(FleetJob spec, Origin origin, std::vector<std::uint32_t> indices,
                     std::uint32_t firstRun, TimePoint now);
    std::optional<JobTurnedAway> refusalOf(const FleetJob &job, TimePoint now) const;
    void turnAway(CallerRequestId request, const FleetJob &job, const JobTurnedAway &end,
                  FleetActions &actions);
    /// Where the unfinished tasks of a job are, for its last log line.
    std::string unfinishedOf(JobNumber number, const Job &job, TimePoint now) const;
    void endJob(JobNumber number, const JobEnd &end, TimePoint now, FleetActions &actions);
    void giveUp(JobNumber number, TurnedAway ifUnstarted, BrokenOff ifStarted, TimePoint now,
                FleetActions &actions);
    void stopTasks(JobNumber number, Job &job, TimePoint now, FleetActions &actions);
    void expireJobs(TimePoint now, FleetActions &actions);
    void replace(const JobId &id, TimePoint now, FleetActions &actions);
    CoreWork queuedWork(TimePoint before) const;
    std::size_t placesFor(const FleetJob &job, TimePoint now) const;
    std::uint64_t usableCpu(TimePoint now) const;

    FleetOptions m_options;
    std::map<UpstreamId, Listed> m_listed;
    std::map<ZoneId, std::set<UpstreamId>> m_listedIn;
    /// Those of m_listed whose row is gone.
    std::set<UpstreamId> m_unlisted;
    std::map<UpstreamId, KeeperRow> m_keepers;
    std::map<UpstreamId, Kept> m_kept;
    std::set<ZoneId> m_writing;
    /// When an upstream of another zone was last reached.
    std::map<ZoneId, TimePoint> m_zoneReached;
    std::set<ZoneId> m_probing;
    Membership m_members;
    std::set<VmId> m_linked;
    /// Links from before a pause; what still comes over them was sent long ago.
    std::set<VmId> m_staleLinks;
    std::optional<TimePoint> m_pausedAt;
    SharedRoom m_shared;
    RunTimes m_times;
    UpstreamQuarantine m_watch;
    Jobs m_jobs;
    std::unordered_map<JobId, JobNumber> m_jobOfId;
    std::unordered_map<CallerRequestId, JobNumber> m_jobOfRequest;
    std::map<std::pair<VmId, std::uint64_t>, JobNumber> m_jobOfOffer;
    /// Runs of jobs that have ended, by job id; a resubmission waits for their end.
    std::unordered_map<std::string, std::size_t> m_endingRuns;
    std::unordered_map<JobNumber, std::string> m_endedJobs;
    std::map<std::uint64_t, Offer> m_offers;
    std::uint64_t m_nextJob = 1;
    std::uint64_t m_nextOffer = 1;
    std::optional<TimePoint> m_startedAt;
    std::optional<TimePoint> m_stopAt;
    TimePoint m_nextAssignment;
    TimePoint m_nextHousekeeping = TimePoint::min();
    /// Set while the runs of an upstream are given up: when they are over there for certain.
    std::optional<TimePoint> m_runsOverAt;
    /// Something that considerAssignment() goes by has changed.
    bool m_isAssignmentDue = true;
    bool m_hasMembers = false;
    bool m_hasAllKeepers = false;
    /// Zones whose keepers were read whole.
    std::set<ZoneId> m_keepersReadOf;
    bool m_hasUpstreams = false;
    /// How new the list of upstreams is, and whether the last try to read it failed.
    TimePoint m_listAsOf = TimePoint::min();
    bool m_isListUnread = false;
};

} // namespace rattandock::fleet
