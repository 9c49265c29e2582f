#pragma once

#include <algorithm>
#include <cmath>
#include <optional>
#include <random>
#include <tuple>
#include <vector>

#include "rattandock/fleet/admission.hpp"
#include "rattandock/fleet/job_order.hpp"
#include "rattandock/fleet/queue_profiles.hpp"
#include "rattandock/fleet/wait_limit.hpp"

namespace rattandock::fleet::test {

using namespace std::chrono_literals;

struct QueueLoad
{
    std::uint32_t priority;
    double perSecond;
    double tasks;
    double millis;
};
/// Half of the first deployment of docs/evacuation-and-overload.md, section 2.
inline const std::vector<QueueLoad> queueLoads{{0, 90, 8, 51}, {2, 16.5, 4, 760}, {1, 265, 2, 170}};
/// Cores that this load needs on average, by the table: 16 cores a task.
inline constexpr double meanCores = 16 * (90 * 8 * 0.051 + 16.5 * 4 * 0.76 + 265 * 2 * 0.17);

struct ReplayJob
{
    FleetJob spec;
    std::size_t queue = 0;
    TimePoint arrived;
    Duration run{};
    std::uint32_t waiting = 0;
    std::uint32_t done = 0;
    bool isOver = false;
    std::optional<TimePoint> completedAt;
    std::optional<TimePoint> refusedAt;

    TimePoint objective() const { return arrived + spec.objective; }
    TimePoint deadline() const { return arrived + spec.deadline; }
    CoreWork work(std::uint32_t tasks) const
    {
        return static_cast<CoreWork>(tasks) * spec.need.cpu.value()
               * static_cast<CoreWork>(spec.estimate.count());
    }
    CoreWork trueWork() const
    {
        return static_cast<CoreWork>(spec.taskCount) * spec.need.cpu.value()
               * static_cast<CoreWork>(run.count());
    }
    double value() const
    {
        if (!completedAt) {
            return 0;
        }
        const Duration taken = *completedAt - arrived;
        return taken <= spec.objective ? 1 : taken <= 3 * spec.objective ? 0.2 : 0;
    }
};

/// Draws the jobs of `length` at `load` times the mean rate, after 1 s at 0.55 of the capacity.
inline std::vector<ReplayJob> drawJobs(std::uint64_t seed, double load, Duration length,
                                       double capacity)
{
    std::mt19937_64 random{seed};
    std::normal_distribution<double> normal;
    std::vector<ReplayJob> jobs;
    for (std::size_t queue = 0; queue < queueLoads.size(); ++queue) {
        const QueueLoad &it = queueLoads[queue];
        TimePoint at{100s};
        while (at < TimePoint{100s} + 1s + length) {
            const bool isBurst = at >= TimePoint{101s};
            const double rate = it.perSecond * (isBurst ? load : 0.55) * capacity / meanCores;
            std::exponential_distribution<double> gap{rate};
            at += Duration{static_cast<Duration::rep>(1e6 * gap(random))};
            ReplayJob job;
            job.queue = queue;
            job.arrived = at;
            job.spec.id = JobId{std::to_string(seed) + "-" + std::to_string(jobs.size())};
            job.spec.queue = QueueId{std::to_string(queue)};
            job.spec.service = ServiceId{"s"};
            job.spec.priority = it.priority;
            const double width = it.tasks * std::exp(0.4 * normal(random) - 0.08);
            job.spec.taskCount =
                    static_cast<std::uint32_t>(std::clamp(std::round(width), 1.0, 4 * it.tasks));
            const double cores = std::clamp(16 + 3.2 * normal(random), 4.0, 24.0);
            job.spec.need.cpu = MilliCores{static_cast<std::uint32_t>(1000 * cores)};
            const double run = 1000 * it.millis * std::exp(0.4 * normal(random) - 0.08);
            job.run = Duration{static_cast<Duration::rep>(run)};
            const double estimate = run * std::exp(0.4 * normal(random));
            job.spec.estimate = Duration{static_cast<Duration::rep>(estimate)};
            job.spec.objective = job.spec.estimate * 8 / 5 + 60ms;
            job.spec.deadline = 1480ms;
            job.waiting = job.spec.taskCount;
            jobs.push_back(std::move(job));
        }
    }
    std::ranges::sort(jobs, {}, &ReplayJob::arrived);
    return jobs;
}

/// Replays jobs on a pool of cores, ordered by this build's rule or by the rule without priorities.
class Replay
{
public:
    Replay(std::vector<ReplayJob> jobs, double capacity, bool usesOrder)
        : m_jobs(std::move(jobs))
        , m_free(capacity * 1000)
        , m_rate(capacity * 1000)
        , m_usesOrder(usesOrder)
    {
    }

    const std::vector<ReplayJob> &run()
    {
        std::size_t next = 0;
        const TimePoint end = m_jobs.back().arrived + 2s;
        for (m_now = m_jobs.front().arrived; m_now < end; m_now += 5ms) {
            endRuns();
            expire();
            while (next < m_jobs.size() && m_jobs[next].arrived <= m_now) {
                submit(next++);
            }
            for (const std::size_t it : m_usesOrder ? order() : formerOrder()) {
                start(it);
            }
            std::erase_if(m_open, [&](std::size_t it) { return m_jobs[it].isOver; });
        }
        return m_jobs;
    }

private:
    struct Run
    {
        std::size_t job;
        TimePoint endsAt;
    };

    bool isStarted(const ReplayJob &job) const { return job.waiting < job.spec.taskCount; }

    bool fits(const ReplayJob &job) const
    {
        return m_free >= 1.0 * job.spec.need.cpu.value() * job.waiting;
    }

    void endRuns()
    {
        std::erase_if(m_runs, [&](const Run &it) {
            ReplayJob &job = m_jobs[it.job];
            if (it.endsAt > m_now && !job.isOver) {
                return false;
            }
            m_free += job.spec.need.cpu.value();
            if (it.endsAt <= m_now && !job.isOver && ++job.done == job.spec.taskCount) {
                job.isOver = true;
                job.completedAt = it.endsAt;
            }
            return true;
        });
    }

    void refuse(ReplayJob &job)
    {
        job.isOver = true;
        job.refusedAt = m_now;
    }

    void expire()
    {
        for (const std::size_t it : m_open) {
            ReplayJob &job = m_jobs[it];
            const Duration shortest = job.waiting > 0 ? job.spec.estimate * 3 / 5 : Duration{};
            const bool isTooLate = m_now + shortest >= job.deadline();
            const bool hasWaitedTooLong =
                    !m_usesOrder && m_now >= firstStartLimit(job.arrived, job.deadline());
            if (!isStarted(job) && (isTooLate || hasWaitedTooLong)) {
                refuse(job);
            } else if (isTooLate) {
                job.isOver = true;
            }
        }
    }

    void submit(std::size_t index)
    {
        ReplayJob &job = m_jobs[index];
        m_profiles.recordArrival(job.spec, job.work(job.spec.taskCount), m_now);
        if (!m_usesOrder) {
            AdmissionInputs inputs;
            inputs.usableCpu = static_cast<std::uint64_t>(m_rate);
            inputs.fitsNow = fits(job);
            inputs.minRunTime = job.spec.estimate * 3 / 5;
            inputs.jobWork = job.work(job.spec.taskCount);
            inputs.untilObjective = job.spec.objective;
            inputs.untilDeadline = job.spec.deadline;
            for (const std::size_t it : m_open) {
                const ReplayJob &other = m_jobs[it];
                const bool isAhead = other.objective() - other.spec.estimate
                                     < job.objective() - job.spec.estimate;
                inputs.queuedWorkAhead += isAhead ? other.work(other.waiting) : 0;
            }
            if (refusalRetryAfter(inputs)) {
                return refuse(job);
            }
        }
        m_open.push_back(index);
        if (m_usesOrder && !fits(job)) {
            for (const HopelessJob &it : orderWaitingJobs(view()).hopeless) {
                if (it.number.value() == index) {
                    m_open.pop_back();
                    return refuse(job);
                }
            }
        }
        m_profiles.recordAdmission(job.spec, job.work(job.spec.taskCount), m_now);
    }

    JobOrderView view() const
    {
        JobOrderView view{m_now, 0.85 * m_rate, m_profiles.arrivalRate(ServiceId{"s"}, m_now), {}};
        for (const std::size_t it : m_open) {
            const ReplayJob &job = m_jobs[it];
            if (job.waiting == 0 || job.isOver) {
                continue;
            }
            WaitingJob &waiting = view.jobs.emplace_back();
            waiting.number = JobNumber{it};
            waiting.priority = job.spec.priority;
            waiting.protection = jobProtection(job.spec.id);
            waiting.remainingWork = job.work(job.waiting);
            waiting.spentWork = job.work(job.spec.taskCount - job.waiting);
            waiting.taskWork = job.work(1);
            waiting.queueMeanWork = m_profiles.meanWork(job.spec.queue);
            waiting.arrived = job.arrived;
            waiting.latestStart = std::min(job.objective() - job.spec.estimate,
                                           job.deadline() - job.spec.estimate * 4 / 5);
            waiting.latestUsefulStart =
                    std::min(job.arrived + 3 * job.spec.objective, job.deadline())
                    - job.spec.estimate * 4 / 5;
            waiting.latestPossibleStart = job.deadline() - job.spec.estimate * 3 / 5;
            waiting.isStarted = isStarted(job);
            waiting.isNearlyDone = job.waiting * 3 <= job.spec.taskCount;
        }
        return view;
    }

    std::vector<std::size_t> order()
    {
        const JobOrder order = orderWaitingJobs(view());
        for (const HopelessJob &it : order.hopeless) {
            if (ReplayJob &job = m_jobs[it.number.value()]; !fits(job)) {
                refuse(job);
            }
        }
        std::vector<std::size_t> result;
        for (const JobNumber it : order.order) {
            result.push_back(it.value());
        }
        return result;
    }

    std::vector<std::size_t> formerOrder() const
    {
        std::vector<std::tuple<int, double, std::size_t>> ranked;
        for (const std::size_t it : m_open) {
            const ReplayJob &job = m_jobs[it];
            const TimePoint latestStart =
                    std::min(job.objective(), job.deadline() - job.spec.estimate * 2 / 5)
                    - job.spec.estimate;
            const bool isLate = latestStart < m_now;
            const bool isNearlyDone = job.waiting * 3 <= job.spec.taskCount;
            const bool comesFirst = isStarted(job) && (!isLate || isNearlyDone);
            const int rank = comesFirst ? 0 : isLate ? 2 : 1;
            const auto key = rank == 2 ? job.work(job.waiting)
                                       : static_cast<double>((isLate ? job.deadline() : latestStart)
                                                                     .time_since_epoch()
                                                                     .count());
            ranked.emplace_back(rank, key, it);
        }
        std::ranges::sort(ranked);
        std::vector<std::size_t> result;
        for (const auto &it : ranked) {
            result.push_back(std::get<2>(it));
        }
        return result;
    }

    void start(std::size_t index)
    {
        ReplayJob &job = m_jobs[index];
        while (!job.isOver && job.waiting > 0 && m_free >= job.spec.need.cpu.value()) {
            m_free -= job.spec.need.cpu.value();
            --job.waiting;
            m_runs.push_back({index, m_now + job.run});
        }
    }

    std::vector<ReplayJob> m_jobs;
    std::vector<std::size_t> m_open;
    std::vector<Run> m_runs;
    QueueProfiles m_profiles;
    double m_free;
    double m_rate;
    bool m_usesOrder;
    TimePoint m_now;
};

} // namespace rattandock::fleet::test
