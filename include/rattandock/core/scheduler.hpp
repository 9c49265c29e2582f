#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "rattandock/core/action.hpp"
#include "rattandock/core/admission.hpp"
#include "rattandock/core/attempt_result.hpp"
#include "rattandock/core/dispatcher_options.hpp"
#include "rattandock/core/job_handle.hpp"
#include "rattandock/core/job_outcome.hpp"
#include "rattandock/core/job_spec.hpp"
#include "rattandock/core/placement.hpp"
#include "rattandock/core/retry_budget.hpp"
#include "rattandock/core/task_queue.hpp"
#include "rattandock/core/team_shares.hpp"
#include "rattandock/core/team_spec.hpp"
#include "rattandock/core/upstream_spec.hpp"
#include "rattandock/core/upstream_table.hpp"

namespace rattandock::core {

/// A queued task that dispatch() assigned to an upstream.
struct PlacedTask
{
    TaskRef task;
    UpstreamId upstream;
    /// Stable name of the placement reason, one of placementReasons.
    std::string_view reason;
};

/// Result of Scheduler::requeue() for a task that was not started.
enum class RequeueResult : std::uint8_t { Requeued, BudgetEmpty };

/// Decides when and on which upstream each task starts. Combines admission, the task queue,
/// placement, slot accounting, upstream health and the retry budget. Callers, job ids and job
/// outcomes are handled by the Dispatcher. Thread safety: none.
class Scheduler
{
public:
    Scheduler(const DispatcherOptions &options, std::uint64_t seed);

    /// Replaces the teams and upstreams. Running tasks keep their slots.
    void configure(const std::vector<UpstreamSpec> &upstreams, const std::vector<TeamSpec> &teams,
                   TimePoint now);
    /// Sets the life-cycle state of the upstream. Appends a note when it changes to Leaving. Has no
    /// effect on an upstream that is not configured.
    void setUpstreamLife(const UpstreamId &upstream, UpstreamLife life, TimePoint now,
                         Actions &actions);

    /// Returns the refusal of the job, or `std::nullopt` if the job may be queued. Does not queue
    /// the job.
    std::optional<NotRun> refusalFor(const JobSpec &job, TimePoint now) const;

    /// Queues all tasks of the job. Precondition: refusalFor() returned `std::nullopt`.
    void enqueue(JobHandle job, const JobSpec &spec, TimePoint now);

    /// Removes the queued tasks of the job. Its running tasks keep their slots until they end.
    void withdraw(JobHandle job);

    /// Returns the jobs with a queued task that no upstream can run any more, because every
    /// upstream that fits the task has left or was removed from the configuration. Only configure()
    /// and setUpstreamLife() cause this, so the caller checks after each of them and ends the
    /// returned jobs, which would otherwise wait until their deadline. Visits all queued jobs.
    std::vector<JobHandle> unplaceableJobs() const;

    /// Assigns queued tasks to free slots, reserves these slots and appends the tasks to `placed`.
    void dispatch(TimePoint now, std::vector<PlacedTask> &placed);

    /// Frees the slot of the task and updates upstream health, run-time estimates and team shares
    /// from the result. `elapsed` is the run time of the attempt.
    /// Precondition: the task is running.
    void attemptEnded(const TaskRef &task, const UpstreamId &upstream, const AttemptResult &result,
                      Duration elapsed, TimePoint now, Actions &actions);

    /// Queues a task that was not started again after a backoff. Returns BudgetEmpty, and does not
    /// queue the task, if the retry budget is used up.
    RequeueResult requeue(const TaskRef &task, const TaskSpec &spec, const TeamId &team,
                          TimePoint deadline, TimePoint now);

    /// Returns the time at which dispatch() must be called even if no other event occurs. Returns
    /// `std::nullopt` if all queued tasks only wait for a slot to become free.
    std::optional<TimePoint> nextTimer() const;

    std::size_t queuedTasks() const { return m_queue.size(); }
    std::size_t runningTasks() const { return m_running; }

private:
    struct RunningTask
    {
        TaskIndex task;
        SlotLease lease;
        std::uint32_t rack = 0;
        /// Estimate used for scheduling, greater than zero.
        Duration estimate{};
        /// False if the task declared no estimate, so that `estimate` is the typical estimate.
        bool estimateKnown = false;
    };
    /// A job with queued or running tasks.
    struct Job
    {
        TeamIndex team;
        TimePoint deadline;
        /// From this time on the job is dispatched before the teams that are next by virtual time.
        TimePoint urgentFrom;
        std::vector<RunningTask> running;
        /// Number of running tasks per rack, indexed by rack.
        std::vector<std::uint16_t> racks;
        /// Number of re-sends of each task that was sent more than once.
        std::vector<std::pair<TaskIndex, std::uint32_t>> resends;
        /// Set when the dispatcher withdrew the job. Attempts of a withdrawn job are aborted by the
        /// dispatcher, so their failures do not count against the upstream.
        bool withdrawn = false;
    };
    /// State of one dispatch() call.
    struct Round
    {
        TimePoint now;
        std::vector<PlacedTask> &placed;
        /// Fit masks for which no slot is free in this call.
        std::vector<FitMask> blocked;
        /// Tasks passed over since the last start because waiting for a faster slot pays off.
        std::uint32_t deferredTasks = 0;
    };
    enum class StartResult : std::uint8_t { Started, Deferred, NoSlot };

    QueuedTask queuedTask(std::uint32_t index, const TaskSpec &spec) const;
    /// Returns the declared estimate, or the typical estimate if the task declared none.
    Duration effectiveEstimate(Duration estimate) const;
    Admission::Capacity capacity() const;
    bool startNext(Round &round);
    bool startUrgent(Round &round);
    bool startFromTeam(Round &round, TeamIndex team);
    StartResult startFromJob(Round &round, JobHandle job, FitMask fit);
    /// Returns an ejected upstream that fits and is due for a probe task, if there is one.
    std::optional<UpstreamIndex> findDueProbe(FitMask fit) const;
    void start(Round &round, JobHandle handle, const QueuedTask &task,
               const PlacementChoice &choice);
    /// Updates upstream health and the run-time estimates from the result of an attempt.
    void recordResult(const RunningTask &running, JobHandle job, bool withdrawn,
                      const AttemptResult &result, Duration elapsed, TimePoint now,
                      Actions &actions);
    /// Erases the job if it has neither queued nor running tasks.
    void eraseIfDone(JobHandle job);

    DispatcherOptions m_options;
    UpstreamTable m_upstreams;
    TaskQueue m_queue;
    TeamShares m_shares;
    Placement m_placement;
    Admission m_admission;
    RetryBudget m_retryBudget;
    std::unordered_map<JobHandle, Job> m_jobs;
    std::size_t m_running = 0;
    /// Sum of the expected run times of all running tasks, from their start.
    Duration m_expectedRunTimes{};
    /// Estimate assumed for tasks that declare none: moving average of completed tasks.
    Duration m_typicalEstimate = 100ms;
    /// Time of the next placement attempt for tasks that wait for a faster slot.
    std::optional<TimePoint> m_recheckAt;
};

} // namespace rattandock::core
