#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <list>
#include <map>
#include <memory>
#include <string>

#include "rattandock/adapters/http_message.hpp"
#include "rattandock/adapters/io_threads.hpp"
#include "rattandock/base/time.hpp"

namespace rattandock::load {

enum class ExchangeEnd : std::uint8_t {
    /// There is a whole reply.
    Answered,
    /// The connection was refused; the server got nothing.
    NotConnected,
    /// The request may have arrived.
    Lost
};

struct Exchange
{
    ExchangeEnd end = ExchangeEnd::Lost;
    unsigned status = 0;
    std::string body;
    adapters::HttpHeaders headers;
};

/// HTTP/1.1 client that keeps connections. A request is never sent twice, also not when a kept
/// connection turns out to be closed.
/// Thread safety: none; used by the fibers of one I/O thread.
class HttpClient
{
public:
    explicit HttpClient(boost::asio::io_context &io);
    ~HttpClient();

    /// Suspends the calling fiber until the reply, an error or the timeout.
    Exchange send(const boost::asio::ip::tcp::endpoint &server, const std::string &method,
                  const std::string &path, const std::string &body,
                  const adapters::HttpHeaders &headers, Duration timeout);

    /// Opens a connection and holds it unused. False if it could not be opened.
    bool hold(const boost::asio::ip::tcp::endpoint &server);
    void closeAll();

private:
    struct Connection;

    std::unique_ptr<Connection> takeKept(const boost::asio::ip::tcp::endpoint &server);
    std::unique_ptr<Connection> connect(const boost::asio::ip::tcp::endpoint &server);

    boost::asio::io_context &m_io;
    std::map<boost::asio::ip::tcp::endpoint, std::list<std::unique_ptr<Connection>>> m_kept;
    std::list<std::unique_ptr<Connection>> m_held;
};

} // namespace rattandock::load
