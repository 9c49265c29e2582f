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

/// Settings of a VM that shares upstreams with others through the platform.
struct FleetSettings
{
    boost::asio::ip::tcp::endpoint storeAddress;
    /// Share of a core; upstreams are divided by it.
    double weight = 1;
    /// Wait for the answer of a caller that names none.
    Duration callerWait = std::chrono::seconds{5};
    /// With the lease of runs it must be over before callers resubmit (1,300 ms).
    Duration peerSilence = std::chrono::milliseconds{600};
    Duration stopLimit = std::chrono::milliseconds{4500};
    /// An upstream that drains must get no new work this long after it said so.
    Duration upstreamDrainLimit = std::chrono::milliseconds{2000};
    /// No task may be started in a zone later than this after the operator requested its
    /// evacuation. Absent if the platform states no limit.
    std::optional<Duration> evacuationLimit;
    /// Factor by which a task's run time increases on a rack other than the one that it requests.
    double farRunFactor = 2;
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
    /// Separate from those of callers, so that both together stay within the VM's descriptors.
    std::size_t maxOperatorConnections = 64;
    JobLimits jobs;
    UpstreamClientOptions upstreamClient;
    core::DispatcherOptions dispatcher;
    /// Nothing for a single VM that needs no platform.
    std::optional<boost::asio::ip::tcp::endpoint> platformAddress;
    Duration vmListInterval = std::chrono::seconds{1};
    std::vector<UpstreamSettings> upstreams;
    std::vector<core::TeamSpec> teams;
    /// Present on VMs of a fleet; `upstreams`, `teams` and `peers` come from the platform then.
    std::optional<FleetSettings> fleet;
    /// The network between the VMs is closed to others, so links need no TLS.
    bool peerNetworkIsPrivate = false;
};

/// Reads settings in JSON with comments. Errors: every finding, each with the file and its JSON
/// path, or the line of a syntax error.
Checked<Settings> parseSettings(std::string_view text, const std::string &file);

/// Every key that parseSettings() accepts, those of array items as `upstreams[].id`.
std::vector<std::string> settingsKeys();

/// Reads the file and parses it.
Checked<Settings> loadSettings(const std::string &file);

} // namespace rattandock::adapters
