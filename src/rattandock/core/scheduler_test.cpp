#include <algorithm>

#include <boost/test/unit_test.hpp>

#include "detail/scheduler_test_fixture.hpp"

using namespace rattandock;
using namespace rattandock::core;
using namespace std::chrono_literals;

BOOST_FIXTURE_TEST_SUITE(SchedulerTest, detail::SchedulerTestFixture)

// Guards against a timer in the past while all slots are busy, which makes the decision thread
// spin.
BOOST_AUTO_TEST_CASE(noTimerWhileTasksWaitOnlyForSlots)
{
    configure(1, 2);
    submit(1, 5);
    BOOST_TEST(dispatch().size() == 2);
    BOOST_TEST(scheduler.queuedTasks() == 3);
    BOOST_TEST(!scheduler.nextTimer().has_value());
}

// Guards against a large job that blocks a small job of another team, and the reverse.
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

// Guards against starvation of a large job by a stream of small jobs of the same team.
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

// Guards against tasks that are started after their job was withdrawn.
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

// Guards against a task that is queued although no upstream is large enough, and against a task
// that blocks others while the only upstream that fits it is busy.
BOOST_AUTO_TEST_CASE(tasksOfAllSizesProceedOrAreRefused)
{
    std::vector<UpstreamSpec> specs(2);
    specs[0].id = UpstreamId{"small"};
    specs[0].slots = Slots{4};
    specs[0].capacity.cores = Cores{4};
    specs[1].id = UpstreamId{"large"};
    specs[1].slots = Slots{1};
    scheduler.configure(specs, {}, now);
    JobSpec job;
    job.deadline = 10s;
    job.tasks.resize(1, TaskSpec{"payload", 100ms, {Cores{65}, {}, {}}});
    const auto refusal = scheduler.refusalFor(job, now);
    BOOST_REQUIRE(refusal);
    BOOST_TEST((refusal->reason == RefusalReason::NoUpstreamFits));
    job.tasks.assign(3, TaskSpec{"payload", 100ms, {Cores{16}, {}, {}}});
    BOOST_TEST(!scheduler.refusalFor(job, now));
    scheduler.enqueue(JobHandle{1}, job, now);
    submit(2, 2);
    const auto placed = dispatch();
    BOOST_TEST(placed.size() == 3);
    const auto large = std::ranges::find(placed, JobHandle{1},
                                         [](const PlacedTask &it) { return it.task.job; });
    BOOST_REQUIRE((large != placed.end()));
    BOOST_TEST(large->upstream.value() == "large");
    end(*large);
    BOOST_TEST(dispatch().size() == 1);
}

// Guards against a timer in the past while a task waits for a faster slot whose running task takes
// longer than expected.
BOOST_AUTO_TEST_CASE(waitingForAFastSlotSetsATimerAhead)
{
    configure(2, 1);
    for (std::uint64_t job = 1; job <= 60; ++job) {
        submit(job, 2);
        while (scheduler.queuedTasks() > 0) {
            for (const PlacedTask &it : dispatch()) {
                scheduler.attemptEnded(it.task, it.upstream, AttemptCompleted{},
                                       it.upstream == UpstreamId{"0"} ? 25ms : 400ms, now, actions);
            }
        }
    }
    submit(100, 1);
    const auto fast = dispatch();
    BOOST_REQUIRE_EQUAL(fast.size(), 1);
    BOOST_TEST(fast[0].upstream.value() == "0");
    submit(101, 1);
    BOOST_TEST(dispatch().empty());
    std::size_t timers = 0;
    std::vector<PlacedTask> placed;
    while (placed.empty() && timers < 100) {
        const auto due = scheduler.nextTimer();
        BOOST_REQUIRE(due.has_value());
        BOOST_REQUIRE((*due > now));
        now = *due;
        ++timers;
        placed = dispatch();
    }
    BOOST_REQUIRE_EQUAL(placed.size(), 1);
    BOOST_TEST(placed[0].upstream.value() == "1");
    BOOST_TEST(timers <= 20);
}

// Guards against placing a long task on a slow upstream while shorter tasks of the same job are
// queued.
BOOST_AUTO_TEST_CASE(slowUpstreamsTakeTheShortestTaskOfALongQueue)
{
    configure(2, 2);
    submit(1, 1);
    for (std::uint64_t n = 0; n < 200; ++n) {
        submit(2 + n, 4);
        for (const PlacedTask &it : dispatch()) {
            const Duration elapsed = it.upstream == UpstreamId{"0"} ? 50ms : 200ms;
            scheduler.attemptEnded(it.task, it.upstream, AttemptCompleted{}, elapsed, now, actions);
        }
    }
    while (scheduler.queuedTasks() > 0) {
        for (const PlacedTask &it : dispatch()) {
            const Duration elapsed = it.upstream == UpstreamId{"0"} ? 50ms : 200ms;
            scheduler.attemptEnded(it.task, it.upstream, AttemptCompleted{}, elapsed, now, actions);
        }
        now += 1s;
    }
    JobSpec job;
    job.deadline = 60s;
    for (int n = 0; n < 8; ++n) {
        job.tasks.push_back(TaskSpec{"payload", 100ms * (n + 1), {}});
    }
    scheduler.enqueue(JobHandle{1000}, job, now);
    const auto placed = dispatch();
    BOOST_REQUIRE_EQUAL(placed.size(), 4);
    for (const PlacedTask &it : placed) {
        if (it.upstream == UpstreamId{"0"}) {
            BOOST_TEST(it.reason == "fastest-for-longest");
            BOOST_TEST(it.task.task.value() >= 6);
        } else {
            BOOST_TEST(it.reason == "slow-for-shortest");
            BOOST_TEST(it.task.task.value() <= 1);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
