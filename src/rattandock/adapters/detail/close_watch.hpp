#pragma once

#include <sys/socket.h>

#include <boost/asio/ip/tcp.hpp>
#include <cerrno>
#include <functional>
#include <memory>

namespace rattandock::adapters::detail {

/// Sees the end of a connection while its request is being handled. Used on one thread.
class CloseWatch : public std::enable_shared_from_this<CloseWatch>
{
public:
    explicit CloseWatch(boost::asio::ip::tcp::socket &of)
        : m_socket(&of)
    {
    }

    void arm(std::function<void()> onClosed)
    {
        if (isClosed()) {
            onClosed();
            return;
        }
        m_isArmed = true;
        m_socket->async_wait(boost::asio::ip::tcp::socket::wait_read,
                             [self = shared_from_this(),
                              call = std::move(onClosed)](const boost::system::error_code &ec) {
                                 if (!ec && self->m_socket != nullptr && self->isClosed()) {
                                     call();
                                 }
                             });
    }
    void disarm()
    {
        if (m_isArmed) {
            boost::system::error_code ec;
            m_socket->cancel(ec);
        }
        m_socket = nullptr;
    }

private:
    /// Bytes of a next request are no end.
    bool isClosed() const
    {
        char byte = 0;
        const auto n = ::recv(m_socket->native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    boost::asio::ip::tcp::socket *m_socket;
    bool m_isArmed = false;
};

} // namespace rattandock::adapters::detail
