#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "rattandock/adapters/http_client.hpp"
#include "rattandock/adapters/http_message.hpp"
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

    /// Sends the request and suspends the fiber until the answer, or until the limit for the whole
    /// exchange has passed. Errors: `sent` is false only if no byte of the request was written.
    HttpClientResult exchange(const boost::asio::ip::tcp::endpoint &server,
                              const HttpRequest &request, Duration limit);

    /// Closes the idle connections to a server that is not used any more.
    void forget(const boost::asio::ip::tcp::endpoint &server);
    /// Ends all exchanges; later ones fail at once.
    void shutDown();

    /// Connections opened since the start.
    std::size_t opened() const { return m_opened; }

private:
    struct Connection;

    std::unique_ptr<Connection> takeIdle(const boost::asio::ip::tcp::endpoint &server);

    const std::size_t m_maxIdle;
    std::map<boost::asio::ip::tcp::endpoint, std::vector<std::unique_ptr<Connection>>> m_idle;
    std::vector<Connection *> m_busy;
    std::size_t m_opened = 0;
    bool m_isShutDown = false;
};

} // namespace rattandock::adapters
