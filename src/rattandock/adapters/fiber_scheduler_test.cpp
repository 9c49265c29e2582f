#include "rattandock/adapters/fiber_scheduler.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/test/unit_test.hpp>
#include <ctime>
#include <future>

#include "rattandock/adapters/io_threads.hpp"
#include "rattandock/adapters/io_wait.hpp"

using namespace rattandock::adapters;

namespace {

/// Runs the function on a fiber of a fresh thread and returns what it returns.
template <typename Function>
auto onFiber(Function function)
{
    IoThreads threads{1};
    std::promise<decltype(function(threads))> result;
    threads.spawn(0, [&] { result.set_value(function(threads)); });
    return result.get_future().get();
}

IoEnd waitForTimer(boost::asio::io_context &io)
{
    boost::asio::steady_timer timer{io, std::chrono::milliseconds{1}};
    return awaitIo([&timer](auto handle) { timer.async_wait(handle); });
}

} // namespace

BOOST_AUTO_TEST_SUITE(FiberSchedulerTest)

// Guards against a fiber that sleeps on although its operation has ended.
BOOST_AUTO_TEST_CASE(completedOperationWakesItsFiber)
{
    const IoEnd end = onFiber([](IoThreads &threads) { return waitForTimer(threads.io(0)); });
    BOOST_TEST(!end.ec);
}

// Guards against handlers that run while a suspending fiber holds a spinlock, which deadlocks.
BOOST_AUTO_TEST_CASE(manyFibersWaitAtTheSameTime)
{
    constexpr int fiberCount = 500;
    const int ended = onFiber([](IoThreads &threads) {
        int done = 0;
        for (int n = 0; n < fiberCount; ++n) {
            spawnFiber([&] {
                for (int round = 0; round < 5; ++round) {
                    waitForTimer(threads.io(0));
                    boost::this_fiber::yield();
                }
                ++done;
            });
        }
        while (done < fiberCount) {
            boost::this_fiber::sleep_for(std::chrono::milliseconds{1});
        }
        return done;
    });
    BOOST_TEST(ended == fiberCount);
}

// Guards against I/O that starves while a fiber is always ready.
BOOST_AUTO_TEST_CASE(busyFiberDoesNotStarveIo)
{
    const bool woken = onFiber([](IoThreads &threads) {
        bool done = false;
        spawnFiber([&] {
            waitForTimer(threads.io(0));
            done = true;
        });
        while (!done) {
            boost::this_fiber::yield();
        }
        return done;
    });
    BOOST_TEST(woken);
}

// Guards against an idle thread that spins, by the processor time that the process uses.
BOOST_AUTO_TEST_CASE(idleThreadDoesNotSpin)
{
    const std::clock_t used = onFiber([](IoThreads &) {
        const std::clock_t begin = std::clock();
        boost::this_fiber::sleep_for(std::chrono::milliseconds{300});
        return std::clock() - begin;
    });
    // A spinning thread uses all of the 300 ms; the bound leaves room for other work.
    BOOST_TEST(used < CLOCKS_PER_SEC * 15 / 100);
}

BOOST_AUTO_TEST_SUITE_END()
