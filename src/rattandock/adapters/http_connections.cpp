#include "rattandock/adapters/http_connections.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <cerrno>

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
bool isStillIdle(tcp::socket &socket)
{
    char byte = 0;
    const auto n = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace

struct HttpConnections::Connection
{
    beast::tcp_stream stream{IoThreads::currentIo()};
    beast::flat_buffer buf;
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
        if (isStillIdle(connection->stream.socket())) {
            return connection;
        }
    }
    return nullptr;
}

std::unique_ptr<HttpConnections::Connection>
HttpConnections::open(const tcp::endpoint &server, std::chrono::steady_clock::time_point deadline,
                      boost::system::error_code &ec)
{
    auto connection = std::make_unique<Connection>();
    ++m_opened;
    m_busy.push_back(connection.get());
    connection->stream.expires_at(deadline);
    const IoEnd end =
            awaitIo([&](auto handle) { connection->stream.async_connect(server, handle); });
    std::erase(m_busy, connection.get());
    ec = end.ec;
    if (ec) {
        return nullptr;
    }
    beast::error_code ignored;
    connection->stream.socket().set_option(tcp::no_delay(true), ignored);
    return connection;
}

bool HttpConnections::connect(const tcp::endpoint &server, Duration limit)
{
    boost::system::error_code ec;
    auto connection =
            m_isShutDown ? nullptr : open(server, std::chrono::steady_clock::now() + limit, ec);
    if (!connection) {
        return false;
    }
    connection->stream.expires_never();
    m_idle[server].push_back(std::move(connection));
    return true;
}

HttpClientResult HttpConnections::exchange(const tcp::endpoint &server, const HttpRequest &request,
                                           Duration limit)
{
    if (m_isShutDown) {
        return HttpClientError{asio::error::operation_aborted, false};
    }
    const auto deadline = std::chrono::steady_clock::now() + limit;
    std::unique_ptr<Connection> connection = takeIdle(server);
    if (!connection) {
        boost::system::error_code ec;
        connection = open(server, deadline, ec);
        if (!connection) {
            return HttpClientError{ec, false};
        }
    }
    m_busy.push_back(connection.get());
    const auto leave = [&] { std::erase(m_busy, connection.get()); };
    beast::tcp_stream &stream = connection->stream;
    const std::string text = requestText(server, request);
    stream.expires_at(deadline);
    const IoEnd written =
            awaitIo([&](auto handle) { asio::async_write(stream, asio::buffer(text), handle); });
    if (written.ec) {
        leave();
        return HttpClientError{written.ec, written.bytes > 0};
    }
    http::response_parser<http::string_body> parser;
    parser.body_limit(maxAnswerBytes);
    stream.expires_at(deadline);
    const IoEnd read = awaitIo(
            [&](auto handle) { http::async_read(stream, connection->buf, parser, handle); });
    leave();
    if (read.ec) {
        return HttpClientError{read.ec, true};
    }
    const bool keepAlive = parser.get().keep_alive();
    HttpResponse response;
    response.status = parser.get().result_int();
    for (const auto &it : parser.get()) {
        response.headers.emplace_back(it.name_string(), it.value());
    }
    response.body = std::move(parser.get().body());
    auto &idle = m_idle[server];
    if (keepAlive && !m_isShutDown && connection->buf.size() == 0 && idle.size() < m_maxIdle) {
        stream.expires_never();
        idle.push_back(std::move(connection));
    }
    return response;
}

void HttpConnections::forget(const tcp::endpoint &server)
{
    m_idle.erase(server);
}

void HttpConnections::shutDown()
{
    m_isShutDown = true;
    m_idle.clear();
    for (Connection *const it : m_busy) {
        it->stream.cancel();
    }
}

} // namespace rattandock::adapters
