#include "rattandock/adapters/http_server.hpp"

#include <sys/socket.h>

#include <atomic>
#include <boost/asio/ip/v6_only.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <cerrno>
#include <future>
#include <list>
#include <optional>

#include "detail/request_parser.hpp"
#include "rattandock/adapters/io_wait.hpp"

namespace rattandock::adapters {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

namespace {

using BeastResponse = http::response<http::string_body>;

/// Size of one read; most requests are below it.
constexpr std::size_t readBytes = 4096;

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

/// Nothing if the connection is gone, so that no answer can be given.
std::optional<ReadRefusal> refusalFor(const beast::error_code &ec, const HttpServerLimits &limits)
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
    if (ec == beast::error::timeout) {
        return ReadRefusal{408, "slow-sender",
                           "the request was not complete after "
                                   + std::to_string(toMilliseconds(limits.requestTimeout)) + " ms"};
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

/// Ends a read after a time. The timeout of beast::tcp_stream closes the socket, so that no answer
/// could follow; this one only cancels the read. Used on one thread.
struct ReadTimer : std::enable_shared_from_this<ReadTimer>
{
    ReadTimer(asio::io_context &io, beast::tcp_stream &of)
        : timer(io)
        , stream(&of)
    {
    }

    void arm(Duration after)
    {
        timer.expires_after(after);
        timer.async_wait([self = shared_from_this()](const beast::error_code &ec) {
            if (ec || self->stream == nullptr) {
                return;
            }
            self->expired = true;
            self->stream->cancel();
            // A read that had just ended is followed by another one, which is cancelled then.
            self->arm(std::chrono::milliseconds{10});
        });
    }
    void disarm()
    {
        stream = nullptr;
        timer.cancel();
    }

    asio::steady_timer timer;
    beast::tcp_stream *stream;
    bool expired = false;
};

/// Sees the end of a connection while its request is being handled. Used on one thread.
struct CloseWatch : std::enable_shared_from_this<CloseWatch>
{
    explicit CloseWatch(tcp::socket &of)
        : socket(&of)
    {
    }

    void arm(std::function<void()> onClosed)
    {
        if (isClosed()) {
            onClosed();
            return;
        }
        isArmed = true;
        socket->async_wait(tcp::socket::wait_read,
                           [self = shared_from_this(),
                            call = std::move(onClosed)](const beast::error_code &ec) {
                               if (!ec && self->socket != nullptr && self->isClosed()) {
                                   call();
                               }
                           });
    }
    /// Bytes of a next request are no end.
    bool isClosed() const
    {
        char byte = 0;
        const auto n = ::recv(socket->native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }
    void disarm()
    {
        if (isArmed) {
            beast::error_code ec;
            socket->cancel(ec);
        }
        socket = nullptr;
    }

    tcp::socket *socket;
    bool isArmed = false;
};

} // namespace

struct HttpServer::State : std::enable_shared_from_this<HttpServer::State>
{
    /// One per I/O thread; touched by that thread only.
    struct Connections
    {
        /// Connections whose request is not complete; stop() closes them.
        std::list<beast::tcp_stream *> reading;
    };

    State(IoThreads &owner, HttpServerLimits bounds, HttpHandler serve, BadRequestObserver observe)
        : threads(owner)
        , limits(bounds)
        , handler(std::move(serve))
        , observer(std::move(observe))
        , acceptor(owner.io(0))
        , perThread(owner.count())
    {
    }

    IoThreads &threads;
    const HttpServerLimits limits;
    const HttpHandler handler;
    const BadRequestObserver observer;
    tcp::acceptor acceptor;
    std::vector<Connections> perThread;
    std::atomic<std::size_t> open = 0;
    /// Each answer ends its connection.
    std::atomic<bool> closing = false;
    std::atomic<bool> stopping = false;

    void acceptLoop();
    void serve(std::size_t thread, tcp::socket socket);
    void serveRequests(std::size_t thread, beast::tcp_stream &stream);
    bool waitForRequest(std::size_t thread, beast::tcp_stream &stream, beast::flat_buffer &buf);
    bool serveOne(std::size_t thread, beast::tcp_stream &stream, beast::flat_buffer &buf);
    IoEnd readRequest(std::size_t thread, beast::tcp_stream &stream, beast::flat_buffer &buf,
                      detail::RequestParser &parser);
    IoEnd readParts(beast::tcp_stream &stream, beast::flat_buffer &buf,
                    detail::RequestParser &parser);
    void refuse(beast::tcp_stream &stream, const ReadRefusal &refusal);
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
        if (open >= limits.maxConnections) {
            observer("too-many-connections");
            continue;
        }
        ++open;
        threads.spawn(thread,
                      [self = shared_from_this(), thread,
                       socket = std::make_shared<tcp::socket>(std::move(*accepted))]() mutable {
                          self->serve(thread, std::move(*socket));
                          --self->open;
                      });
    }
}

void HttpServer::State::serve(std::size_t thread, tcp::socket socket)
{
    beast::error_code ec;
    socket.set_option(tcp::no_delay(true), ec);
    beast::tcp_stream stream{std::move(socket)};
    serveRequests(thread, stream);
    stream.socket().shutdown(tcp::socket::shutdown_send, ec);
}

void HttpServer::State::serveRequests(std::size_t thread, beast::tcp_stream &stream)
{
    beast::flat_buffer buf;
    while (!stopping) {
        if (buf.size() == 0 && !waitForRequest(thread, stream, buf)) {
            return;
        }
        if (!serveOne(thread, stream, buf)) {
            return;
        }
    }
}

bool HttpServer::State::waitForRequest(std::size_t thread, beast::tcp_stream &stream,
                                       beast::flat_buffer &buf)
{
    auto &reading = perThread[thread].reading;
    const auto it = reading.insert(reading.end(), &stream);
    stream.expires_after(limits.idleTimeout);
    const IoEnd end =
            awaitIo([&](auto handle) { stream.async_read_some(buf.prepare(readBytes), handle); });
    reading.erase(it);
    if (end.ec) {
        return false;
    }
    buf.commit(end.bytes);
    return true;
}

IoEnd HttpServer::State::readRequest(std::size_t thread, beast::tcp_stream &stream,
                                     beast::flat_buffer &buf, detail::RequestParser &parser)
{
    auto &reading = perThread[thread].reading;
    const auto it = reading.insert(reading.end(), &stream);
    const auto timer = std::make_shared<ReadTimer>(threads.io(thread), stream);
    stream.expires_never();
    timer->arm(limits.requestTimeout);
    IoEnd end = readParts(stream, buf, parser);
    timer->disarm();
    reading.erase(it);
    if (end.ec && timer->expired) {
        end.ec = beast::error::timeout;
    }
    return end;
}

IoEnd HttpServer::State::readParts(beast::tcp_stream &stream, beast::flat_buffer &buf,
                                   detail::RequestParser &parser)
{
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    bool isContinued = false;
    while (true) {
        beast::error_code ec;
        buf.consume(parser.put(buf.data(), ec));
        if (ec && ec != http::error::need_more) {
            return {ec, 0};
        }
        if (parser.is_done()) {
            return {};
        }
        if (parser.is_header_done() && parser.expectsContinue() && !isContinued) {
            isContinued = true;
            const IoEnd sent = awaitIo(
                    [&](auto handle) { asio::async_write(stream, asio::buffer(interim), handle); });
            if (sent.ec) {
                return sent;
            }
        }
        // What the parser leaves is one incomplete part: the header, a chunk's line or the trailer.
        if (buf.size() >= limits.maxHeaderBytes) {
            return {http::error::header_limit, 0};
        }
        const IoEnd read = awaitIo(
                [&](auto handle) { stream.async_read_some(buf.prepare(readBytes), handle); });
        if (read.ec == asio::error::eof) {
            parser.put_eof(ec);
            return {ec ? ec : read.ec, 0};
        }
        if (read.ec) {
            return read;
        }
        buf.commit(read.bytes);
    }
}

bool HttpServer::State::serveOne(std::size_t thread, beast::tcp_stream &stream,
                                 beast::flat_buffer &buf)
{
    detail::RequestParser parser{limits.maxHeaderBytes, limits.maxBodyBytes};
    const IoEnd read = readRequest(thread, stream, buf, parser);
    if (read.ec) {
        if (stopping) {
            return false;
        }
        if (const auto refusal = refusalFor(read.ec, limits)) {
            refuse(stream, *refusal);
        }
        return false;
    }
    const bool keepAlive = parser.keep_alive();
    stream.expires_never();
    HttpRequest request = parser.take();
    const bool isHead = request.method == "HEAD";
    const auto watch = std::make_shared<CloseWatch>(stream.socket());
    request.watchClose = [watch](std::function<void()> onClosed) {
        watch->arm(std::move(onClosed));
    };
    HttpResponse served = handler(request);
    watch->disarm();
    if (served.resetConnection) {
        // A linger time of zero makes close() send a reset.
        beast::error_code ec;
        stream.socket().set_option(asio::socket_base::linger(true, 0), ec);
        stream.socket().close(ec);
        return false;
    }
    if (isHead) {
        // An answer to HEAD has no body; without this the next answer would be misread.
        served.body.clear();
    }
    BeastResponse response = toBeast(std::move(served), keepAlive && !closing && !stopping);
    stream.expires_after(limits.requestTimeout);
    const IoEnd written =
            awaitIo([&](auto handle) { http::async_write(stream, response, handle); });
    return !written.ec && response.keep_alive();
}

void HttpServer::State::refuse(beast::tcp_stream &stream, const ReadRefusal &refusal)
{
    observer(refusal.reason);
    HttpResponse answer;
    answer.status = refusal.status;
    answer.body = std::string{R"({"error":")"} + std::string{refusal.reason} + R"(","message":")"
                  + refusal.message + "\"}\n";
    BeastResponse response = toBeast(std::move(answer), false);
    stream.expires_after(limits.requestTimeout);
    awaitIo([&](auto handle) { http::async_write(stream, response, handle); });
    // Reads what the sender still sends for a moment; a reset would discard the answer.
    beast::error_code ec;
    stream.socket().shutdown(tcp::socket::shutdown_send, ec);
    stream.expires_after(std::chrono::milliseconds{200});
    std::array<char, 4096> discarded{};
    constexpr int maxReads = 256;
    for (int n = 0; n < maxReads; ++n) {
        const IoEnd end = awaitIo(
                [&](auto handle) { stream.async_read_some(asio::buffer(discarded), handle); });
        if (end.ec) {
            return;
        }
    }
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
            for (beast::tcp_stream *it : state->perThread[n].reading) {
                // Unlike a cancellation, this also ends reads that begin later.
                it->socket().shutdown(tcp::socket::shutdown_receive, ec);
            }
            closed.set_value();
        });
        closed.get_future().wait();
    }
    while (m_state->open > 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds{1});
    }
}

} // namespace rattandock::adapters
