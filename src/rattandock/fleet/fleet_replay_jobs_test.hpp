#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <numbers>
#include <random>
#include <string>
#include <vector>

#include "rattandock/fleet/fleet_job.hpp"

/// Workload of a fleet replay: three queues of short, long and medium jobs in several zones.
namespace rattandock::fleet::fleet_replay {

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
inline constexpr std::size_t longQueue = 1;

/// A share of all jobs that a zone's callers send, and the phase of its wave of load.
struct ZoneLoad
{
    double share;
    double phase;
};
inline constexpr std::array<ZoneLoad, 4> zoneLoads{
        {{.230, .1}, {.288, .18}, {.209, .26}, {.273, .34}}};

struct JobTimes
{
    FleetJob spec;
    TimePoint arrived;
    std::size_t zone = 0;
    /// Index of its queue in `queueLoads`.
    std::size_t queue = 0;
    /// Run time of each task on an upstream of speed 1.
    std::vector<Duration> tasks;
    /// Index of the caller within its zone.
    std::size_t caller = 0;

    /// Returns the CPU time that the job takes on upstreams of speed 1.
    double work() const
    {
        double sum = 0;
        for (const Duration it : tasks) {
            sum += spec.need.cpu.value() * static_cast<double>(it.count());
        }
        return sum;
    }
};

struct JobLoad
{
    std::uint64_t seed = 1;
    /// Mean rate of all zones and queues together.
    double perSecond = 743;
    TimePoint from;
    Duration length{};
    /// Amplitude of each zone's wave, with a period of 17 s.
    double swing = 0.55;
    /// Factor on the rate for `burstLength` from `burstAt` on, counted from `from`.
    double burst = 1;
    Duration burstAt = 8s;
    Duration burstLength = 4s;
    /// How long callers wait.
    Duration deadline = 1500ms;
    std::size_t zones = zoneLoads.size();
    std::size_t callersPerZone = 29;
};

inline Duration scaledBy(Duration time, double factor)
{
    return Duration{static_cast<Duration::rep>(static_cast<double>(time.count()) * factor)};
}

/// Returns a log-normal value with this mean, where `spread` is the deviation of the logarithm.
inline double drawAround(std::mt19937_64 &random, double mean, double spread)
{
    std::normal_distribution<double> normal;
    return mean * std::exp(spread * normal(random) - spread * spread / 2);
}

inline JobTimes drawJob(std::mt19937_64 &random, std::size_t queue, const JobLoad &load)
{
    constexpr double longShare = 0.03;
    constexpr double longFactor = 7;
    std::uniform_real_distribution<double> uniform;
    const QueueLoad &it = queueLoads.at(queue);
    JobTimes job;
    job.queue = queue;
    job.caller =
            static_cast<std::size_t>(uniform(random) * static_cast<double>(load.callersPerZone));
    FleetJob &spec = job.spec;
    spec.queue = QueueId{std::string{"q"} + std::to_string(it.priority)};
    spec.service = ServiceId{"s"};
    spec.priority = it.priority;
    spec.maxAttempts = 3;
    const double width = std::round(drawAround(random, it.tasks, 0.4));
    spec.taskCount = static_cast<std::uint32_t>(std::clamp(width, 1.0, 4 * it.tasks));
    const double cpu = std::min(drawAround(random, 16'000, 0.2), 24'000.0);
    spec.need = {MilliCores{static_cast<std::uint32_t>(cpu)}, Megabytes{64}, Accelerators{0}};
    const double tail = uniform(random) < longShare ? longFactor : 1;
    const double millis = drawAround(random, it.millis, 0.4) * tail;
    const Duration run = scaledBy(1ms, std::min(millis, 10.6 * it.millis));
    std::normal_distribution<double> normal;
    spec.estimate = scaledBy(run, std::exp(0.4 * normal(random)));
    spec.stretch = 1.6;
    spec.objective = scaledBy(spec.estimate, spec.stretch) + 60ms;
    spec.deadline = load.deadline;
    for (std::uint32_t n = 0; n < spec.taskCount; ++n) {
        job.tasks.push_back(scaledBy(run, std::exp(0.15 * normal(random))));
    }
    return job;
}

/// Draws the jobs of all zones, ordered by their arrival. The same load gives the same jobs.
inline std::vector<JobTimes> drawJobs(const JobLoad &load)
{
    constexpr double period = 17;
    std::mt19937_64 random{load.seed};
    std::uniform_real_distribution<double> uniform;
    std::discrete_distribution<std::size_t> queues{queueLoads[0].perSecond, queueLoads[1].perSecond,
                                                   queueLoads[2].perSecond};
    std::vector<JobTimes> jobs;
    const double end = static_cast<double>(load.length / 1ms) / 1000;
    for (std::size_t zone = 0; zone < load.zones; ++zone) {
        const ZoneLoad &shape = zoneLoads.at(zone);
        const double mean = load.perSecond * shape.share;
        const double peak = mean * (1 + load.swing) * load.burst;
        std::exponential_distribution<double> gap{peak};
        for (double at = gap(random); at < end; at += gap(random)) {
            const Duration offset = scaledBy(1s, at);
            const bool isBurst = offset >= load.burstAt && offset < load.burstAt + load.burstLength;
            const double wave = std::sin(2 * std::numbers::pi * (at / period + shape.phase));
            const double rate = mean * (1 + load.swing * wave) * (isBurst ? load.burst : 1);
            if (uniform(random) * peak >= rate) {
                continue;
            }
            JobTimes job = drawJob(random, queues(random), load);
            job.arrived = load.from + offset;
            job.zone = zone;
            jobs.push_back(std::move(job));
        }
    }
    std::ranges::sort(jobs, {}, &JobTimes::arrived);
    for (std::size_t n = 0; n < jobs.size(); ++n) {
        jobs[n].spec.id = JobId{std::string{"job-"} + std::to_string(n)};
    }
    return jobs;
}

} // namespace rattandock::fleet::fleet_replay
