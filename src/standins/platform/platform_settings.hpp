#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <string_view>

#include "rattandock/base/result.hpp"
#include "standins/platform/standin_platform.hpp"

namespace rattandock::standins {

/// The settings of `platform-standin`.
struct PlatformStandinSettings
{
    /// Loopback only.
    boost::asio::ip::tcp::endpoint address{boost::asio::ip::make_address("127.0.0.1"), 7400};
    std::size_t ioThreads = 1;
    std::size_t maxConnections = 1024;
    PlatformLimits limits;
    /// A JSON array.
    std::string vms = "[]";
};

/// Reads settings in JSON with comments. Errors: every finding with the file and its JSON path.
Checked<PlatformStandinSettings> parsePlatformSettings(std::string_view text,
                                                       const std::string &file);

} // namespace rattandock::standins
