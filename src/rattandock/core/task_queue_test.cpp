#include "rattandock/core/task_queue.hpp"

#include <boost/test/unit_test.hpp>

using namespace rattandock;
using namespace rattandock::core;
using namespace std::chrono_literals;

namespace {

constexpr TeamIndex team{0};

std::vector<QueuedTask> tasks(std::uint32_t count, Duration estimate, FitMask fit = 1)
{
    std::vector<QueuedTask> made;
    for (std::uint32_t n = 0; n < count; ++n) {
        made.push_back({TaskIndex{n}, {}, estimate + n * 1ms, 10, fit});
    }
    return made;
}

JobHandle firstJob(const TaskQueue &queue, FitMask fit = 1)
{
    return queue.lanes(team).at(fit).begin()->job;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TaskQueueTest)

// Guards against ordering a job with a later deadline before an urgent one, or a job with more
// unstarted tasks before a smaller one with the same deadline.
BOOST_AUTO_TEST_CASE(ordersByDeadlineThenByFewestRemainingTasks)
{
    TaskQueue queue;
    queue.add(JobHandle{1}, team, TimePoint{9s}, tasks(1, 10ms));
    queue.add(JobHandle{2}, team, TimePoint{5s}, tasks(3, 10ms));
    queue.add(JobHandle{3}, team, TimePoint{5s}, tasks(2, 10ms));
    BOOST_TEST(firstJob(queue) == JobHandle{3});
    queue.takeLongest(JobHandle{2}, 1);
    queue.takeLongest(JobHandle{2}, 1);
    BOOST_TEST(firstJob(queue) == JobHandle{2});
    queue.withdraw(JobHandle{2});
    queue.withdraw(JobHandle{3});
    BOOST_TEST(firstJob(queue) == JobHandle{1});
}

// Guards against losing, duplicating or miscounting tasks that are taken from both ends of a lane.
BOOST_AUTO_TEST_CASE(takesLongestAndShortestOnceEach)
{
    TaskQueue queue;
    queue.add(JobHandle{1}, team, TimePoint{5s}, tasks(4, 10ms));
    BOOST_TEST(queue.takeLongest(JobHandle{1}, 1).task == TaskIndex{3});
    BOOST_TEST(queue.takeShortest(JobHandle{1}, 1).task == TaskIndex{0});
    BOOST_TEST(queue.takeShortest(JobHandle{1}, 1).task == TaskIndex{1});
    BOOST_TEST(queue.remaining(JobHandle{1}) == 1);
    BOOST_TEST(queue.takeLongest(JobHandle{1}, 1).task == TaskIndex{2});
    BOOST_TEST(queue.size() == 0);
    BOOST_TEST(queue.bytes() == 0);
    BOOST_TEST(!queue.hasReady(team));
}

// Guards against releasing a task before its backoff has ended or after its job was withdrawn.
BOOST_AUTO_TEST_CASE(delayedTasksAreReleasedOnTimeAndRemovedWithTheirJob)
{
    TaskQueue queue;
    const auto two = tasks(2, 10ms);
    queue.addDelayed(JobHandle{1}, team, TimePoint{5s}, two[0], TimePoint{20ms});
    queue.addDelayed(JobHandle{2}, team, TimePoint{5s}, two[1], TimePoint{10ms});
    std::vector<TeamIndex> released;
    queue.release(TimePoint{9ms}, released);
    BOOST_TEST(released.empty());
    BOOST_TEST((queue.nextRelease() == TimePoint{10ms}));
    queue.release(TimePoint{10ms}, released);
    BOOST_TEST(released.size() == 1);
    BOOST_TEST(firstJob(queue) == JobHandle{2});
    const auto withdrawn = queue.withdraw(JobHandle{1});
    BOOST_REQUIRE(withdrawn.has_value());
    BOOST_TEST(withdrawn->tasks == 1);
    BOOST_TEST((withdrawn->work == 10ms));
    BOOST_TEST(!queue.nextRelease().has_value());
    BOOST_TEST(!queue.withdraw(JobHandle{1}).has_value());
}

// Guards against tasks that stay in the lanes of an old configuration after their fit has changed.
BOOST_AUTO_TEST_CASE(updateFitsMovesReadyAndDelayedTasks)
{
    TaskQueue queue;
    queue.add(JobHandle{1}, team, TimePoint{5s}, tasks(2, 10ms));
    queue.addDelayed(JobHandle{1}, team, TimePoint{5s}, tasks(3, 10ms)[2], TimePoint{10ms});
    queue.updateFits([](QueuedTask &it) { it.fit = 4; });
    std::vector<TeamIndex> released;
    queue.release(TimePoint{10ms}, released);
    BOOST_TEST(queue.lanes(team).size() == 1);
    BOOST_TEST(firstJob(queue, 4) == JobHandle{1});
    for (int n = 0; n < 3; ++n) {
        queue.takeLongest(JobHandle{1}, 4);
    }
    BOOST_TEST(queue.size() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
