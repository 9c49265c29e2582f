#pragma once

#include <boost/beast/http/basic_parser.hpp>
#include <cstddef>
#include <cstdint>

#include "rattandock/adapters/http_message.hpp"

namespace rattandock::adapters::detail {

/// Parses one HTTP/1.1 request into an HttpRequest. Trailer fields and chunk extensions are checked
/// and dropped. Parses eagerly: put() takes all bytes but those of an incomplete header, chunk line
/// or trailer, which the caller keeps and must bound.
/// Thread safety: none.
class RequestParser final : public boost::beast::http::basic_parser<true>
{
public:
    /// The header limit applies to the header and to all chunk extensions together.
    RequestParser(std::uint32_t maxHeaderBytes, std::uint64_t maxBodyBytes);

    /// Precondition: is_header_done().
    bool expectsContinue() const;
    /// Memory that the request takes up to here.
    std::size_t heldBytes() const;
    /// Precondition: is_done(). Call once.
    HttpRequest take() { return std::move(m_request); }

private:
    using Verb = boost::beast::http::verb;
    using Field = boost::beast::http::field;
    using Text = boost::beast::string_view;
    using ErrorCode = boost::beast::error_code;

    // Names that boost::beast::http::basic_parser prescribes.
    // NOLINTBEGIN(readability-identifier-naming)
    void on_request_impl(Verb verb, Text method, Text target, int version, ErrorCode &ec) override;
    void on_response_impl(int code, Text reason, int version, ErrorCode &ec) override;
    void on_field_impl(Field field, Text name, Text value, ErrorCode &ec) override;
    void on_header_impl(ErrorCode &ec) override;
    void on_body_init_impl(const boost::optional<std::uint64_t> &length, ErrorCode &ec) override;
    std::size_t on_body_impl(Text body, ErrorCode &ec) override;
    void on_chunk_header_impl(std::uint64_t size, Text extensions, ErrorCode &ec) override;
    std::size_t on_chunk_body_impl(std::uint64_t remaining, Text body, ErrorCode &ec) override;
    void on_finish_impl(ErrorCode &ec) override;
    // NOLINTEND(readability-identifier-naming)

    const std::uint32_t m_maxHeaderBytes;
    const std::uint64_t m_maxBodyBytes;
    HttpRequest m_request;
    /// The announced size of the body, or the limit if none was announced.
    std::uint64_t m_expectedBody = 0;
    std::size_t m_extensionBytes = 0;
    std::size_t m_headerBytes = 0;
    bool m_isHeaderDone = false;
};

} // namespace rattandock::adapters::detail
