#include "rattandock/core/scheduler.hpp"

#include <boost/test/unit_test.hpp>

using namespace rattandock;
using namespace rattandock::core;
using namespace std::chrono_literals;

namespace {

struct Fixture
{
    Fixture()
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

    Scheduler scheduler;
    TimePoint now{1s};
    Actions actions;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(SchedulerTest, Fixture)

// Guards against a decision thread that spins on a past time while all slots are busy.
BOOST_AUTO_TEST_CASE(noTimerWhileTasksWaitOnlyForSlots)
{
    configure(1, 2);
    submit(1, 5);
    BOOST_TEST(dispatch().size() == 2);
    BOOST_TEST(scheduler.queuedTasks() == 3);
    BOOST_TEST(!scheduler.nextTimer().has_value());
}

// Guards against a large job that holds up a small job of another team, and the reverse.
BOOST_AUTO_TEST_CASE(largeAndSmallJobsOfTwoTeamsBothProceed)
{
    configure(2, 4);
    submit(1, 200, 60s, "large");
    std::vector<PlacedTask> running = dispatch();
    submit(2, 4, 60s, "small");
    std::size_t smallStarts = 0;
    std::size_t largeStarts = 0;
    for (int n = 0; n < 16; ++n) {
        end(running.front());
        running.erase(running.begin());
        for (const PlacedTask &it : dispatch()) {
            (it.task.job == JobHandle{2} ? smallStarts : largeStarts) += 1;
            running.push_back(it);
        }
    }
    BOOST_TEST(smallStarts == 4);
    BOOST_TEST(largeStarts == 12);
}

// Guards against a stream of small jobs that puts off a large job of the same team for ever.
BOOST_AUTO_TEST_CASE(smallJobsDoNotStarveALargeJobOfTheirTeam)
{
    configure(1, 4);
    submit(1, 40, 3s);
    std::vector<PlacedTask> running = dispatch();
    std::size_t largeStarts = running.size();
    for (std::uint64_t n = 0; n < 40; ++n) {
        submit(2 + n, 4, 2s);
        now += 100ms;
        for (const PlacedTask &it : running) {
            end(it);
        }
        running = dispatch();
        for (const PlacedTask &it : running) {
            largeStarts += it.task.job == JobHandle{1} ? 1 : 0;
        }
    }
    BOOST_TEST(largeStarts == 40);
}

// Guards against withdrawn tasks that start.
BOOST_AUTO_TEST_CASE(withdrawnTasksNeverStart)
{
    configure(1, 1);
    submit(1, 3);
    submit(2, 1);
    const auto first = dispatch();
    BOOST_REQUIRE_EQUAL(first.size(), 1);
    scheduler.withdraw(JobHandle{1});
    scheduler.withdraw(JobHandle{2});
    end(first[0]);
    BOOST_TEST(dispatch().empty());
    BOOST_TEST(scheduler.queuedTasks() == 0);
    BOOST_TEST(scheduler.runningTasks() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
