#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string>
#include <vector>

#include "rattandock/adapters/http_server.hpp"
#include "rattandock/adapters/job_json.hpp"
#include "rattandock/adapters/peer_streams.hpp"
#include "rattandock/adapters/upstream_client.hpp"
#include "rattandock/base/result.hpp"
#include "rattandock/core/dispatcher_options.hpp"
#include "rattandock/core/team_spec.hpp"
#include "rattandock/core/upstream_spec.hpp"

namespace rattandock::adapters {

enum class LogLevel : std::uint8_t { Error, Warn, Info, Debug };

struct UpstreamSettings
{
    core::UpstreamSpec spec;
    boost::asio::ip::tcp::endpoint address;
};

/// The settings of `rattandockd`; docs/settings.md describes each key.
struct Settings
{
    boost::asio::ip::tcp::endpoint callerAddress;
    boost::asio::ip::tcp::endpoint operatorAddress;
    /// Own listener for peers; a daemon without it has none.
    std::optional<boost::asio::ip::tcp::endpoint> peerAddress;
    std::vector<PeerAddress> peers;
    /// Required unless all peer addresses are loopback addresses.
    std::optional<PeerTlsFiles> peerTls;
    /// The VM and the incarnation are those of `dispatcher`.
    PeerStreamsOptions peerStreams;
    std::size_t ioThreads = 2;
    LogLevel logLevel = LogLevel::Info;
    HttpServerLimits http;
    JobLimits jobs;
    UpstreamClientOptions upstreamClient;
    core::DispatcherOptions dispatcher;
    /// Nothing for a single VM that needs no platform.
    std::optional<boost::asio::ip::tcp::endpoint> platformAddress;
    Duration vmListInterval = std::chrono::seconds{1};
    std::vector<UpstreamSettings> upstreams;
    std::vector<core::TeamSpec> teams;
};

/// Reads settings in JSON with comments. Errors: every finding, each with the file and its JSON
/// path, or the line of a syntax error.
Checked<Settings> parseSettings(std::string_view text, const std::string &file);

/// Every key that parseSettings() knows, those of array items as `upstreams[].id`.
std::vector<std::string> settingsKeys();

/// Reads the file and parses it.
Checked<Settings> loadSettings(const std::string &file);

} // namespace rattandock::adapters
