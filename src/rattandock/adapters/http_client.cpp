#include "rattandock/adapters/http_client.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace rattandock::adapters {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

namespace {

constexpr std::uint64_t maxAnswerBytes = 256U << 20U;

/// One exchange; its own io_context runs until the last step is done or the stream has expired.
class Exchange
{
public:
    explicit Exchange(Duration limit)
    {
        m_stream.expires_after(limit);
        m_parser.body_limit(maxAnswerBytes);
    }

    HttpClientResult run(const tcp::endpoint &server, const HttpRequest &from)
    {
        http::request<http::string_body> request;
        request.method_string(from.method);
        request.target(from.path);
        request.version(11);
        request.set(http::field::host, server.address().to_string());
        request.set(http::field::content_type, "application/json");
        request.keep_alive(false);
        request.body() = from.body;
        request.prepare_payload();
        HttpClientError error;
        m_stream.async_connect(server, [&](beast::error_code ec) { error.ec = ec; });
        m_io.run();
        if (error.ec) {
            return error;
        }
        error.sent = true;
        m_io.restart();
        http::async_write(m_stream, request, [&](beast::error_code ec, std::size_t) {
            // A server that refuses early may close while the request is still being sent; its
            // answer can be read all the same.
            if (ec == beast::error::timeout) {
                error.ec = ec;
                return;
            }
            http::async_read(
                    m_stream, m_buf, m_parser,
                    [&](beast::error_code readError, std::size_t) { error.ec = readError; });
        });
        m_io.run();
        if (error.ec) {
            return error;
        }
        return toResponse();
    }

private:
    HttpResponse toResponse()
    {
        auto answer = m_parser.release();
        HttpResponse response;
        response.status = answer.result_int();
        for (const auto &it : answer) {
            response.headers.emplace_back(it.name_string(), it.value());
        }
        response.body = std::move(answer.body());
        return response;
    }

    asio::io_context m_io;
    beast::tcp_stream m_stream{m_io};
    beast::flat_buffer m_buf;
    http::response_parser<http::string_body> m_parser;
};

} // namespace

HttpClientResult sendHttpRequest(const tcp::endpoint &server, const HttpRequest &request,
                                 Duration limit)
{
    return Exchange{limit}.run(server, request);
}

} // namespace rattandock::adapters
