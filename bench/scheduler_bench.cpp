#include <cmath>
#include <deque>
#include <random>

#include <benchmark/benchmark.h>

#include "rattandock/core/scheduler.hpp"

using namespace rattandock;
using namespace rattandock::core;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t tasksPerJob = 20;
constexpr std::uint32_t slotsPerUpstream = 8;

JobSpec makeJob(std::mt19937_64 &random, std::size_t tasks, std::uint64_t team)
{
    std::uniform_int_distribution<Duration::rep> estimate{50'000, 2'000'000};
    JobSpec job;
    job.team = TeamId{std::to_string(team)};
    job.deadline = Duration{estimate(random) + 30'000'000};
    for (std::size_t n = 0; n < tasks; ++n) {
        job.tasks.push_back(TaskSpec{"payload", Duration{estimate(random)}, {}});
    }
    return job;
}

/// A zone with all slots busy, speeds spread by 1:4, and a queue of the wanted length.
struct Zone
{
    Zone(std::uint32_t upstreams, std::size_t queuedTasks, PlacementPolicyKind policy)
        : scheduler(options(policy), 1)
        , random(2)
        , wantedTasks(queuedTasks)
    {
        std::vector<UpstreamSpec> specs;
        for (std::uint32_t n = 0; n < upstreams; ++n) {
            UpstreamSpec &it = specs.emplace_back();
            it.id = UpstreamId{std::to_string(n)};
            it.rack = RackId{std::to_string(n / 8)};
            it.slots = Slots{slotsPerUpstream};
            costs[it.id] = std::pow(4.0, n / (upstreams - 1.0)) / 2.0;
        }
        scheduler.configure(specs, {}, now);
        fill();
        dispatch();
        fill();
        // Learns the speeds.
        for (std::uint32_t n = 0; n < upstreams * slotsPerUpstream * 8; ++n) {
            decide();
            fill();
        }
    }

    static DispatcherOptions options(PlacementPolicyKind policy)
    {
        DispatcherOptions options;
        options.placement = policy;
        return options;
    }

    void fill()
    {
        while (scheduler.queuedTasks() < wantedTasks) {
            const std::uint64_t job = nextJob++;
            scheduler.enqueue(JobHandle{job}, makeJob(random, tasksPerJob, job % 10), now);
        }
    }

    void dispatch()
    {
        placed.clear();
        scheduler.dispatch(now, placed);
        running.insert(running.end(), placed.begin(), placed.end());
    }

    /// One task ends and the next one is placed.
    void decide()
    {
        now += 100us;
        const PlacedTask it = running.front();
        running.pop_front();
        const Duration elapsed{static_cast<Duration::rep>(1e6 * costs.at(it.upstream))};
        scheduler.attemptEnded(it.task, it.upstream, AttemptCompleted{}, elapsed, now, actions);
        dispatch();
        actions.clear();
    }

    Scheduler scheduler;
    std::mt19937_64 random;
    std::size_t wantedTasks;
    TimePoint now{1s};
    std::unordered_map<UpstreamId, double> costs;
    std::deque<PlacedTask> running;
    std::vector<PlacedTask> placed;
    Actions actions;
    std::uint64_t nextJob = 1;
};

/// The end of one task and the placement of the next; enqueueing is not timed.
void placementDecision(benchmark::State &state, PlacementPolicyKind policy)
{
    Zone zone{static_cast<std::uint32_t>(state.range(0)), static_cast<std::size_t>(state.range(1)),
              policy};
    std::size_t sinceFill = 0;
    for (auto run : state) {
        zone.decide();
        if (++sinceFill == tasksPerJob) {
            state.PauseTiming();
            zone.fill();
            sinceFill = 0;
            state.ResumeTiming();
        }
    }
}
BENCHMARK_CAPTURE(placementDecision, speedAware, PlacementPolicyKind::SpeedAware)
        ->ArgNames({"upstreams", "queued"})
        ->Args({10, 2000})
        ->Args({50, 2000})
        ->Args({167, 2000})
        ->Args({1000, 2000});
BENCHMARK_CAPTURE(placementDecision, leastOutstanding, PlacementPolicyKind::LeastOutstanding)
        ->ArgNames({"upstreams", "queued"})
        ->Args({167, 2000});

/// A job enters a queue of 2,000 tasks and is withdrawn.
void enqueueAndWithdraw(benchmark::State &state)
{
    Zone zone{167, 2000, PlacementPolicyKind::SpeedAware};
    const JobSpec job = makeJob(zone.random, static_cast<std::size_t>(state.range(0)), 3);
    for (auto run : state) {
        const JobHandle handle{zone.nextJob++};
        zone.scheduler.enqueue(handle, job, zone.now);
        zone.scheduler.withdraw(handle);
    }
}
BENCHMARK(enqueueAndWithdraw)->ArgName("tasks")->Arg(1)->Arg(200);

/// The admission check of a job against a queue of 2,000 tasks.
void admissionCheck(benchmark::State &state)
{
    Zone zone{167, 2000, PlacementPolicyKind::SpeedAware};
    const JobSpec job = makeJob(zone.random, static_cast<std::size_t>(state.range(0)), 3);
    for (auto run : state) {
        benchmark::DoNotOptimize(zone.scheduler.refusalFor(job, zone.now));
    }
}
BENCHMARK(admissionCheck)->ArgName("tasks")->Arg(1)->Arg(200);

} // namespace
