#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string_view>

namespace rattandock::adapters {

/// Reads `IP:PORT`; nothing if the text is anything else. Thread safety: any thread.
std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(std::string_view text);

} // namespace rattandock::adapters
