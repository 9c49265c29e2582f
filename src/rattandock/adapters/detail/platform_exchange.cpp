#include "platform_exchange.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include "http_parts.hpp"
#include "rattandock/adapters/io_wait.hpp"

namespace rattandock::adapters::detail {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

PlatformExchange exchange(asio::io_context &io, const asio::ip::tcp::endpoint &address,
                          const PlatformRequest &request, Duration timeout,
                          std::uint64_t maxReplyBytes)
{
    beast::tcp_stream stream{io};
    stream.expires_after(timeout);
    if (awaitIo([&](auto handle) { stream.async_connect(address, handle); }).ec) {
        return {};
    }
    std::string text = request.method + ' ' + request.target
                       + " HTTP/1.1\r\nHost: platform\r\nConnection: close\r\nContent-Length: "
                       + std::to_string(request.body.size()) + "\r\n\r\n";
    text += request.body;
    const IoEnd written =
            awaitIo([&](auto handle) { asio::async_write(stream, asio::buffer(text), handle); });
    if (written.ec && written.bytes < text.size()) {
        return {};
    }
    http::response_parser<http::string_body> parser;
    parser.body_limit(maxReplyBytes);
    beast::flat_buffer buf{maxPartBytes};
    const IoEnd read = awaitIo([&](auto handle) { http::async_read(stream, buf, parser, handle); });
    if (read.ec) {
        return {PlatformExchange::End::NoReply, 0, {}};
    }
    return {PlatformExchange::End::Replied, parser.get().result_int(),
            std::move(parser.get().body())};
}

} // namespace rattandock::adapters::detail
