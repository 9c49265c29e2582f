// Memory per finished job record and per queued task, from the allocator's own count.
#include <benchmark/benchmark.h>
#include <malloc.h>

#include "rattandock/core/dispatcher.hpp"

using namespace rattandock;
using namespace rattandock::core;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t tasksPerJob = 20;

Dispatcher makeDispatcher(TimePoint now, Actions &actions)
{
    DispatcherOptions options;
    options.vm = VmId{"vm-1"};
    options.maxQueuedTasks = 10'000'000;
    Dispatcher dispatcher{options, 1};
    std::vector<UpstreamSpec> upstreams(167);
    for (std::size_t n = 0; n < upstreams.size(); ++n) {
        upstreams[n].id = UpstreamId{"upstream-" + std::to_string(n)};
    }
    dispatcher.handle(ConfigurationAccepted{ConfigurationVersion{1}, upstreams, {}}, now, actions);
    return dispatcher;
}

JobSpec makeJob(const Dispatcher &dispatcher, std::size_t n, TimePoint now)
{
    JobSpec job;
    job.id = JobId{format(dispatcher.issueToken(now)) + "/job-" + std::to_string(n)};
    job.deadline = 60s;
    job.tasks.resize(tasksPerJob, TaskSpec{"", 1ms, {}});
    return job;
}

/// Submits jobs and, when asked, ends all their tasks.
void runJobs(Dispatcher &dispatcher, std::size_t count, bool end, TimePoint now)
{
    for (std::size_t n = 0; n < count; ++n) {
        Actions actions;
        dispatcher.handle(JobSubmitted{CallerRequestId{n}, makeJob(dispatcher, n, now)}, now,
                          actions);
        for (std::size_t it = 0; end && it < actions.size(); ++it) {
            if (const auto *start = std::get_if<StartTask>(&actions[it])) {
                const AttemptId attempt = start->attempt;
                dispatcher.handle(AttemptEnded{attempt, AttemptCompleted{}, 1ms, false}, now,
                                  actions);
            }
        }
    }
}

void measure(benchmark::State &state, bool end, std::size_t unitsPerJob)
{
    const auto count = static_cast<std::size_t>(state.range(0));
    const TimePoint now{1s};
    for (auto _ : state) {
        Actions actions;
        Dispatcher dispatcher = makeDispatcher(now, actions);
        const std::size_t before = mallinfo2().uordblks;
        runJobs(dispatcher, count, end, now);
        const std::size_t after = mallinfo2().uordblks;
        state.counters["bytes"] =
                static_cast<double>(after - before) / static_cast<double>(count * unitsPerJob);
        state.counters["records"] = static_cast<double>(dispatcher.status().records);
        state.counters["queued"] = static_cast<double>(dispatcher.status().queuedTasks);
    }
}

void BM_finishedRecord(benchmark::State &state)
{
    measure(state, true, 1);
}
void BM_queuedTask(benchmark::State &state)
{
    measure(state, false, tasksPerJob);
}

} // namespace

BENCHMARK(BM_finishedRecord)->Arg(1000)->Arg(10'000)->Iterations(1);
BENCHMARK(BM_queuedTask)->Arg(1000)->Arg(10'000)->Iterations(1);
