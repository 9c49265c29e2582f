#include "rattandock/adapters/io_threads.hpp"

#include <boost/asio/post.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/fiber/pooled_fixedsize_stack.hpp>
#include <cassert>
#include <future>

#include "rattandock/adapters/fiber_scheduler.hpp"
#include "rattandock/adapters/io_wait.hpp"

namespace rattandock::adapters {

namespace {

constexpr std::size_t stackBytes = 64U << 10U;

thread_local std::size_t currentThread = 0;
thread_local boost::asio::io_context *currentContext = nullptr;

} // namespace

void spawnFiber(std::function<void()> function)
{
    thread_local boost::fibers::pooled_fixedsize_stack stacks{stackBytes};
    boost::fibers::fiber(boost::fibers::launch::post, std::allocator_arg, stacks,
                         std::move(function))
            .detach();
}

IoThreads::IoThreads(std::size_t count)
{
    for (std::size_t n = 0; n < count; ++n) {
        auto &thread = *m_threads.emplace_back(std::make_unique<Thread>());
        std::promise<void> ready;
        thread.thread = std::thread([n, &thread, &ready] {
            currentThread = n;
            currentContext = &thread.io;
            boost::fibers::use_scheduling_algorithm<FiberScheduler>(thread.io);
            awaitIo([&thread, &ready](auto handler) {
                thread.requestStop = [handler]() mutable { handler({}); };
                ready.set_value();
            });
        });
        ready.get_future().wait();
    }
}

std::size_t IoThreads::current()
{
    return currentThread;
}

boost::asio::io_context &IoThreads::currentIo()
{
    assert(currentContext != nullptr);
    return *currentContext;
}

IoThreads::~IoThreads()
{
    stop();
}

void IoThreads::spawn(std::size_t thread, std::function<void()> function)
{
    boost::asio::post(m_threads[thread]->io, [function = std::move(function)]() mutable {
        spawnFiber(std::move(function));
    });
}

void IoThreads::stop()
{
    for (const auto &it : m_threads) {
        if (it->thread.joinable()) {
            boost::asio::post(it->io, it->requestStop);
            it->thread.join();
        }
    }
}

} // namespace rattandock::adapters
