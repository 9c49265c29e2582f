// Feeds a request to the parser in pieces, as the HTTP server does, and checks what it may hold.
#include <algorithm>
#include <boost/beast/http/error.hpp>
#include <cstddef>
#include <cstdint>
#include <string>

#include "../src/rattandock/adapters/detail/request_parser.hpp"

using rattandock::adapters::HttpHeaders;
using rattandock::adapters::HttpRequest;
using rattandock::adapters::detail::RequestParser;

namespace {

constexpr std::uint32_t maxHeaderBytes = 512;
constexpr std::uint64_t maxBodyBytes = 1024;
/// The parser's bound, and the growth of a list that holds it.
constexpr std::size_t maxFields = 256;
constexpr std::size_t maxHeldBytes =
        2 * maxFields * sizeof(HttpHeaders::value_type) + maxHeaderBytes + maxBodyBytes + 16;

void require(bool condition)
{
    if (!condition) {
        __builtin_trap();
    }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    if (size < 2) {
        return 0;
    }
    const std::size_t pieceBytes = data[0] + std::size_t{1};
    RequestParser parser{maxHeaderBytes, maxBodyBytes};
    std::string unparsed;
    for (std::size_t n = 1; n < size && !parser.is_done(); n += pieceBytes) {
        if (unparsed.size() >= maxHeaderBytes) {
            return 0;
        }
        unparsed.append(reinterpret_cast<const char *>(data) + n, std::min(pieceBytes, size - n));
        boost::system::error_code ec;
        unparsed.erase(0, parser.put(boost::asio::buffer(unparsed), ec));
        if (ec && ec != boost::beast::http::error::need_more) {
            return 0;
        }
        require(parser.heldBytes() <= maxHeldBytes);
    }
    if (parser.is_done()) {
        const HttpRequest request = parser.take();
        require(request.body.size() <= maxBodyBytes && request.headers.size() <= maxFields);
    }
    return 0;
}
