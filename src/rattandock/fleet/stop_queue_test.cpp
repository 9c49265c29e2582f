#include "rattandock/fleet/stop_queue.hpp"

#include <boost/test/unit_test.hpp>

using namespace rattandock;
using namespace rattandock::fleet;
using namespace std::chrono_literals;

namespace {

constexpr Duration repeatInterval = 200ms;

struct Fixture
{
    static ActiveRun run(std::uint32_t task) { return {{"job", 0, 0, task}, RunNumber{1}}; }
    std::vector<ActiveRun> take(std::size_t maxOpen = 4) { return queue.takeDue(now, maxOpen); }

    TimePoint now{10s};
    StopQueue queue{repeatInterval};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(StopQueueTest, Fixture)

// Guards against more orders than the upstream has connections for, and against an order that waits
// for anything but a connection.
BOOST_AUTO_TEST_CASE(sendsTheNextOrderAsSoonAsOneIsAnswered)
{
    for (std::uint32_t task = 0; task < 10; ++task) {
        queue.add(run(task), now + 1s, now);
    }
    BOOST_TEST((take() == std::vector{run(0), run(1), run(2), run(3)}));
    BOOST_TEST(take().empty());
    queue.answered(run(1), true, now);
    BOOST_TEST((take() == std::vector{run(4)}));
    BOOST_TEST(queue.openCount() == 4);
}

// Guards against a run that outlives its job because an upstream refuses some orders, and against
// orders without end to one that refuses all.
BOOST_AUTO_TEST_CASE(repeatsARefusedOrderAtOnceAndLaterRarely)
{
    queue.add(run(0), now + 1s, now);
    const TimePoint added = now;
    std::size_t early = 0;
    std::size_t late = 0;
    while (now < added + 3s) {
        if (!take().empty()) {
            ++(now < added + 600ms ? early : late);
            queue.answered(run(0), false, now);
        }
        BOOST_REQUIRE(queue.nextDue().has_value());
        now = *queue.nextDue();
    }
    BOOST_TEST(early >= 20);
    BOOST_TEST(late <= 15);
}

// Guards against a VM that is kept busy by an upstream which refuses hundreds of orders.
BOOST_AUTO_TEST_CASE(boundsTheOrdersToAnUpstreamThatRefusesAll)
{
    constexpr std::size_t runs = 300;
    for (std::uint32_t task = 0; task < runs; ++task) {
        queue.add(run(task), now + 1s, now);
    }
    std::size_t orders = 0;
    for (const TimePoint end = now + 1s; now < end; now += 1ms) {
        for (const ActiveRun &it : take(38)) {
            ++orders;
            queue.answered(it, false, now);
        }
    }
    BOOST_TEST(orders >= 3 * runs);
    BOOST_TEST(orders <= runs + 1100);
}

// Guards against a run that goes on because its order was lost or is executed seconds late.
BOOST_AUTO_TEST_CASE(repeatsAnOrderWithoutAnAnswer)
{
    queue.add(run(0), now + 1s, now);
    BOOST_TEST(take().size() == 1);
    now += 49ms;
    BOOST_TEST(take().empty());
    now += 51ms;
    BOOST_TEST(take().size() == 1);
    BOOST_TEST(queue.openCount() == 2);
    queue.answered(run(0), true, now);
    // The first order has failed meanwhile.
    queue.answered(run(0), false, now);
    BOOST_TEST(queue.openCount() == 0);
    now += repeatInterval - 1ms;
    BOOST_TEST(take().empty());
}

// Guards against a run that goes on although the upstream has accepted the order.
BOOST_AUTO_TEST_CASE(repeatsAnAcceptedOrderUntilTheRunHasEnded)
{
    queue.add(run(0), now + 1s, now);
    take();
    queue.answered(run(0), true, now);
    now += repeatInterval - 1ms;
    BOOST_TEST(take().empty());
    now += 1ms;
    BOOST_TEST(take().size() == 1);
    queue.remove(run(0));
    queue.answered(run(0), true, now);
    now += repeatInterval;
    BOOST_TEST(take().empty());
    BOOST_TEST(queue.openCount() == 0);
}

// Guards against a place that is free twice: the order of a run that has ended still has its
// connection, and answers to a former keeper's orders free none.
BOOST_AUTO_TEST_CASE(countsOrdersUntilTheirAnswer)
{
    queue.add(run(0), now + 1s, now);
    queue.add(run(1), now + 1s, now);
    BOOST_TEST(take(1).size() == 1);
    queue.remove(run(0));
    BOOST_TEST(take(1).empty());
    queue.answered(run(1), true, now);
    BOOST_TEST(take(1).empty());
    queue.answered(run(0), true, now);
    BOOST_TEST((take(1) == std::vector{run(1)}));
}

// Guards against a run that is never stopped, because it has the number of one that ended while its
// order was under way.
BOOST_AUTO_TEST_CASE(stopsARunWithTheNumberOfAnEndedOne)
{
    queue.add(run(0), now + 1s, now);
    take();
    queue.remove(run(0));
    queue.add(run(0), now + 1s, now);
    BOOST_TEST(take().size() == 1);
    BOOST_TEST(queue.openCount() == 2);
    queue.answered(run(0), true, now);
    queue.answered(run(0), true, now);
    BOOST_TEST(queue.openCount() == 0);
    now += repeatInterval;
    BOOST_TEST(take().size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()
