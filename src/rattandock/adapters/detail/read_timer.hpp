#pragma once

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <chrono>
#include <memory>

#include "rattandock/base/time.hpp"

namespace rattandock::adapters::detail {

/// Ends a read after a time. The timeout of beast::tcp_stream closes the socket, so that no answer
/// could follow; this one only cancels the read. Used on one thread.
class ReadTimer : public std::enable_shared_from_this<ReadTimer>
{
public:
    explicit ReadTimer(boost::beast::tcp_stream &of)
        : m_timer(of.get_executor())
        , m_stream(&of)
    {
    }

    /// Sets the limit, counted from the construction. Most requests arrive in one piece and need no
    /// timer.
    void expireAt(Duration afterBegin)
    {
        if (afterBegin != m_limit) {
            m_limit = afterBegin;
            arm(m_began + afterBegin);
        }
    }
    void disarm()
    {
        m_stream = nullptr;
        m_timer.cancel();
    }
    bool hasExpired() const { return m_hasExpired; }

private:
    void arm(std::chrono::steady_clock::time_point at)
    {
        m_timer.expires_at(at);
        m_timer.async_wait([self = shared_from_this()](const boost::system::error_code &ec) {
            if (ec || self->m_stream == nullptr) {
                return;
            }
            self->m_hasExpired = true;
            self->m_stream->cancel();
            // A read that had just ended is followed by another one, which is cancelled then.
            self->arm(std::chrono::steady_clock::now() + std::chrono::milliseconds{10});
        });
    }

    boost::asio::steady_timer m_timer;
    boost::beast::tcp_stream *m_stream;
    const std::chrono::steady_clock::time_point m_began = std::chrono::steady_clock::now();
    Duration m_limit{};
    bool m_hasExpired = false;
};

} // namespace rattandock::adapters::detail
