#include "rattandock/core/task_queue.hpp"

#include <algorithm>
#include <cassert>

namespace rattandock::core {

namespace {

bool hasShorterEstimate(const QueuedTask &a, const QueuedTask &b)
{
    // When tasks are taken from the back, those with equal estimates start in ascending
    // order of index.
    return std::pair{a.estimate, b.task} < std::pair{b.estimate, a.task};
}

} // namespace

void TaskQueue::add(JobHandle job, TeamIndex team, TimePoint deadline,
                    const std::vector<QueuedTask> &tasks)
{
    Job &record = findOrAddJob(job, team, deadline);
    removeFromLanes(job, record);
    for (const QueuedTask &it : tasks) {
        addToTotals(record, it);
        laneOf(record, it.fit).tasks.push_back(it);
    }
    for (Lane &it : record.lanes) {
        std::sort(it.tasks.begin() + static_cast<std::ptrdiff_t>(it.first), it.tasks.end(),
                  hasShorterEstimate);
    }
    addToLanes(job, record);
    updateTeamHead(team);
}

void TaskQueue::addDelayed(JobHandle job, TeamIndex team, TimePoint deadline,
                           const QueuedTask &task, TimePoint notBefore)
{
    Job &record = findOrAddJob(job, team, deadline);
    removeFromLanes(job, record);
    addToTotals(record, task);
    record.delayed.emplace_back(notBefore, task.task);
    m_delayed.emplace(std::pair{notBefore, TaskRef{job, task.task}}, task);
    addToLanes(job, record);
    updateTeamHead(team);
}

void TaskQueue::release(TimePoint now, std::vector<TeamIndex> &released)
{
    while (!m_delayed.empty() && m_delayed.begin()->first.first <= now) {
        const auto [notBefore, ref] = m_delayed.begin()->first;
        Job &job = m_jobs.at(ref.job);
        std::erase(job.delayed, std::pair{notBefore, ref.task});
        removeFromLanes(ref.job, job);
        insertReady(job, m_delayed.begin()->second);
        addToLanes(ref.job, job);
        updateTeamHead(job.team);
        released.push_back(job.team);
        m_delayed.erase(m_delayed.begin());
    }
}

std::optional<TimePoint> TaskQueue::nextRelease() const
{
    if (m_delayed.empty()) {
        return std::nullopt;
    }
    return m_delayed.begin()->first.first;
}

std::optional<TaskQueue::Withdrawn> TaskQueue::withdraw(JobHandle job)
{
    const auto it = m_jobs.find(job);
    if (it == m_jobs.end()) {
        return std::nullopt;
    }
    Job &record = it->second;
    const Withdrawn withdrawn{record.team, record.deadline, record.work, record.remaining};
    for (const QueuedTask &task : removeReady(job, record)) {
        m_bytes -= task.payloadBytes;
    }
    for (const auto &[notBefore, index] : record.delayed) {
        const auto delayed = m_delayed.find({notBefore, TaskRef{job, index}});
        m_bytes -= delayed->second.payloadBytes;
        m_delayed.erase(delayed);
    }
    m_size -= record.remaining;
    m_jobs.erase(it);
    updateTeamHead(withdrawn.team);
    return withdrawn;
}

const TaskQueue::Lanes &TaskQueue::lanes(TeamIndex team) const
{
    static const Lanes none;
    return team.value() < m_teams.size() ? m_teams[team.value()] : none;
}

const QueuedTask &TaskQueue::longest(JobHandle job, FitMask fit) const
{
    return laneOf(m_jobs.at(job), fit).tasks.back();
}

const QueuedTask &TaskQueue::shortest(JobHandle job, FitMask fit) const
{
    const Lane &lane = laneOf(m_jobs.at(job), fit);
    return lane.tasks[lane.first];
}

QueuedTask TaskQueue::takeLongest(JobHandle job, FitMask fit)
{
    return take(job, fit, true);
}

QueuedTask TaskQueue::takeShortest(JobHandle job, FitMask fit)
{
    return take(job, fit, false);
}

std::uint32_t TaskQueue::remaining(JobHandle job) const
{
    const auto it = m_jobs.find(job);
    return it == m_jobs.end() ? 0 : it->second.remaining;
}

TaskQueue::Lane &TaskQueue::laneOf(Job &job, FitMask fit)
{
    const auto it = std::ranges::find(job.lanes, fit, &Lane::fit);
    return it != job.lanes.end() ? *it : job.lanes.emplace_back(Lane{fit, 0, {}});
}

const TaskQueue::Lane &TaskQueue::laneOf(const Job &job, FitMask fit)
{
    const auto it = std::ranges::find(job.lanes, fit, &Lane::fit);
    assert(it != job.lanes.end() && it->first < it->tasks.size());
    return *it;
}

TaskQueue::Job &TaskQueue::findOrAddJob(JobHandle handle, TeamIndex team, TimePoint deadline)
{
    const auto [it, added] = m_jobs.try_emplace(handle);
    if (added) {
        it->second.team = team;
        it->second.deadline = deadline;
    }
    return it->second;
}

void TaskQueue::insertReady(Job &job, const QueuedTask &task)
{
    Lane &lane = laneOf(job, task.fit);
    const auto begin = lane.tasks.begin() + static_cast<std::ptrdiff_t>(lane.first);
    lane.tasks.insert(std::upper_bound(begin, lane.tasks.end(), task, hasShorterEstimate), task);
}

void TaskQueue::addToLanes(JobHandle handle, const Job &job)
{
    if (m_teams.size() <= job.team.value()) {
        m_teams.resize(job.team.value() + 1);
        m_headOfTeam.resize(m_teams.size());
    }
    for (const Lane &it : job.lanes) {
        if (it.first < it.tasks.size()) {
            m_teams[job.team.value()][it.fit].insert({job.deadline, job.remaining, handle});
        }
    }
}

void TaskQueue::removeFromLanes(JobHandle handle, const Job &job)
{
    if (m_teams.size() <= job.team.value()) {
        return;
    }
    Lanes &lanes = m_teams[job.team.value()];
    for (const Lane &it : job.lanes) {
        const auto lane = lanes.find(it.fit);
        if (lane == lanes.end()) {
            continue;
        }
        lane->second.erase({job.deadline, job.remaining, handle});
        if (lane->second.empty()) {
            lanes.erase(lane);
        }
    }
}

void TaskQueue::updateTeamHead(TeamIndex team)
{
    std::optional<JobOrderKey> head;
    for (const auto &[fit, jobs] : m_teams[team.value()]) {
        if (!head || *jobs.begin() < *head) {
            head = *jobs.begin();
        }
    }
    std::optional<JobOrderKey> &current = m_headOfTeam[team.value()];
    if (head == current) {
        return;
    }
    if (current) {
        m_heads.erase({*current, team});
    }
    if (head) {
        m_heads.emplace(*head, team);
    }
    current = head;
}

void TaskQueue::addToTotals(Job &job, const QueuedTask &task)
{
    ++job.remaining;
    job.work += task.estimate;
    ++m_size;
    m_bytes += task.payloadBytes;
}

QueuedTask TaskQueue::take(JobHandle handle, FitMask fit, bool longest)
{
    const auto it = m_jobs.find(handle);
    Job &job = it->second;
    removeFromLanes(handle, job);
    Lane &lane = laneOf(job, fit);
    const QueuedTask task = longest ? lane.tasks.back() : lane.tasks[lane.first];
    if (longest) {
        lane.tasks.pop_back();
    } else {
        ++lane.first;
    }
    --job.remaining;
    job.work -= task.estimate;
    --m_size;
    m_bytes -= task.payloadBytes;
    const TeamIndex team = job.team;
    if (job.remaining == 0) {
        m_jobs.erase(it);
    } else {
        addToLanes(handle, job);
    }
    updateTeamHead(team);
    return task;
}

std::vector<QueuedTask> TaskQueue::removeReady(JobHandle handle, Job &job)
{
    removeFromLanes(handle, job);
    std::vector<QueuedTask> tasks;
    for (Lane &it : job.lanes) {
        tasks.insert(tasks.end(), it.tasks.begin() + static_cast<std::ptrdiff_t>(it.first),
                     it.tasks.end());
    }
    job.lanes.clear();
    return tasks;
}

} // namespace rattandock::core
