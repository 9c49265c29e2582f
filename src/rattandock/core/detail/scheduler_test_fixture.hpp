#pragma once

#include <algorithm>

#include "rattandock/core/scheduler.hpp"

namespace rattandock::core::detail {

using namespace std::chrono_literals;

/// Drives a Scheduler with upstreams "0", "1", ... and tasks of 100 ms by a virtual clock.
struct SchedulerTestFixture
{
    SchedulerTestFixture()
        : scheduler(DispatcherOptions{}, 1)
    {
    }

    void configure(std::uint32_t upstreams, std::uint32_t slots,
                   const std::vector<TeamSpec> &teams = {})
    {
        std::vector<UpstreamSpec> specs;
        for (std::uint32_t n = 0; n < upstreams; ++n) {
            UpstreamSpec &it = specs.emplace_back();
            it.id = UpstreamId{std::to_string(n)};
            it.slots = Slots{slots};
        }
        scheduler.configure(specs, teams, now);
    }

    void submit(std::uint64_t handle, std::size_t tasks, Duration deadline = 60s,
                const char *team = "")
    {
        JobSpec job;
        job.team = TeamId{team};
        job.deadline = deadline;
        job.tasks.resize(tasks, TaskSpec{"payload", 100ms, {}});
        scheduler.enqueue(JobHandle{handle}, job, now);
    }

    std::vector<PlacedTask> dispatch()
    {
        std::vector<PlacedTask> placed;
        scheduler.dispatch(now, placed);
        return placed;
    }

    void end(const PlacedTask &it, const AttemptResult &result = AttemptCompleted{})
    {
        scheduler.attemptEnded(it.task, it.upstream, result, 100ms, now, actions);
    }

    RequeueResult requeue(const PlacedTask &it)
    {
        return scheduler.requeue(it.task, TaskSpec{"payload", 100ms, {}}, TeamId{}, TimePoint{60s},
                                 now);
    }

    std::size_t countNotes(NoteKind kind) const
    {
        return static_cast<std::size_t>(std::ranges::count_if(actions, [kind](const Action &it) {
            const Note *note = std::get_if<Note>(&it);
            return note != nullptr && note->kind == kind;
        }));
    }

    Scheduler scheduler;
    TimePoint now{1s};
    Actions actions;
};

} // namespace rattandock::core::detail
