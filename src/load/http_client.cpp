#include "load/http_client.hpp"

#include <sys/socket.h>

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <cerrno>

#include "rattandock/adapters/io_wait.hpp"

namespace rattandock::load {

namespace beast = boost::beast;
namespace http = beast::http;
using adapters::awaitIo;
using adapters::IoEnd;
using boost::asio::ip::tcp;

namespace {

constexpr std::chrono::seconds connectTimeout{2};
constexpr std::uint64_t maxReplyBytes = 64U << 20U;

bool isStillIdle(tcp::socket &socket)
{
    char byte = 0;
    const auto n = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace

struct HttpClient::Connection
{
    explicit Connection(boost::asio::io_context &io)
        : stream(io)
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buf;
};

HttpClient::HttpClient(boost::asio::io_context &io)
    : m_io(io)
{
}

HttpClient::~HttpClient() = default;

std::unique_ptr<HttpClient::Connection> HttpClient::takeKept(const tcp::endpoint &server)
{
    auto &kept = m_kept[server];
    while (!kept.empty()) {
        auto connection = std::move(kept.front());
        kept.pop_front();
        if (isStillIdle(connection->stream.socket())) {
            return connection;
        }
    }
    return nullptr;
}

std::unique_ptr<HttpClient::Connection> HttpClient::connect(const tcp::endpoint &server)
{
    auto connection = std::make_unique<Connection>(m_io);
    connection->stream.expires_after(connectTimeout);
    const IoEnd end =
            awaitIo([&](auto handle) { connection->stream.async_connect(server, handle); });
    if (end.ec) {
        return nullptr;
    }
    beast::error_code ec;
    connection->stream.socket().set_option(tcp::no_delay(true), ec);
    connection->stream.expires_never();
    return connection;
}

Exchange HttpClient::send(const tcp::endpoint &server, const std::string &method,
                          const std::string &path, const std::string &body,
                          const adapters::HttpHeaders &headers, Duration timeout)
{
    Exchange exchange;
    auto connection = takeKept(server);
    if (!connection) {
        connection = connect(server);
    }
    if (!connection) {
        exchange.end = ExchangeEnd::NotConnected;
        return exchange;
    }
    http::request<http::string_body> request{http::string_to_verb(method), path, 11};
    request.set(http::field::host, "loopback");
    for (const auto &[name, value] : headers) {
        request.set(name, value);
    }
    request.body() = body;
    request.prepare_payload();
    connection->stream.expires_after(timeout);
    const IoEnd written =
            awaitIo([&](auto handle) { http::async_write(connection->stream, request, handle); });
    if (written.ec) {
        return exchange;
    }
    http::response_parser<http::string_body> parser;
    parser.body_limit(maxReplyBytes);
    const IoEnd read = awaitIo([&](auto handle) {
        http::async_read(connection->stream, connection->buf, parser, handle);
    });
    if (read.ec) {
        return exchange;
    }
    exchange.end = ExchangeEnd::Answered;
    exchange.status = parser.get().result_int();
    for (const auto &it : parser.get()) {
        exchange.headers.emplace_back(it.name_string(), it.value());
    }
    const bool keep = parser.get().keep_alive();
    exchange.body = std::move(parser.get().body());
    if (keep) {
        connection->stream.expires_never();
        m_kept[server].push_front(std::move(connection));
    }
    return exchange;
}

bool HttpClient::hold(const tcp::endpoint &server)
{
    auto connection = connect(server);
    if (!connection) {
        return false;
    }
    m_held.push_back(std::move(connection));
    return true;
}

void HttpClient::closeAll()
{
    m_kept.clear();
    m_held.clear();
}

} // namespace rattandock::load
