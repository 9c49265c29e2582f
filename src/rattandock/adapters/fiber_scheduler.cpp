#include "rattandock/adapters/fiber_scheduler.hpp"

#include <boost/asio/post.hpp>
#include <boost/fiber/context.hpp>

namespace rattandock::adapters {

FiberScheduler::FiberScheduler(boost::asio::io_context &io)
    : m_io(io)
    , m_timer(io)
{
}

void FiberScheduler::awakened(boost::fibers::context *fiber) noexcept
{
    fiber->ready_link(m_ready);
}

boost::fibers::context *FiberScheduler::pick_next() noexcept
{
    // A fiber that suspends itself still holds the spinlock of what it waits for, and a handler
    // may need that lock; only the dispatcher context holds none.
    if (boost::fibers::context::active()->is_context(boost::fibers::type::dispatcher_context)) {
        m_io.poll();
    }
    if (m_ready.empty()) {
        return nullptr;
    }
    boost::fibers::context *fiber = &m_ready.front();
    m_ready.pop_front();
    return fiber;
}

bool FiberScheduler::has_ready_fibers() const noexcept
{
    return !m_ready.empty();
}

void FiberScheduler::suspend_until(const std::chrono::steady_clock::time_point &until) noexcept
{
    if (m_notified.exchange(false)) {
        m_io.poll();
        return;
    }
    if (until != (std::chrono::steady_clock::time_point::max)()) {
        m_timer.expires_at(until);
        m_timer.async_wait([](const boost::system::error_code &) {});
    }
    m_io.run_one();
    // Further handlers that are due run now, before the fibers that they wake.
    m_io.poll();
    m_notified.store(false);
}

void FiberScheduler::notify() noexcept
{
    if (!m_notified.exchange(true)) {
        boost::asio::post(m_io, [] {});
    }
}

} // namespace rattandock::adapters
