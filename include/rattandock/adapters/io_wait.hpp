#pragma once

#include <boost/asio/error.hpp>
#include <boost/fiber/context.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>

namespace rattandock::adapters {

/// The end of one asynchronous operation.
struct IoEnd
{
    boost::system::error_code ec;
    std::size_t bytes = 0;
};

/// Starts an asynchronous operation and suspends the calling fiber until its handler runs.
/// `start` gets the handler, which takes an error code and optionally a count of bytes.
/// Precondition: the handler runs on the calling thread, which has a FiberScheduler. As both run on
/// one thread, no lock is needed.
template <typename Start>
IoEnd awaitIo(Start &&start)
{
    struct Wait
    {
        boost::fibers::context *fiber = boost::fibers::context::active();
        bool isSuspended = false;
        bool isDone = false;
        IoEnd end;
    } wait;
    start([&wait](boost::system::error_code ec, std::size_t bytes = 0) {
        wait.end = {ec, bytes};
        wait.isDone = true;
        if (wait.isSuspended) {
            boost::fibers::context::active()->schedule(wait.fiber);
        }
    });
    if (!wait.isDone) {
        wait.isSuspended = true;
        wait.fiber->suspend();
    }
    return wait.end;
}

} // namespace rattandock::adapters
