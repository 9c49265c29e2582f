#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "rattandock/core/fit_mask.hpp"
#include "rattandock/core/job_handle.hpp"
#include "rattandock/core/job_spec.hpp"
#include "rattandock/core/team_shares.hpp"

namespace rattandock::core {

/// A task that has not started yet.
struct QueuedTask
{
    TaskIndex task;
    Resources needs;
    /// Estimated run time on an upstream of speed 1; greater than zero.
    Duration estimate{};
    std::uint32_t payloadBytes = 0;
    /// Shapes of upstreams on which the task may run.
    FitMask fit = 0;
    /// False if the caller declared no estimate, so that `estimate` is a default.
    bool estimateKnown = true;
};

/// Sort key of a job among the jobs of its team: earliest deadline first, then fewest unstarted
/// tasks, then lowest handle (oldest job).
struct JobOrderKey
{
    TimePoint deadline;
    std::uint32_t remaining = 0;
    JobHandle job;

    friend auto operator<=>(const JobOrderKey &, const JobOrderKey &) = default;
};

/// Holds the unstarted tasks by team, fit and job. The time to add, take or withdraw a job grows
/// only with the logarithm of the number of other tasks. Thread safety: none.
class TaskQueue
{
public:
    /// Jobs of one team with ready tasks, by the shapes that these tasks fit. No set is empty.
    using Lanes = std::map<FitMask, std::set<JobOrderKey>>;

    /// The tasks of a withdrawn job: their number and their estimated run time.
    struct Withdrawn
    {
        TeamIndex team;
        TimePoint deadline;
        Duration work{};
        std::size_t tasks = 0;
    };

    /// Adds tasks of one job that are ready to start.
    void add(JobHandle job, TeamIndex team, TimePoint deadline,
             const std::vector<QueuedTask> &tasks);

    /// Adds one task that must not start before `notBefore`.
    void addDelayed(JobHandle job, TeamIndex team, TimePoint deadline, const QueuedTask &task,
                    TimePoint notBefore);

    /// Makes all delayed tasks ready whose `notBefore` is not after `now`, and appends the team of
    /// each to `released`.
    void release(TimePoint now, std::vector<TeamIndex> &released);
    /// Returns the earliest `notBefore` of the delayed tasks, or `std::nullopt` if there are none.
    std::optional<TimePoint> nextRelease() const;

    /// Removes all tasks of the job. Returns `std::nullopt` if the queue holds none.
    std::optional<Withdrawn> withdraw(JobHandle job);

    /// Jobs of the team that have ready tasks.
    const Lanes &lanes(TeamIndex team) const;
    bool hasReady(TeamIndex team) const { return !lanes(team).empty(); }

    /// The first job with ready tasks of each team, in the order of JobOrderKey.
    const std::set<std::pair<JobOrderKey, TeamIndex>> &heads() const { return m_heads; }

    /// Return or remove the ready task of the job with the longest or shortest estimate in a lane.
    /// Precondition: the job has a ready task with this fit.
    const QueuedTask &longest(JobHandle job, FitMask fit) const;
    const QueuedTask &shortest(JobHandle job, FitMask fit) const;
    QueuedTask takeLongest(JobHandle job, FitMask fit);
    QueuedTask takeShortest(JobHandle job, FitMask fit);

    /// Number of unstarted tasks of the job, both ready and delayed.
    std::uint32_t remaining(JobHandle job) const;

    /// Returns the jobs with an unstarted task whose fit the predicate accepts, ordered by handle.
    /// Takes time linear in the number of jobs and delayed tasks.
    template <typename Predicate>
    std::vector<JobHandle> jobsWithFit(Predicate accepts) const;

    /// Calls function(QueuedTask &), which may change `fit`, on each task and moves the task to the
    /// lane of its new fit. Takes time linear in the number of tasks.
    template <typename Function>
    void updateFits(Function function);

    std::size_t size() const { return m_size; }
    std::uint64_t bytes() const { return m_bytes; }

private:
    /// Ready tasks of one job with the same fit, shortest first. Those before index `first` have
    /// been taken.
    struct Lane
    {
        FitMask fit = 0;
        std::size_t first = 0;
        std::vector<QueuedTask> tasks;
    };
    struct Job
    {
        TeamIndex team;
        TimePoint deadline;
        std::uint32_t remaining = 0;
        Duration work{};
        std::vector<Lane> lanes;
        /// Release times and indexes of the delayed tasks of this job, which are keys of m_delayed.
        std::vector<std::pair<TimePoint, TaskIndex>> delayed;
    };

    static Lane &laneOf(Job &job, FitMask fit);
    static const Lane &laneOf(const Job &job, FitMask fit);
    Job &findOrAddJob(JobHandle handle, TeamIndex team, TimePoint deadline);
    void insertReady(Job &job, const QueuedTask &task);
    /// Adds the job to, or removes it from, the lanes of its team. A change of `remaining` or of
    /// the lanes of the job must be made between a removal and an addition.
    void addToLanes(JobHandle handle, const Job &job);
    void removeFromLanes(JobHandle handle, const Job &job);
    /// Updates the entry of the team in m_heads.
    void updateTeamHead(TeamIndex team);
    /// Adds the task to the totals of the job and of the queue.
    void addToTotals(Job &job, const QueuedTask &task);
    QueuedTask take(JobHandle handle, FitMask fit, bool longest);
    /// Removes and returns all ready tasks of the job without changing the totals.
    std::vector<QueuedTask> removeReady(JobHandle handle, Job &job);

    std::unordered_map<JobHandle, Job> m_jobs;
    std::vector<Lanes> m_teams;
    std::set<std::pair<JobOrderKey, TeamIndex>> m_heads;
    /// Key of each team in m_heads, or `std::nullopt` if the team has no ready task.
    std::vector<std::optional<JobOrderKey>> m_headOfTeam;
    std::map<std::pair<TimePoint, TaskRef>, QueuedTask> m_delayed;
    std::size_t m_size = 0;
    std::uint64_t m_bytes = 0;
};

template <typename Function>
void TaskQueue::updateFits(Function function)
{
    for (auto &[handle, job] : m_jobs) {
        for (QueuedTask &it : removeReady(handle, job)) {
            function(it);
            insertReady(job, it);
        }
        addToLanes(handle, job);
        updateTeamHead(job.team);
    }
    for (auto &[key, task] : m_delayed) {
        function(task);
    }
}

template <typename Predicate>
std::vector<JobHandle> TaskQueue::jobsWithFit(Predicate accepts) const
{
    std::set<JobHandle> found;
    for (const auto &[handle, job] : m_jobs) {
        for (const Lane &it : job.lanes) {
            if (it.first < it.tasks.size() && accepts(it.fit)) {
                found.insert(handle);
            }
        }
    }
    for (const auto &[key, task] : m_delayed) {
        if (accepts(task.fit)) {
            found.insert(key.second.job);
        }
    }
    return {found.begin(), found.end()};
}

} // namespace rattandock::core
