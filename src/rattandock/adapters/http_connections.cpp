#include "rattandock/adapters/http_connections.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/basic_stream_socket.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cerrno>
#include <chrono>

#include "detail/http_parts.hpp"
#include "rattandock/adapters/io_threads.hpp"
#include "rattandock/adapters/io_wait.hpp"

namespace rattandock::adapters {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

namespace {

/// Answers above this are not read: the platform's lists come in pages of 1 MB.
constexpr std::uint64_t maxAnswerBytes = 4U << 20U;

/// How late an exchange may notice that its limit has passed.
constexpr auto expiryInterval = std::chrono::milliseconds{20};
/// Size of one read; answers of upstreams are mostly below it.
constexpr std::size_t readBytes = 8192;

std::string requestText(const tcp::endpoint &server, const HttpRequest &request)
{
    std::string text = request.method + ' ' + request.path;
    if (!request.query.empty()) {
        text += '?' + request.query;
    }
    text += " HTTP/1.1\r\nHost: " + server.address().to_string() + ':'
            + std::to_string(server.port()) + "\r\n";
    for (const auto &[name, value] : request.headers) {
        text += name + ": " + value + "\r\n";
    }
    if (!request.body.empty() || request.method != "GET") {
        text += "Content-Type: application/json\r\nContent-Length: "
                + std::to_string(request.body.size()) + "\r\n";
    }
    return text + "\r\n" + request.body;
}

/// True if the server has neither closed the idle connection nor sent anything on it.
template <typename Socket>
bool isStillIdle(Socket &socket)
{
    char byte = 0;
    const auto n = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace

/// The executor's type is fixed, as calls through asio's type-erased one showed in profiles.
struct HttpConnections::Connection
{
    using Socket = asio::basic_stream_socket<tcp, asio::io_context::executor_type>;

    Socket socket{IoThreads::currentIo()};
    ExchangeDeadline deadline;
    /// The deadline has passed and the operations were cancelled.
    bool isExpired = false;
};

HttpConnections::HttpConnections(std::size_t maxIdle)
    : m_maxIdle(maxIdle)
{
}

HttpConnections::~HttpConnections() = default;

std::unique_ptr<HttpConnections::Connection> HttpConnections::takeIdle(const tcp::endpoint &server)
{
    const auto it = m_idle.find(server);
    while (it != m_idle.end() && !it->second.empty()) {
        auto connection = std::move(it->second.back());
        it->second.pop_back();
        if (isStillIdle(connection->socket)) {
            return connection;
        }
    }
    return nullptr;
}

std::unique_ptr<HttpConnections::Connection> HttpConnections::open(const tcp::endpoint &server,
                                                                   const ExchangeDeadline &deadline,
                                                                   boost::system::error_code &ec)
{
    auto connection = std::make_unique<Connection>();
    begin(*connection, deadline);
    ec = awaitIo([&](auto handle) { connection->socket.async_connect(server, handle); }).ec;
    finish(*connection);
    if (ec) {
        return nullptr;
    }
    boost::system::error_code ignored;
    connection->socket.set_option(tcp::no_delay(true), ignored);
    connection->socket.non_blocking(true, ignored);
    return connection;
}

void HttpConnections::begin(Connection &connection, const ExchangeDeadline &deadline)
{
    connection.deadline = deadline;
    connection.isExpired = false;
    m_busy->connections.push_back(&connection);
    if (!m_busy->isExpiring) {
        m_busy->isExpiring = true;
        spawnFiber([busy = m_busy] { expire(*busy); });
    }
}

void HttpConnections::finish(Connection &connection)
{
    std::erase(m_busy->connections, &connection);
}

void HttpConnections::expire(Busy &busy)
{
    // One timer for all exchanges: a timer for each would be set and cancelled with every order.
    asio::steady_timer timer{IoThreads::currentIo()};
    while (!busy.connections.empty()) {
        timer.expires_after(expiryInterval);
        awaitIo([&timer](auto handle) { timer.async_wait(handle); });
        const auto now = std::chrono::steady_clock::now();
        for (Connection *const it : busy.connections) {
            if (it->deadline.hasPassed(now)) {
                it->isExpired = true;
                boost::system::error_code ignored;
                it->socket.cancel(ignored);
            }
        }
    }
    busy.isExpiring = false;
}

bool HttpConnections::connect(const tcp::endpoint &server, Duration limit)
{
    boost::system::error_code ec;
    const ExchangeDeadline deadline{ExchangeLimits::ofWhole(limit),
                                    std::chrono::steady_clock::now()};
    auto connection = m_isShutDown ? nullptr : open(server, deadline, ec);
    if (!connection) {
        return false;
    }
    m_idle[server].push_back(std::move(connection));
    return true;
}

IoEnd HttpConnections::write(Connection &connection, const std::string &text)
{
    // A request fits the socket's buffer as a rule, so that no wait is needed.
    boost::system::error_code ec;
    std::size_t written = connection.socket.write_some(asio::buffer(text), ec);
    if (ec && ec != asio::error::would_block) {
        return {ec, 0};
    }
    while (written < text.size()) {
        const IoEnd end = awaitIo([&](auto handle) {
            connection.socket.async_write_some(
                    asio::buffer(text.data() + written, text.size() - written), handle);
        });
        if (end.ec) {
            return {end.ec, written};
        }
        written += end.bytes;
    }
    return {{}, written};
}

boost::system::error_code HttpConnections::read(Connection &connection, HttpResponse &response,
                                                bool &keepAlive)
{
    http::response_parser<http::string_body> parser;
    parser.body_limit(maxAnswerBytes);
    parser.eager(true);
    beast::flat_buffer buf;
    boost::system::error_code ec;
    while (!parser.is_done()) {
        if (buf.size() >= detail::maxPartBytes) {
            return http::error::header_limit;
        }
        const IoEnd end = awaitIo([&](auto handle) {
            connection.socket.async_read_some(buf.prepare(readBytes), handle);
        });
        if (end.ec == asio::error::eof && parser.got_some()) {
            parser.put_eof(ec);
            if (ec) {
                return ec;
            }
            break;
        }
        if (end.ec) {
            return end.ec;
        }
        connection.deadline.recordArrival(std::chrono::steady_clock::now());
        buf.commit(end.bytes);
        while (buf.size() > 0 && !parser.is_done()) {
            buf.consume(parser.put(buf.data(), ec));
            if (ec == http::error::need_more) {
                ec = {};
                break;
            }
            if (ec) {
                return ec;
            }
        }
    }
    keepAlive = parser.get().keep_alive() && buf.size() == 0;
    response.status = parser.get().result_int();
    for (const auto &it : parser.get()) {
        response.headers.emplace_back(it.name_string(), it.value());
    }
    response.body = std::move(parser.get().body());
    return {};
}

HttpClientResult HttpConnections::exchange(const tcp::endpoint &server, const HttpRequest &request,
                                           const ExchangeLimits &limits)
{
    if (m_isShutDown) {
        return HttpClientError{asio::error::operation_aborted, false};
    }
    const ExchangeDeadline deadline{limits, std::chrono::steady_clock::now()};
    std::unique_ptr<Connection> connection = takeIdle(server);
    if (!connection) {
        boost::system::error_code ec;
        connection = open(server, deadline, ec);
        if (!connection) {
            return HttpClientError{ec, false};
        }
    }
    begin(*connection, deadline);
    const IoEnd written = write(*connection, requestText(server, request));
    HttpResponse response;
    bool keepAlive = false;
    boost::system::error_code ec = written.ec;
    if (!ec) {
        ec = read(*connection, response, keepAlive);
    }
    finish(*connection);
    if (ec) {
        return HttpClientError{ec, written.bytes > 0};
    }
    auto &idle = m_idle[server];
    if (keepAlive && !connection->isExpired && !m_isShutDown && idle.size() < m_maxIdle) {
        idle.push_back(std::move(connection));
    }
    return response;
}

void HttpConnections::closeIdle(const tcp::endpoint &server)
{
    m_idle.erase(server);
}

void HttpConnections::shutDown()
{
    m_isShutDown = true;
    m_idle.clear();
    for (Connection *const it : m_busy->connections) {
        boost::system::error_code ignored;
        it->socket.cancel(ignored);
    }
}

} // namespace rattandock::adapters
