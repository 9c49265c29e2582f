#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string_view>

#include "rattandock/adapters/http_message.hpp"
#include "rattandock/adapters/io_threads.hpp"
#include "rattandock/base/result.hpp"
#include "rattandock/base/time.hpp"

namespace rattandock::adapters {

/// Bounds of one request.
struct RequestLimits
{
    /// Request line and headers; also a chunk's line, all chunk extensions, and the trailer.
    std::uint32_t maxHeaderBytes = 16U << 10U;
    std::uint64_t maxBodyBytes = 4U << 20U;
    /// From the first byte of a request to the end of its header.
    Duration headerTimeout = std::chrono::seconds{10};
    /// From the first byte of a request to its last; also the time to take an answer.
    Duration requestTimeout = std::chrono::seconds{10};
    Duration idleTimeout = std::chrono::seconds{60};
};

/// Bounds of all connections together.
struct HttpServerLimits : RequestLimits
{
    /// At this bound, the connection that has waited longest for its client is closed for a new
    /// one.
    std::size_t maxConnections = 4096;
    /// Requests and answers that are incomplete, but for the first 8 KB of each connection; at
    /// least one request of the largest size. At this bound, the connection that has waited longest
    /// for its client is closed.
    std::size_t maxBufferedBytes = 16U << 20U;
};

/// Serves one request; runs on a fiber of the connection and may suspend it.
using HttpHandler = std::function<HttpResponse(const HttpRequest &request)>;

/// Called for each request that was refused before its handler: `malformed`, `truncated`,
/// `header-too-large`, `body-too-large`, `slow-sender`, `too-many-connections`, `no-buffer-space`,
/// `evicted`. Called from any I/O thread.
using BadRequestObserver = std::function<void(std::string_view reason)>;

/// HTTP/1.1 server with keep-alive on all threads of an IoThreads.
/// Thread safety: all methods may be called from any thread.
class HttpServer
{
public:
    /// Binds and accepts. Errors: those of bind and listen.
    static IoResult<std::unique_ptr<HttpServer>>
    listen(IoThreads &threads, const boost::asio::ip::tcp::endpoint &endpoint,
           HttpServerLimits limits, HttpHandler handler, BadRequestObserver observer);

    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;
    /// Precondition: stop() has returned.
    ~HttpServer();

    /// The bound port, also when port 0 was asked for.
    std::uint16_t port() const;

    std::size_t connections() const;
    /// What counts towards `maxBufferedBytes` now.
    std::size_t bufferedBytes() const;

    /// Replaces the limits of requests that begin from now on.
    void setRequestLimits(const RequestLimits &limits);

    /// From now on each answer says `Connection: close` and ends its connection.
    void closeAfterAnswers();

    /// Accepts no more and closes connections without a complete request; returns when the last
    /// complete request is answered, or its caller has not taken the answer for the request
    /// timeout.
    void stop();

private:
    struct State;
    explicit HttpServer(std::shared_ptr<State> state);

    std::shared_ptr<State> m_state;
};

} // namespace rattandock::adapters
