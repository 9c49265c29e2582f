#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/fiber/algo/algorithm.hpp>
#include <boost/fiber/scheduler.hpp>
#include <chrono>

namespace rattandock::adapters {

/// Runs the fibers and the I/O handlers of one thread: waits in the io_context while no fiber is
/// ready, so that an idle thread sleeps and a completed operation wakes its fiber. While fibers
/// are ready, polls once per round of them.
/// Handlers must not block. Thread safety: notify() from any thread, the rest from its own.
class FiberScheduler final : public boost::fibers::algo::algorithm
{
public:
    /// Precondition: the io_context is run by no other thread and outlives the thread's fibers.
    explicit FiberScheduler(boost::asio::io_context &io);

    void awakened(boost::fibers::context *fiber) noexcept override;
    boost::fibers::context *pick_next() noexcept override;
    bool has_ready_fibers() const noexcept override;
    void suspend_until(const std::chrono::steady_clock::time_point &until) noexcept override;
    void notify() noexcept override;

private:
    boost::asio::io_context &m_io;
    boost::asio::steady_timer m_timer;
    boost::fibers::scheduler::ready_queue_type m_ready;
    std::atomic<bool> m_notified = false;
};

} // namespace rattandock::adapters
