#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string_view>
#include <vector>

#include "rattandock/core/action.hpp"
#include "rattandock/core/attempt_result.hpp"
#include "rattandock/core/dispatcher_options.hpp"
#include "rattandock/core/job_handle.hpp"
#include "rattandock/core/job_outcome.hpp"
#include "rattandock/core/job_spec.hpp"
#include "rattandock/core/task_queue.hpp"
#include "rattandock/core/team_shares.hpp"
#include "rattandock/core/team_spec.hpp"
#include "rattandock/core/upstream_spec.hpp"

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

    /// Appends the starts that are due now and takes their slots.
    void dispatch(TimePoint now, std::vector<PlacedTask> &placed);

    /// Frees the slot and learns from the result.
    void attemptEnded(const TaskRef &task, const UpstreamId &upstream, const AttemptResult &result,
                      Duration elapsed, TimePoint now, Actions &actions);

    /// Queues the task again after a backoff, or says that the budget is spent.
    RetryVerdict requeue(const TaskRef &task, const TaskSpec &spec, const TeamId &team,
                         TimePoint deadline, TimePoint now);

    /// When dispatch() is due without another event. Nothing when tasks wait only for slots.
    std::optional<TimePoint> nextTimer() const { return m_queue.nextRelease(); }

    std::size_t queuedTasks() const { return m_queue.size(); }
    std::size_t runningTasks() const { return m_running; }

private:
    struct Upstream
    {
        UpstreamSpec spec;
        UpstreamLife life = UpstreamLife::Live;
        std::uint32_t running = 0;
        bool configured = true;
    };
    struct Running
    {
        TeamIndex team;
        Duration expected{};
    };

    Upstream *choose(const QueuedTask &task);
    bool startNext(TimePoint now, std::vector<PlacedTask> &placed);
    bool startFromTeam(TeamIndex team, std::vector<PlacedTask> &placed);

    DispatcherOptions m_options;
    std::mt19937_64 m_random;
    std::map<UpstreamId, Upstream> m_upstreams;
    TaskQueue m_queue;
    TeamShares m_shares;
    std::map<TaskRef, Running> m_runningTasks;
    std::size_t m_running = 0;
    double m_retryTokens = 10.0;
};

} // namespace rattandock::core
