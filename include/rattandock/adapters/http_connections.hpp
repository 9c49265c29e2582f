#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "rattandock/adapters/exchange_deadline.hpp"
#include "rattandock/adapters/http_client.hpp"
#include "rattandock/adapters/http_message.hpp"
#include "rattandock/adapters/io_wait.hpp"
#include "rattandock/base/time.hpp"

namespace rattandock::adapters {

/// Keep-alive connections to HTTP/1.1 servers. A connection carries one exchange at a time; one
/// whose exchange failed or timed out is closed, so a late answer reaches no other exchange.
/// Thread safety: all methods are called from fibers of one I/O thread.
class HttpConnections
{
public:
    /// Keeps at most `maxIdle` connections to each server.
    explicit HttpConnections(std::size_t maxIdle);
    HttpConnections(const HttpConnections &) = delete;
    HttpConnections &operator=(const HttpConnections &) = delete;
    ~HttpConnections();

    /// Sends the request and suspends the fiber until the answer is complete, or until a limit has
    /// passed. The limits include the time to connect. Errors: `sent` is false only if no byte of
    /// the request was written; `http::error::body_limit` if the body has more than 4 MB.
    HttpClientResult exchange(const boost::asio::ip::tcp::endpoint &server,
                              const HttpRequest &request, const ExchangeLimits &limits);

    /// Makes a connection and keeps it for the next exchange; false if that fails.
    bool connect(const boost::asio::ip::tcp::endpoint &server, Duration limit);

    /// Closes the connections to the server that no exchange uses.
    void closeIdle(const boost::asio::ip::tcp::endpoint &server);

    /// Ends all exchanges; later ones fail at once.
    void shutDown();

private:
    struct Connection;

    /// Null with the error if no connection was made.
    std::unique_ptr<Connection> open(const boost::asio::ip::tcp::endpoint &server,
                                     const ExchangeDeadline &deadline,
                                     boost::system::error_code &ec);
    /// Puts the connection under its deadline, and takes it from there.
    void begin(Connection &connection, const ExchangeDeadline &deadline);
    void finish(Connection &connection);
    /// Exchanges under way. Shared with the fiber that ends them, which may outlive this object.
    struct Busy
    {
        std::vector<Connection *> connections;
        bool isExpiring = false;
    };
    /// Cancels exchanges whose deadline has passed; returns when there is none.
    static void expire(Busy &busy);
    static IoEnd write(Connection &connection, const std::string &text);
    static boost::system::error_code read(Connection &connection, HttpResponse &response,
                                          bool &keepAlive);
    std::unique_ptr<Connection> takeIdle(const boost::asio::ip::tcp::endpoint &server);

    const std::size_t m_maxIdle;
    std::map<boost::asio::ip::tcp::endpoint, std::vector<std::unique_ptr<Connection>>> m_idle;
    std::shared_ptr<Busy> m_busy = std::make_shared<Busy>();
    bool m_isShutDown = false;
};

} // namespace rattandock::adapters
