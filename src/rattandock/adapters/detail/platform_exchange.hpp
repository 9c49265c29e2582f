#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>

#include "rattandock/base/time.hpp"

namespace rattandock::adapters::detail {

struct PlatformRequest
{
    std::string method;
    std::string target;
    std::string body;
};

/// The end of one request.
struct PlatformExchange
{
    enum class End : std::uint8_t {
        /// The request was not handed to the kernel whole; it has no effect.
        NotSent,
        /// Sent without a reply.
        NoReply,
        Replied,
    };

    End end = End::NotSent;
    unsigned status = 0;
    std::string body;
};

/// Sends one request over a new connection and reads the reply; suspends the calling fiber.
/// Precondition: the calling thread runs the io_context.
PlatformExchange exchange(boost::asio::io_context &io,
                          const boost::asio::ip::tcp::endpoint &address,
                          const PlatformRequest &request, Duration timeout,
                          std::uint64_t maxReplyBytes);

} // namespace rattandock::adapters::detail
