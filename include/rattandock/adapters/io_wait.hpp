#pragma once

#include <boost/asio/error.hpp>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <boost/system/error_code.hpp>
#include <mutex>

namespace rattandock::adapters {

/// The end of one asynchronous operation.
struct IoEnd
{
    boost::system::error_code ec;
    std::size_t bytes = 0;
};

/// Starts an asynchronous operation and suspends the calling fiber until its handler runs.
/// `start` gets the handler, which takes an error code and optionally a count of bytes.
/// Precondition: the handler runs on the calling thread, which has a FiberScheduler.
template <typename Start>
IoEnd awaitIo(Start &&start)
{
    struct Wait
    {
        boost::fibers::mutex mutex;
        boost::fibers::condition_variable ended;
        bool done = false;
        IoEnd end;
    } wait;
    start([&wait](boost::system::error_code ec, std::size_t bytes = 0) {
        const std::lock_guard lock{wait.mutex};
        wait.end = {ec, bytes};
        wait.done = true;
        wait.ended.notify_one();
    });
    std::unique_lock lock{wait.mutex};
    wait.ended.wait(lock, [&wait] { return wait.done; });
    return wait.end;
}

} // namespace rattandock::adapters
