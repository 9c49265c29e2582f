#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <random>
#include <vector>

#include "rattandock/fleet/admission.hpp"
#include "rattandock/fleet/fleet_job.hpp"

/// Workload of the first deployment of docs/evacuation-and-overload.md, section 2.
namespace rattandock::fleet::upstream_replay {

using namespace std::chrono_literals;

struct QueueLoad
{
    std::uint32_t priority;
    double perSecond;
    double tasks;
    double millis;
};
inline constexpr std::array<QueueLoad, 3> queueLoads{
        {{0, 181, 8, 51}, {2, 33, 4, 760}, {1, 529, 2, 170}}};
/// Share of the jobs that take `longFactor` times as long.
inline constexpr double longShare = 0.03;
inline constexpr double longFactor = 7;
/// Share of the CPU that tasks of about half an upstream can use, as in admission.
inline constexpr double usableShare = 0.85;
inline constexpr TimePoint replayStart{100s};

inline Duration scaledBy(Duration time, double factor)
{
    return Duration{static_cast<Duration::rep>(static_cast<double>(time.count()) * factor)};
}

enum class RunState : std::uint8_t { Waiting, Running, Stopping, Done };
struct Task
{
    /// Run time on an upstream of speed 1.
    Duration work{};
    RunState state = RunState::Waiting;
    std::size_t upstream = 0;
    TimePoint startedAt;
    TimePoint endsAt;
    Duration expected{};
    bool hangs = false;
    bool isOverdue = false;
    bool wasStopped = false;
};
struct Job
{
    FleetJob spec;
    TimePoint arrived;
    TimePoint objective;
    TimePoint deadline;
    /// The caller's objective, by the actual run time.
    Duration callerObjective{};
    /// Latest start of a task that meets it on an upstream of speed 1.
    TimePoint latestStart;
    std::vector<Task> tasks;
    std::size_t waiting = 0;
    std::size_t done = 0;
    unsigned stops = 0;
    bool isOver = false;
    bool isCompleted = false;
    /// Index of its queue in `queueLoads`.
    std::size_t queue = 0;

    /// Returns the CPU time that the job takes on upstreams of speed 1.
    CoreWork trueWork() const
    {
        CoreWork sum = 0;
        for (const Task &it : tasks) {
            sum += spec.need.cpu.value() * static_cast<CoreWork>(it.work.count());
        }
        return sum;
    }
    CoreWork work(std::size_t count) const
    {
        return static_cast<CoreWork>(count) * spec.need.cpu.value()
               * static_cast<CoreWork>(spec.predicted.count());
    }
};

/// Draws the jobs of `length` at `load` times `usableShare` of the capacity, by their arrival.
inline std::vector<Job> drawJobs(std::uint64_t seed, double load, Duration length, double cores)
{
    std::mt19937_64 random{seed};
    std::normal_distribution<double> normal;
    std::uniform_real_distribution<double> uniform;
    double meanCores = 0;
    for (const QueueLoad &it : queueLoads) {
        meanCores += 16 * it.perSecond * it.tasks * it.millis / 1000
                     * (1 + longShare * (longFactor - 1));
    }
    const double factor = load * usableShare * cores / meanCores;
    std::vector<Job> jobs;
    for (std::size_t queue = 0; queue < queueLoads.size(); ++queue) {
        const QueueLoad &it = queueLoads.at(queue);
        std::exponential_distribution<double> gap{it.perSecond * factor};
        for (TimePoint at = replayStart; at < replayStart + length;) {
            at += Duration{static_cast<Duration::rep>(1e6 * gap(random))};
            Job &job = jobs.emplace_back();
            job.arrived = at;
            job.queue = queue;
            job.spec.id = JobId{std::to_string(seed) + "-" + std::to_string(jobs.size())};
            job.spec.queue = QueueId{std::to_string(it.priority)};
            job.spec.service = ServiceId{"s"};
            job.spec.priority = it.priority;
            const double width = it.tasks * std::exp(0.4 * normal(random) - 0.08);
            job.spec.taskCount =
                    static_cast<std::uint32_t>(std::clamp(std::round(width), 1.0, 4 * it.tasks));
            const double need = std::clamp(16 + 3.2 * normal(random), 4.0, 24.0);
            job.spec.need.cpu = MilliCores{static_cast<std::uint32_t>(1000 * need)};
            const double longTimes = uniform(random) < longShare ? longFactor : 1;
            const Duration run =
                    scaledBy(1ms, it.millis * std::exp(0.4 * normal(random) - 0.08) * longTimes);
            job.spec.estimate = scaledBy(run, std::exp(0.4 * normal(random)));
            job.spec.deadline = 1480ms;
            job.deadline = at + job.spec.deadline;
            job.callerObjective = scaledBy(run, 1.6) + 60ms;
            job.latestStart = at + job.callerObjective - run;
            job.waiting = job.spec.taskCount;
            job.tasks.resize(job.spec.taskCount);
            for (Task &task : job.tasks) {
                task.work = scaledBy(run, std::exp(0.15 * normal(random) - 0.01));
            }
        }
    }
    std::ranges::sort(jobs, {}, &Job::arrived);
    return jobs;
}

} // namespace rattandock::fleet::upstream_replay
