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

/// An unstarted task.
struct QueuedTask
{
    TaskIndex task;
    Resources needs;
    /// Estimated run time on an upstream of speed 1; greater than zero.
    Duration estimate{};
    std::uint32_t payloadBytes = 0;
    FitMask fit = 0;
    /// False if the caller declared no estimate and one was assumed.
    bool estimateKnown = true;
};

/// Place of a job in its team: earliest deadline, then fewest unstarted tasks, then oldest.
struct JobOrderKey
{
    TimePoint deadline;
    std::uint32_t remaining = 0;
    JobHandle job;

    friend auto operator<=>(const JobOrderKey &, const JobOrderKey &) = default;
};

/// Unstarted tasks by team, fit and job. The work to add, take or withdraw a job does not depend
/// on the number of other tasks but by a logarithm. Thread safety: none.
class TaskQueue
{
public:
    /// Jobs of one team by the shapes that their tasks fit. Shape: no lane is empty.
    using Lanes = std::map<FitMask, std::set<JobOrderKey>>;

    /// What a withdrawn job had in the queue.
    struct Withdrawn
    {
        TeamIndex team;
        TimePoint deadline;
        Duration work{};
        std::size_t tasks = 0;
    };

    /// Adds tasks of one job that may start at once.
    void add(JobHandle job, TeamIndex team, TimePoint deadline,
             const std::vector<QueuedTask> &tasks);

    /// Adds one task that may not start before the given time.
    void addDelayed(JobHandle job, TeamIndex team, TimePoint deadline, const QueuedTask &task,
                    TimePoint notBefore);

    /// Makes the delayed tasks ready whose time has come; appends their teams.
    void release(TimePoint now, std::vector<TeamIndex> &released);
    /// When release() next makes a task ready.
    std::optional<TimePoint> nextRelease() const;

    /// Removes all tasks of the job; nothing if it has none.
    std::optional<Withdrawn> withdraw(JobHandle job);

    /// Ready jobs of the team.
    const Lanes &lanes(TeamIndex team) const;
    bool hasReady(TeamIndex team) const { return !lanes(team).empty(); }

    /// The ready job of each team that is due first, by deadline.
    const std::set<std::pair<JobOrderKey, TeamIndex>> &heads() const { return m_heads; }

    /// Precondition for these: the job is in the lane.
    const QueuedTask &longest(JobHandle job, FitMask fit) const;
    const QueuedTask &shortest(JobHandle job, FitMask fit) const;
    QueuedTask takeLongest(JobHandle job, FitMask fit);
    QueuedTask takeShortest(JobHandle job, FitMask fit);

    /// Unstarted tasks of the job, ready or delayed.
    std::uint32_t remaining(JobHandle job) const;

    /// Jobs with an unstarted task whose fit the predicate accepts, in order of their handles.
    /// Visits all jobs.
    template <typename Predicate>
    std::vector<JobHandle> jobsWithFit(Predicate accepts) const;

    /// Calls function(QueuedTask &) on each task and files it by its new fit; visits all tasks.
    template <typename Function>
    void updateFits(Function function);

    std::size_t size() const { return m_size; }
    std::uint64_t bytes() const { return m_bytes; }

private:
    /// Ready tasks of one job and fit, shortest first; those before `first` are taken.
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
        /// Times under which delayed tasks of this job stand in m_delayed.
        std::vector<std::pair<TimePoint, TaskIndex>> delayed;
    };

    static Lane &laneOf(Job &job, FitMask fit);
    static const Lane &laneOf(const Job &job, FitMask fit);
    Job &findOrAddJob(JobHandle handle, TeamIndex team, TimePoint deadline);
    void insertReady(Job &job, const QueuedTask &task);
    void addToLanes(JobHandle handle, const Job &job);
    void removeFromLanes(JobHandle handle, const Job &job);
    void updateTeamHead(TeamIndex team);
    void addToTotals(Job &job, const QueuedTask &task);
    QueuedTask take(JobHandle handle, FitMask fit, bool longest);
    std::vector<QueuedTask> removeReady(JobHandle handle, Job &job);

    std::unordered_map<JobHandle, Job> m_jobs;
    std::vector<Lanes> m_teams;
    std::set<std::pair<JobOrderKey, TeamIndex>> m_heads;
    /// The entry of each team in m_heads.
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
