#include "rattandock/adapters/http_server.hpp"

#include <algorithm>
#include <atomic>
#include <boost/asio/ip/v6_only.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <future>
#include <optional>

#include "detail/close_watch.hpp"
#include "detail/connection_table.hpp"
#include "detail/read_timer.hpp"
#include "detail/request_parser.hpp"
#include "rattandock/adapters/io_wait.hpp"

namespace rattandock::adapters {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using detail::CloseWatch;
using detail::ConnectionTable;
using detail::ReadTimer;
using detail::RequestParser;
using detail::ServerConnection;

namespace {

using BeastResponse = http::response<http::string_body>;

/// Size of one read; most requests are below it.
constexpr std::size_t readBytes = 4096;
/// Part of a large answer whose acceptance counts as progress of the client.
constexpr std::size_t answerPartBytes = 64U << 10U;
/// Bounds what a client can send ahead while its request is served. The kernel doubles it.
constexpr int receiveBufferBytes = 16 << 10;

BeastResponse toBeast(HttpResponse &&from, bool keepAlive)
{
    BeastResponse response{static_cast<http::status>(from.status), 11};
    response.set(http::field::content_type, from.contentType);
    for (const auto &[name, value] : from.headers) {
        response.set(name, value);
    }
    response.body() = std::move(from.body);
    response.keep_alive(keepAlive);
    response.prepare_payload();
    return response;
}

struct ReadRefusal
{
    unsigned status;
    std::string_view reason;
    std::string message;
};

ReadRefusal overloadRefusal(std::string_view reason)
{
    return {503, reason, "there is no room for the request, which was not run"};
}

/// Nothing if the connection is gone, so that no answer can be given.
std::optional<ReadRefusal> refusalFor(const beast::error_code &ec, const RequestLimits &limits)
{
    if (ec == http::error::body_limit) {
        return ReadRefusal{413, "body-too-large",
                           "the body is larger than " + std::to_string(limits.maxBodyBytes)
                                   + " bytes"};
    }
    if (ec == http::error::header_limit) {
        return ReadRefusal{431, "header-too-large",
                           "the headers are larger than " + std::to_string(limits.maxHeaderBytes)
                                   + " bytes"};
    }
    if (ec == asio::error::no_memory) {
        return overloadRefusal("no-buffer-space");
    }
    if (ec == beast::error::timeout) {
        return ReadRefusal{408, "slow-sender",
                           "the request was not complete after "
                                   + std::to_string(toMilliseconds(limits.requestTimeout))
                                   + " ms, or its header after "
                                   + std::to_string(toMilliseconds(limits.headerTimeout)) + " ms"};
    }
    if (ec == http::error::partial_message) {
        return ReadRefusal{400, "truncated", "the request ended before its last byte"};
    }
    if (ec == http::error::end_of_stream
        || ec.category() != http::make_error_code(http::error::bad_method).category()) {
        return std::nullopt;
    }
    return ReadRefusal{400, "malformed", "the request is not valid HTTP/1.1: " + ec.message()};
}

BeastResponse responseTo(const ReadRefusal &refusal)
{
    HttpResponse answer;
    answer.status = refusal.status;
    if (refusal.status == 503) {
        answer.headers.emplace_back("Retry-After", "1");
    }
    answer.body = std::string{R"({"error":")"} + std::string{refusal.reason} + R"(","message":")"
                  + refusal.message + "\"}\n";
    return toBeast(std::move(answer), false);
}

} // namespace

struct HttpServer::State : std::enable_shared_from_this<HttpServer::State>
{
    /// One per I/O thread; touched by that thread only.
    struct PerThread
    {
        ConnectionTable connections;
        /// Those of requests that begin from now on.
        RequestLimits limits;
    };

    State(IoThreads &owner, HttpServerLimits bounds, HttpHandler serve, BadRequestObserver observe)
        : threads(owner)
        , limits(bounds)
        , handler(std::move(serve))
        , observer(std::move(observe))
        , acceptor(owner.io(0))
        , budget(std::max<std::size_t>(bounds.maxBufferedBytes,
                                       bounds.maxBodyBytes + bounds.maxHeaderBytes))
    {
        for (std::size_t n = 0; n < owner.count(); ++n) {
            perThread.push_back({ConnectionTable{budget}, bounds});
        }
    }

    IoThreads &threads;
    const HttpServerLimits limits;
    const HttpHandler handler;
    const BadRequestObserver observer;
    tcp::acceptor acceptor;
    detail::BufferBudget budget;
    std::vector<PerThread> perThread;
    std::atomic<std::size_t> open = 0;
    /// Each answer ends its connection.
    std::atomic<bool> closing = false;
    std::atomic<bool> stopping = false;

    void acceptLoop();
    void serve(PerThread &thread, tcp::socket socket);
    /// False if the new connection exceeds the bound and no other one can make room for it.
    bool admit(PerThread &thread);
    void serveRequests(PerThread &thread, ServerConnection &connection);
    /// The serving functions return false if the connection is to be closed.
    bool waitForRequest(PerThread &thread, ServerConnection &connection);
    bool serveOne(PerThread &thread, ServerConnection &connection);
    /// Reads until the parser is done. Without an error it may be incomplete, if the server stops.
    beast::error_code readRequest(PerThread &thread, ServerConnection &connection,
                                  const RequestLimits &bounds, RequestParser &parser);
    beast::error_code readParts(ConnectionTable &connections, ServerConnection &connection,
                                const RequestLimits &bounds, RequestParser &parser,
                                ReadTimer &timer);
    bool answer(PerThread &thread, ServerConnection &connection, HttpRequest request,
                bool keepAlive);
    bool send(PerThread &thread, ServerConnection &connection, BeastResponse &response);
    void refuse(PerThread &thread, ServerConnection &connection, const ReadRefusal &refusal);
    static void refuseAtOnce(ServerConnection &connection, std::string_view reason);
};

void HttpServer::State::acceptLoop()
{
    std::size_t next = 0;
    while (!stopping) {
        const std::size_t thread = next++ % threads.count();
        std::optional<tcp::socket> accepted;
        const IoEnd end = awaitIo([&](auto handle) {
            acceptor.async_accept(threads.io(thread),
                                  [&accepted, handle](auto ec, tcp::socket socket) mutable {
                                      accepted = std::move(socket);
                                      handle(ec);
                                  });
        });
        if (end.ec) {
            if (stopping || end.ec == asio::error::operation_aborted) {
                return;
            }
            // Out of descriptors or a connection that was reset before its accept.
            asio::steady_timer pause{threads.io(0), std::chrono::milliseconds{10}};
            awaitIo([&pause](auto handle) { pause.async_wait(handle); });
            continue;
        }
        ++open;
        threads.spawn(thread,
                      [self = shared_from_this(), thread,
                       socket = std::make_shared<tcp::socket>(std::move(*accepted))]() mutable {
                          self->serve(self->perThread[thread], std::move(*socket));
                          --self->open;
                      });
    }
}

void HttpServer::State::serve(PerThread &thread, tcp::socket socket)
{
    ServerConnection connection{std::move(socket)};
    if (admit(thread)) {
        beast::error_code ec;
        connection.stream.socket().set_option(tcp::no_delay(true), ec);
        serveRequests(thread, connection);
        connection.stream.socket().shutdown(tcp::socket::shutdown_send, ec);
    } else {
        observer("too-many-connections");
        refuseAtOnce(connection, "too-many-connections");
    }
    if (connection.isEvicted) {
        observer("evicted");
    }
    thread.connections.remove(connection);
}

bool HttpServer::State::admit(PerThread &thread)
{
    return open <= limits.maxConnections + thread.connections.evicting()
           || thread.connections.evictOne();
}

void HttpServer::State::serveRequests(PerThread &thread, ServerConnection &connection)
{
    while (!stopping) {
        if (connection.buf.size() == 0 && !waitForRequest(thread, connection)) {
            return;
        }
        if (!serveOne(thread, connection)) {
            return;
        }
    }
}

bool HttpServer::State::waitForRequest(PerThread &thread, ServerConnection &connection)
{
    beast::tcp_stream &stream = connection.stream;
    beast::flat_buffer &buf = connection.buf;
    if (buf.capacity() > readBytes) {
        buf.shrink_to_fit();
    }
    thread.connections.charge(connection, buf.capacity());
    stream.expires_after(thread.limits.idleTimeout);
    const IoEnd end = thread.connections.awaitClient(connection, [&](auto handle) {
        stream.async_read_some(buf.prepare(readBytes), handle);
    });
    if (end.ec) {
        return false;
    }
    buf.commit(end.bytes);
    return true;
}

beast::error_code HttpServer::State::readRequest(PerThread &thread, ServerConnection &connection,
                                                 const RequestLimits &bounds, RequestParser &parser)
{
    const auto timer = std::make_shared<ReadTimer>(connection.stream);
    connection.stream.expires_never();
    beast::error_code ec = readParts(thread.connections, connection, bounds, parser, *timer);
    timer->disarm();
    if (ec && timer->hasExpired()) {
        ec = beast::error::timeout;
    }
    return ec;
}

beast::error_code HttpServer::State::readParts(ConnectionTable &connections,
                                               ServerConnection &connection,
                                               const RequestLimits &bounds, RequestParser &parser,
                                               ReadTimer &timer)
{
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    beast::tcp_stream &stream = connection.stream;
    beast::flat_buffer &buf = connection.buf;
    bool isContinued = false;
    while (true) {
        beast::error_code ec;
        buf.consume(parser.put(buf.data(), ec));
        if (ec && ec != http::error::need_more) {
            return ec;
        }
        if (!connections.charge(connection, buf.capacity() + parser.heldBytes())) {
            return asio::error::no_memory;
        }
        if (parser.is_done() || stopping) {
            return {};
        }
        timer.expireAt(parser.is_header_done() ? bounds.requestTimeout : bounds.headerTimeout);
        if (parser.is_header_done() && parser.expectsContinue() && !isContinued) {
            isContinued = true;
            const IoEnd sent = connections.awaitClient(connection, [&](auto handle) {
                asio::async_write(stream, asio::buffer(interim), handle);
            });
            if (sent.ec) {
                return sent.ec;
            }
        }
        // What the parser leaves is one incomplete part: the header, a chunk's line or the trailer.
        if (buf.size() >= bounds.maxHeaderBytes) {
            return http::error::header_limit;
        }
        const IoEnd read = connections.awaitClient(connection, [&](auto handle) {
            stream.async_read_some(buf.prepare(readBytes), handle);
        });
        if (read.ec == asio::error::eof) {
            parser.put_eof(ec);
            return ec ? ec : read.ec;
        }
        if (read.ec) {
            return read.ec;
        }
        buf.commit(read.bytes);
    }
}

bool HttpServer::State::serveOne(PerThread &thread, ServerConnection &connection)
{
    const RequestLimits bounds = thread.limits;
    std::optional<RequestParser> parser{std::in_place, bounds.maxHeaderBytes, bounds.maxBodyBytes};
    const beast::error_code ec = readRequest(thread, connection, bounds, *parser);
    if (!ec && parser->is_done()) {
        const bool keepAlive = parser->keep_alive();
        HttpRequest request = parser->take();
        parser.reset();
        return answer(thread, connection, std::move(request), keepAlive);
    }
    parser.reset();
    connection.buf = {};
    thread.connections.charge(connection, 0);
    if (connection.isEvicted) {
        refuseAtOnce(connection, "evicted");
    } else if (const auto refusal = refusalFor(ec, bounds); refusal && !stopping) {
        refuse(thread, connection, *refusal);
    }
    return false;
}

bool HttpServer::State::answer(PerThread &thread, ServerConnection &connection, HttpRequest request,
                               bool keepAlive)
{
    tcp::socket &socket = connection.stream.socket();
    const auto watch = std::make_shared<CloseWatch>(socket);
    request.watchClose = [watch](std::function<void()> onClosed) {
        watch->arm(std::move(onClosed));
    };
    request.releaseBody = [&] {
        std::string{}.swap(request.body);
        thread.connections.charge(connection, connection.buf.capacity());
    };
    connection.stream.expires_never();
    HttpResponse served = handler(request);
    watch->disarm();
    if (served.resetConnection) {
        // A linger time of zero makes close() send a reset.
        beast::error_code ec;
        socket.set_option(asio::socket_base::linger(true, 0), ec);
        socket.close(ec);
        return false;
    }
    if (request.method == "HEAD") {
        // An answer to HEAD has no body; without this the next answer would be misread.
        served.body.clear();
    }
    request = {};
    BeastResponse response = toBeast(std::move(served), keepAlive && !closing && !stopping);
    thread.connections.chargeAnyway(connection,
                                    connection.buf.capacity() + response.body().capacity());
    return send(thread, connection, response) && response.keep_alive();
}

bool HttpServer::State::send(PerThread &thread, ServerConnection &connection,
                             BeastResponse &response)
{
    connection.stream.expires_after(thread.limits.requestTimeout);
    http::response_serializer<http::string_body> serializer{response};
    // In parts, so that a client that takes its answer slowly makes progress.
    serializer.limit(answerPartBytes);
    while (!serializer.is_done()) {
        const IoEnd end = thread.connections.awaitClient(connection, [&](auto handle) {
            http::async_write_some(connection.stream, serializer, handle);
        });
        if (end.ec) {
            return false;
        }
    }
    return true;
}

void HttpServer::State::refuse(PerThread &thread, ServerConnection &connection,
                               const ReadRefusal &refusal)
{
    observer(refusal.reason);
    BeastResponse response = responseTo(refusal);
    if (!send(thread, connection, response)) {
        return;
    }
    // Reads what the sender still sends for a moment; a reset would discard the answer.
    beast::tcp_stream &stream = connection.stream;
    beast::error_code ec;
    stream.socket().shutdown(tcp::socket::shutdown_send, ec);
    stream.expires_after(std::chrono::milliseconds{200});
    std::array<char, 4096> discarded{};
    constexpr int maxReads = 256;
    for (int n = 0; n < maxReads; ++n) {
        const IoEnd end = thread.connections.awaitClient(connection, [&](auto handle) {
            stream.async_read_some(asio::buffer(discarded), handle);
        });
        if (end.ec) {
            return;
        }
    }
}

/// Without a wait, as the connection's place is needed: the answer is lost if the socket takes no
/// bytes, or if the client still sends.
void HttpServer::State::refuseAtOnce(ServerConnection &connection, std::string_view reason)
{
    beast::error_code ec;
    connection.stream.socket().non_blocking(true, ec);
    BeastResponse response = responseTo(overloadRefusal(reason));
    http::write(connection.stream.socket(), response, ec);
    connection.stream.socket().shutdown(tcp::socket::shutdown_send, ec);
}

IoResult<std::unique_ptr<HttpServer>>
HttpServer::listen(IoThreads &threads, const tcp::endpoint &endpoint, HttpServerLimits limits,
                   HttpHandler handler, BadRequestObserver observer)
{
    auto state = std::make_shared<State>(threads, limits, std::move(handler), std::move(observer));
    beast::error_code ec;
    tcp::acceptor &acceptor = state->acceptor;
    acceptor.open(endpoint.protocol(), ec);
    if (!ec) {
        acceptor.set_option(asio::socket_base::reuse_address(true), ec);
    }
    if (!ec) {
        // Accepted connections inherit it.
        beast::error_code ignored;
        acceptor.set_option(asio::socket_base::receive_buffer_size(receiveBufferBytes), ignored);
        acceptor.bind(endpoint, ec);
    }
    if (!ec) {
        acceptor.listen(asio::socket_base::max_listen_connections, ec);
    }
    if (ec) {
        return ec;
    }
    threads.spawn(0, [state] { state->acceptLoop(); });
    return std::unique_ptr<HttpServer>{new HttpServer(std::move(state))};
}

HttpServer::HttpServer(std::shared_ptr<State> state)
    : m_state(std::move(state))
{
}

HttpServer::~HttpServer() = default;

std::uint16_t HttpServer::port() const
{
    return m_state->acceptor.local_endpoint().port();
}

std::size_t HttpServer::connections() const
{
    return m_state->open;
}

std::size_t HttpServer::bufferedBytes() const
{
    return m_state->budget.usedBytes;
}

void HttpServer::setRequestLimits(const RequestLimits &limits)
{
    for (std::size_t n = 0; n < m_state->threads.count(); ++n) {
        m_state->threads.spawn(
                n, [state = m_state, n, limits] { state->perThread[n].limits = limits; });
    }
}

void HttpServer::closeAfterAnswers()
{
    m_state->closing = true;
}

void HttpServer::stop()
{
    m_state->stopping = true;
    for (std::size_t n = 0; n < m_state->threads.count(); ++n) {
        std::promise<void> closed;
        m_state->threads.spawn(n, [state = m_state, n, &closed] {
            beast::error_code ec;
            if (n == 0) {
                state->acceptor.close(ec);
            }
            state->perThread[n].connections.shutDownReads();
            closed.set_value();
        });
        closed.get_future().wait();
    }
    while (m_state->open > 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds{1});
    }
}

} // namespace rattandock::adapters
