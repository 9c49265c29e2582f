#include "rattandock/core/scheduler.hpp"

#include <algorithm>
#include <map>
#include <set>

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

    RetryVerdict sendAgain(const PlacedTask &it)
    {
        return scheduler.requeue(it.task, TaskSpec{"payload", 100ms, {}}, TeamId{}, TimePoint{60s},
                                 now);
    }

    std::size_t notes(NoteKind kind) const
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

// Guards against a storm of re-sends when a whole zone refuses, and against re-sends at once.
BOOST_AUTO_TEST_CASE(refusingZoneCausesFewResends)
{
    configure(30, 8);
    std::size_t starts = 0;
    std::size_t resends = 0;
    std::set<TaskRef> seen;
    for (std::uint64_t job = 1; job <= 400; ++job) {
        submit(job, 5);
        now += 2ms;
        for (const PlacedTask &it : dispatch()) {
            (seen.insert(it.task).second ? starts : resends) += 1;
            end(it, AttemptNotStarted{NotStartedReason::ConnectionRefused});
            if (sendAgain(it) == RetryVerdict::BudgetEmpty) {
                scheduler.withdraw(it.task.job);
            }
        }
    }
    BOOST_TEST(starts > 400);
    BOOST_TEST(resends > 0);
    BOOST_TEST(resends <= starts / 10 + 10);
    BOOST_TEST(scheduler.runningTasks() == 0);
}

// Guards against a delayed task that is forgotten, or that starts before its backoff is over.
BOOST_AUTO_TEST_CASE(unstartedTaskStartsAgainAfterItsBackoff)
{
    configure(2, 1);
    submit(1, 1);
    const auto first = dispatch();
    BOOST_REQUIRE_EQUAL(first.size(), 1);
    end(first[0], AttemptNotStarted{NotStartedReason::UpstreamRefused});
    BOOST_TEST((sendAgain(first[0]) == RetryVerdict::Requeued));
    BOOST_TEST(dispatch().empty());
    const auto due = scheduler.nextTimer();
    BOOST_REQUIRE(due.has_value());
    BOOST_TEST((*due >= now + 5ms));
    BOOST_TEST((*due <= now + 15ms));
    now = *due;
    BOOST_TEST(dispatch().size() == 1);
    BOOST_TEST(!scheduler.nextTimer().has_value());
}

// Guards against an upstream that fails everything and goes on getting tasks, or never again.
BOOST_AUTO_TEST_CASE(failingUpstreamIsSetAsideAndRestoredByOneTask)
{
    configure(3, 1);
    std::map<UpstreamId, std::size_t> failures;
    const UpstreamId broken{"0"};
    for (std::uint64_t job = 1; job <= 60; ++job) {
        submit(job, 1);
        for (const PlacedTask &it : dispatch()) {
            if (it.upstream == broken) {
                end(it, AttemptFailed{AttemptFailure::BadStatus});
                ++failures[it.upstream];
            } else {
                end(it);
            }
        }
        now += 10ms;
    }
    BOOST_TEST(failures[broken] == 5);
    BOOST_TEST(notes(NoteKind::UpstreamSetAside) == 1);
    now += 2s;
    submit(100, 6);
    std::size_t onProbe = 0;
    for (const PlacedTask &it : dispatch()) {
        onProbe += it.upstream == broken ? 1 : 0;
        if (it.upstream == broken) {
            BOOST_TEST(it.reason == "probe");
        }
        end(it);
    }
    BOOST_TEST(onProbe == 1);
    BOOST_TEST(notes(NoteKind::UpstreamRestored) == 1);
}

// Guards against upstreams that are blamed for attempts which the dispatcher itself stopped.
BOOST_AUTO_TEST_CASE(stoppedAttemptsDoNotCountAsFailures)
{
    configure(3, 1);
    for (std::uint64_t job = 1; job <= 30; ++job) {
        submit(job, 1);
        for (const PlacedTask &it : dispatch()) {
            scheduler.withdraw(it.task.job);
            end(it, AttemptFailed{AttemptFailure::ConnectionLost});
        }
    }
    BOOST_TEST(notes(NoteKind::UpstreamSetAside) == 0);
}

// Guards against a task that waits for ever since no upstream of its size exists, or that blocks
// others while the only upstream of its size is busy.
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

// Guards against a leaving upstream that gets work again through a re-send or a new job.
BOOST_AUTO_TEST_CASE(leavingUpstreamGetsNoNewWork)
{
    configure(1, 1);
    submit(1, 2);
    const auto first = dispatch();
    BOOST_REQUIRE_EQUAL(first.size(), 1);
    scheduler.seeUpstream(first[0].upstream, UpstreamLife::Leaving, now, actions);
    BOOST_TEST(notes(NoteKind::UpstreamLeaving) == 1);
    end(first[0]);
    BOOST_TEST(dispatch().empty());
    JobSpec job;
    job.deadline = 10s;
    job.tasks.resize(1, TaskSpec{"payload", 100ms, {}});
    const auto refusal = scheduler.refusalFor(job, now);
    BOOST_REQUIRE(refusal);
    BOOST_TEST((refusal->reason == RefusalReason::NoUpstreams));
}

// Guards against a timer in the past while a task waits for a faster slot that is overdue.
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

BOOST_AUTO_TEST_SUITE_END()
