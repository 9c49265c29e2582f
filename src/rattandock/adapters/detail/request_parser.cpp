#include "request_parser.hpp"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>

namespace rattandock::adapters::detail {

namespace beast = boost::beast;
namespace http = beast::http;

namespace {

/// Each field takes more memory than its text, which the header limit bounds.
constexpr std::size_t maxHeaderFields = 256;

} // namespace

RequestParser::RequestParser(std::uint32_t maxHeaderBytes, std::uint64_t maxBodyBytes)
    : m_maxHeaderBytes(maxHeaderBytes)
    , m_maxBodyBytes(maxBodyBytes)
{
    eager(true);
    header_limit(maxHeaderBytes);
    body_limit(maxBodyBytes);
}

bool RequestParser::expectsContinue() const
{
    return beast::iequals(m_request.header("Expect"), "100-continue");
}

std::size_t RequestParser::heldBytes() const
{
    return m_headerBytes + m_request.headers.capacity() * sizeof(HttpHeaders::value_type)
           + m_request.body.capacity();
}

void RequestParser::on_request_impl(Verb /*verb*/, Text method, Text target, int /*version*/,
                                    ErrorCode & /*ec*/)
{
    m_request.method = std::string{method};
    const std::string_view text{target.data(), target.size()};
    const auto mark = text.find('?');
    m_request.path = std::string{text.substr(0, mark)};
    if (mark != std::string_view::npos) {
        m_request.query = std::string{text.substr(mark + 1)};
    }
}

void RequestParser::on_response_impl(int /*code*/, Text /*reason*/, int /*version*/,
                                     ErrorCode & /*ec*/)
{
    // Never called: this parser is one of requests.
}

void RequestParser::on_field_impl(Field /*field*/, Text name, Text value, ErrorCode &ec)
{
    if (m_request.headers.size() == maxHeaderFields) {
        ec = http::error::header_limit;
    } else if (!m_isHeaderDone) {
        m_request.headers.emplace_back(name, value);
        m_headerBytes += name.size() + value.size();
    }
}

void RequestParser::on_header_impl(ErrorCode & /*ec*/)
{
    m_isHeaderDone = true;
}

void RequestParser::on_body_init_impl(const boost::optional<std::uint64_t> &length,
                                      ErrorCode & /*ec*/)
{
    m_expectedBody = length.value_or(m_maxBodyBytes);
}

std::size_t RequestParser::on_body_impl(Text body, ErrorCode & /*ec*/)
{
    std::string &into = m_request.body;
    const std::size_t size = into.size() + body.size();
    if (size > into.capacity()) {
        // Memory is taken as bytes arrive: the announced size of a body may never come. A new
        // string has just this capacity, while reserve() of one in use at least doubles it.
        std::string grown;
        grown.reserve(std::max(size, std::min<std::size_t>(2 * into.capacity(), m_expectedBody)));
        grown.append(into);
        into.swap(grown);
    }
    into.append(body.data(), body.size());
    return body.size();
}

void RequestParser::on_chunk_header_impl(std::uint64_t /*size*/, Text extensions, ErrorCode &ec)
{
    m_extensionBytes += extensions.size();
    if (m_extensionBytes > m_maxHeaderBytes) {
        ec = http::error::header_limit;
    }
}

std::size_t RequestParser::on_chunk_body_impl(std::uint64_t /*remaining*/, Text body, ErrorCode &ec)
{
    return on_body_impl(body, ec);
}

void RequestParser::on_finish_impl(ErrorCode & /*ec*/)
{
}

} // namespace rattandock::adapters::detail
