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

/// A decision to start a queued task on an upstream.
struct PlacedTask
{
    TaskRef task;
    UpstreamId upstream;
    /// Stable name of why this upstream was chosen.
    std::string_view reason;
};

/// What happens to a task whose attempt provably did not start it.
enum class RetryVerdict : std::uint8_t { Requeued, BudgetEmpty };

/// Decides which task starts when and where: admission, queue, placement, slots, upstream health
/// and retries. Knows nothing of callers, ids or outcomes. Thread safety: none.
class Scheduler
{
public:
    Scheduler(const DispatcherOptions &options, std::uint64_t seed);

    /// Replaces teams and upstreams; running tasks keep their slots.
    void configure(const std::vector<UpstreamSpec> &upstreams, const std::vector<TeamSpec> &teams,
                   TimePoint now);
    void seeUpstream(const UpstreamId &upstream, UpstreamLife life, TimePoint now,
                     Actions &actions);

    /// Nothing if the job may be queued, else the refusal. Does not queue it.
    std::optional<NotRun> refusalFor(const JobSpec &job, TimePoint now) const;

    /// Queues all tasks. Precondition: refusalFor() gave nothing.
    void enqueue(JobHandle job, const JobSpec &spec, TimePoint now);

    /// Removes the job's queued tasks; running ones keep their slots until they end.
    void withdraw(JobHandle job);

    /// Jobs with a queued task that no upstream can run any more, since all that fit it left or
    /// were configured away. To be given up at once after configure() and seeUpstream(), which
    /// are the only causes; they would wait until their deadline. Visits all queued jobs.
    std::vector<JobHandle> strandedJobs() const;

    /// Appends the starts that are due now and takes their slots.
    void dispatch(TimePoint now, std::vector<PlacedTask> &placed);

    /// Frees the slot and learns from the result.
    void attemptEnded(const TaskRef &task, const UpstreamId &upstream, const AttemptResult &result,
                      Duration elapsed, TimePoint now, Actions &actions);

    /// Queues the task again after a backoff, or says that the budget is spent.
    RetryVerdict requeue(const TaskRef &task, const TaskSpec &spec, const TeamId &team,
                         TimePoint deadline, TimePoint now);

    /// When dispatch() is due without another event. Nothing when tasks wait only for slots.
    std::optional<TimePoint> nextTimer() const;

    std::size_t queuedTasks() const { return m_queue.size(); }
    std::size_t runningTasks() const { return m_running; }

private:
    struct RunningTask
    {
        TaskIndex task;
        SlotLease lease;
        std::uint32_t rack = 0;
        /// Estimate that the team was charged by; greater than zero.
        Duration estimate{};
        bool estimateKnown = false;
    };
    /// A job with queued or running tasks.
    struct Job
    {
        TeamIndex team;
        TimePoint deadline;
        /// From then on the job goes before teams that are next by virtual time.
        TimePoint urgentFrom;
        std::vector<RunningTask> running;
        /// Running tasks by rack.
        std::vector<std::uint16_t> racks;
        /// Re-sends of each task that was sent again.
        std::vector<std::pair<TaskIndex, std::uint32_t>> resends;
        /// The dispatcher gave the job up: its failures say nothing of the upstreams.
        bool withdrawn = false;
    };
    /// One pass over the queue in dispatch().
    struct Round
    {
        TimePoint now;
        std::vector<PlacedTask> &placed;
        /// Fits for which no slot is free.
        std::vector<FitMask> blocked;
        std::uint32_t waits = 0;
    };
    enum class Outcome : std::uint8_t { Started, Waits, NoSlot };

    QueuedTask queuedTask(std::uint32_t index, const TaskSpec &spec) const;
    Duration reckonedEstimate(Duration estimate) const;
    Admission::Capacity capacity() const;
    bool startNext(Round &round);
    bool startUrgent(Round &round);
    bool startFromTeam(Round &round, TeamIndex team);
    Outcome startFromJob(Round &round, JobHandle job, FitMask fit);
    std::optional<UpstreamIndex> probeFor(FitMask fit) const;
    void start(Round &round, JobHandle handle, const QueuedTask &task,
               const PlacementChoice &choice);
    void judge(const RunningTask &running, JobHandle job, bool withdrawn,
               const AttemptResult &result, Duration elapsed, TimePoint now, Actions &actions);
    void forgetIfDone(JobHandle job);

    DispatcherOptions m_options;
    UpstreamTable m_upstreams;
    TaskQueue m_queue;
    TeamShares m_shares;
    Placement m_placement;
    Admission m_admission;
    RetryBudget m_retries;
    std::unordered_map<JobHandle, Job> m_jobs;
    std::size_t m_running = 0;
    /// Sum of the expected run times of all running tasks.
    Duration m_expectedTimes{};
    /// Reckoned for tasks whose estimate is 0.
    Duration m_typicalEstimate = 100ms;
    /// When a task that waits for a fast slot is looked at again.
    std::optional<TimePoint> m_recheck;
};

} // namespace rattandock::core
