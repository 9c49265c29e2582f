#include "rattandock/adapters/endpoint.hpp"

#include <charconv>
#include <string>

namespace rattandock::adapters {

namespace asio = boost::asio;
using asio::ip::tcp;

std::optional<tcp::endpoint> parseEndpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    std::string host{text.substr(0, colon)};
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    boost::system::error_code ec;
    const auto address = asio::ip::make_address(host, ec);
    std::uint16_t port = 0;
    const char *end = text.data() + text.size();
    const auto read = std::from_chars(text.data() + colon + 1, end, port);
    if (ec || read.ec != std::errc{} || read.ptr != end) {
        return std::nullopt;
    }
    return tcp::endpoint{address, port};
}

} // namespace rattandock::adapters
