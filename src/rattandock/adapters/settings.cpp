#include "rattandock/adapters/settings.hpp"

#include <algorithm>
#include <array>
#include <set>

#include "rattandock/adapters/json_document.hpp"
#include "rattandock/adapters/json_object_reader.hpp"
#include "rattandock/adapters/peer_codec.hpp"
#include "rattandock/fleet/lease_times.hpp"

namespace rattandock::adapters {

namespace json = boost::json;
namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t maxNameBytes = 64;
constexpr std::size_t maxFileNameBytes = 512;
constexpr std::int64_t maxHourMs = 3'600'000;

std::optional<asio::ip::tcp::endpoint> parseAddress(const std::string &text)
{
    const auto colon = text.rfind(':');
    boost::system::error_code ec;
    const auto address = asio::ip::make_address(text.substr(0, colon), ec);
    if (ec || colon == std::string::npos) {
        return std::nullopt;
    }
    const std::string port = text.substr(colon + 1);
    const bool digits =
            !port.empty() && port.size() <= 5
            && std::ranges::all_of(port, [](unsigned char it) { return std::isdigit(it) != 0; });
    if (!digits || std::stoul(port) > 65535) {
        return std::nullopt;
    }
    return asio::ip::tcp::endpoint{address, static_cast<std::uint16_t>(std::stoul(port))};
}

void readAddress(JsonObjectReader &reader, std::string_view key, asio::ip::tcp::endpoint &into)
{
    reader.require(key);
    if (const auto text = reader.text(key, 1, 64)) {
        if (const auto address = parseAddress(*text)) {
            into = *address;
        } else {
            reader.report(key, "must be an IP address and port, such as 127.0.0.1:7100");
        }
    }
}

template <typename T>
void readInteger(JsonObjectReader &reader, std::string_view key, std::int64_t min, std::int64_t max,
                 T &into)
{
    if (const auto read = reader.integer(key, min, max)) {
        into = static_cast<T>(*read);
    }
}

void readMilliseconds(JsonObjectReader &reader, std::string_view key, std::int64_t min,
                      std::int64_t max, Duration &into)
{
    if (const auto read = reader.integer(key, min, max)) {
        into = milliseconds{*read};
    }
}

template <typename Id>
void readName(JsonObjectReader &reader, std::string_view key, bool required, Id &into)
{
    if (required) {
        reader.require(key);
    }
    if (const auto read = reader.text(key, 1, maxNameBytes)) {
        into = Id{*read};
    }
}

void readLogLevel(JsonObjectReader &reader, LogLevel &into)
{
    static constexpr std::array<std::string_view, 4> names{"error", "warn", "info", "debug"};
    if (const auto text = reader.text("logLevel", 1, 16)) {
        const auto *const it = std::ranges::find(names, *text);
        if (it == names.end()) {
            reader.report("logLevel", "must be error, warn, info or debug");
        } else {
            into = static_cast<LogLevel>(it - names.begin());
        }
    }
}

void readPolicy(JsonObjectReader &reader, core::PlacementPolicyKind &into)
{
    if (const auto text = reader.text("placement", 1, maxNameBytes)) {
        if (const auto policy = core::placementPolicyFrom(*text)) {
            into = *policy;
        } else {
            reader.report("placement", "is not a known policy");
        }
    }
}

UpstreamSettings readUpstream(JsonObjectReader &reader, const ZoneId &zone)
{
    UpstreamSettings upstream;
    upstream.spec.zone = zone;
    readName(reader, "id", true, upstream.spec.id);
    readAddress(reader, "address", upstream.address);
    readName(reader, "zone", false, upstream.spec.zone);
    readName(reader, "rack", false, upstream.spec.rack);
    core::Resources &capacity = upstream.spec.capacity;
    const auto read = [&reader](std::string_view key, std::int64_t max, auto &into) {
        if (const auto value = reader.integer(key, 0, max)) {
            into = std::remove_reference_t<decltype(into)>{static_cast<std::uint32_t>(*value)};
        }
    };
    read("slots", 1024, upstream.spec.slots);
    read("cores", 4096, capacity.cores);
    read("memoryMb", 16'777'216, capacity.memory);
    read("accelerators", 64, capacity.accelerators);
    return upstream;
}

core::TeamSpec readTeam(JsonObjectReader &reader)
{
    core::TeamSpec team;
    readName(reader, "id", true, team.id);
    readInteger(reader, "weight", 1, 1000, team.weight);
    readInteger(reader, "quota", 0, 1'000'000, team.quota);
    return team;
}

void reportDoubledIds(const Settings &settings, Findings &findings)
{
    std::set<std::string> seen;
    for (std::size_t n = 0; n < settings.upstreams.size(); ++n) {
        if (!seen.insert(settings.upstreams[n].spec.id.value()).second) {
            findings.add("$.upstreams[" + std::to_string(n) + "].id", "stands twice");
        }
    }
}

void readLimits(JsonObjectReader &reader, Settings &settings)
{
    HttpServerLimits &http = settings.http;
    readInteger(reader, "maxConnections", 1, 100'000, http.maxConnections);
    readInteger(reader, "maxOperatorConnections", 1, 100'000, settings.maxOperatorConnections);
    readInteger(reader, "maxBufferedBytes", 1 << 20, 1LL << 34U, http.maxBufferedBytes);
    readInteger(reader, "maxHeaderBytes", 1024, 1 << 20, http.maxHeaderBytes);
    readInteger(reader, "maxBodyBytes", 1024, 64 << 20, http.maxBodyBytes);
    readMilliseconds(reader, "headerTimeoutMs", 100, maxHourMs, http.headerTimeout);
    readMilliseconds(reader, "requestTimeoutMs", 100, maxHourMs, http.requestTimeout);
    readMilliseconds(reader, "idleTimeoutMs", 100, maxHourMs, http.idleTimeout);
    readInteger(reader, "maxTasks", 1, 10'000, settings.jobs.maxTasks);
    readInteger(reader, "maxPayloadBytes", 1, 16 << 20, settings.jobs.maxPayloadBytes);
    core::DispatcherOptions &core = settings.dispatcher;
    readInteger(reader, "maxQueuedTasks", 1, 10'000'000, core.maxQueuedTasks);
    readInteger(reader, "maxRecords", 1, 100'000'000, core.maxRecords);
    std::int64_t bytes = static_cast<std::int64_t>(core.maxQueuedBytes.value());
    readInteger(reader, "maxQueuedBytes", 1, 1LL << 34U, bytes);
    core.maxQueuedBytes = Bytes{static_cast<std::uint64_t>(bytes)};
    bytes = static_cast<std::int64_t>(core.answerStore.value());
    readInteger(reader, "answerStoreBytes", 0, 1LL << 34U, bytes);
    core.answerStore = Bytes{static_cast<std::uint64_t>(bytes)};
}

void readTimes(JsonObjectReader &reader, Settings &settings)
{
    core::DispatcherOptions &core = settings.dispatcher;
    readMilliseconds(reader, "tokenLifetimeMs", 1000, maxHourMs, core.tokenLifetime);
    readMilliseconds(reader, "recordGraceMs", 1000, maxHourMs, core.recordGrace);
    readMilliseconds(reader, "keyValidityMs", 1000, maxHourMs, core.keyValidity);
    readMilliseconds(reader, "stopLimitMs", 0, maxHourMs, core.stopLimit);
    readMilliseconds(reader, "replyGraceMs", 0, 60'000, core.replyGrace);
    readMilliseconds(reader, "retryBackoffMs", 1, 10'000, core.retryBackoff);
    if (const auto share = reader.number("retryBudgetShare", 0, 1)) {
        core.retryBudgetShare = *share;
    }
}

void readUpstreamClient(JsonObjectReader &reader, UpstreamClientOptions &options)
{
    readInteger(reader, "connectionsPerUpstream", 1, 10'000, options.connectionsPerUpstream);
    readMilliseconds(reader, "connectTimeoutMs", 1, 60'000, options.connectTimeout);
    readMilliseconds(reader, "upstreamIdleTimeoutMs", 1, maxHourMs, options.idleTimeout);
    readInteger(reader, "maxReplyBytes", 1, 64 << 20, options.maxReplyBytes);
}

PeerAddress readPeer(JsonObjectReader &reader, const Settings &settings)
{
    PeerAddress peer;
    peer.zone = settings.dispatcher.zone;
    readName(reader, "vm", true, peer.vm);
    readName(reader, "zone", false, peer.zone);
    readAddress(reader, "address", peer.address);
    if (!peer.vm.value().empty() && peer.vm == settings.dispatcher.vm) {
        reader.report("vm", "is this VM");
    }
    return peer;
}

PeerTlsFiles readPeerTls(JsonObjectReader &reader)
{
    PeerTlsFiles files;
    const auto read = [&reader](std::string_view key, std::string &into) {
        reader.require(key);
        into = reader.text(key, 1, maxFileNameBytes).value_or("");
    };
    read("certificate", files.certificate);
    read("key", files.key);
    read("authority", files.authority);
    return files;
}

void readPlatform(JsonObjectReader &reader, Settings &settings)
{
    if (reader.text("platformAddress", 1, 64)) {
        readAddress(reader, "platformAddress", settings.platformAddress.emplace());
    }
    settings.dispatcher.keyRanges = settings.platformAddress.has_value();
    readMilliseconds(reader, "vmListIntervalMs", 100, 60'000, settings.vmListInterval);
}

void readPeers(JsonObjectReader &reader, Settings &settings)
{
    if (reader.text("peerAddress", 1, 64)) {
        readAddress(reader, "peerAddress", settings.peerAddress.emplace());
    }
    if (const auto isPrivate = reader.boolean("peerNetworkIsPrivate")) {
        settings.peerNetworkIsPrivate = *isPrivate;
    }
    reader.child("peerTls", [&](JsonObjectReader &tls) { settings.peerTls = readPeerTls(tls); });
    auto bytes = static_cast<std::int64_t>(settings.peerStreams.sendQueue.value());
    readInteger(reader, "peerSendQueueBytes", maxPeerMessageBytes, 1LL << 32U, bytes);
    settings.peerStreams.sendQueue = Bytes{static_cast<std::uint64_t>(bytes)};
    reader.objects("peers", 0, 10'000, [&](JsonObjectReader &item) {
        settings.peers.push_back(readPeer(item, settings));
    });
    if (!settings.peers.empty() && !settings.peerAddress) {
        reader.report("peers", "needs peerAddress");
    }
    if (!settings.peers.empty() && !settings.platformAddress) {
        // Without leases on key ranges two VMs could start the same key.
        reader.report("peers", "needs platformAddress");
    }
}

FleetSettings readFleet(JsonObjectReader &reader)
{
    FleetSettings fleet;
    readAddress(reader, "storeAddress", fleet.storeAddress);
    if (const auto weight = reader.number("weight", 0, 256)) {
        fleet.weight = *weight;
        if (*weight == 0) {
            reader.report("weight", "must be above 0");
        }
    }
    readMilliseconds(reader, "callerWaitMs", 100, maxHourMs, fleet.callerWait);
    readMilliseconds(reader, "peerSilenceMs", 100, toMilliseconds(fleet::LeaseTimes{}.maxSilence()),
                     fleet.peerSilence);
    readMilliseconds(reader, "stopLimitMs", 0, maxHourMs, fleet.stopLimit);
    readMilliseconds(reader, "upstreamDrainMs", 1000, 60'000, fleet.upstreamDrainLimit);
    if (const auto read = reader.integer("evacuationLimitMs", 2000, maxHourMs)) {
        fleet.evacuationLimit = milliseconds{*read};
    }
    if (const auto read = reader.number("farRunFactor", 1, 10)) {
        fleet.farRunFactor = *read;
    }
    return fleet;
}

void reportDoubledPeers(const Settings &settings, Findings &findings)
{
    std::set<VmId> vms;
    std::set<asio::ip::tcp::endpoint> addresses;
    for (std::size_t n = 0; n < settings.peers.size(); ++n) {
        const std::string place = "$.peers[" + std::to_string(n) + ']';
        if (!vms.insert(settings.peers[n].vm).second) {
            findings.add(place + ".vm", "stands twice");
        }
        if (!addresses.insert(settings.peers[n].address).second) {
            findings.add(place + ".address", "stands twice");
        }
    }
}

/// Without TLS anyone who reaches the listener could speak as a peer.
void reportOpenPeerAddresses(const Settings &settings, Findings &findings)
{
    if (settings.peerTls || settings.peerNetworkIsPrivate) {
        return;
    }
    constexpr auto message = "must be a loopback address without peerTls";
    if (settings.peerAddress && !settings.peerAddress->address().is_loopback()) {
        findings.add("$.peerAddress", message);
    }
    for (std::size_t n = 0; n < settings.peers.size(); ++n) {
        const auto &address = settings.peers[n].address.address();
        if (!address.is_unspecified() && !address.is_loopback()) {
            findings.add("$.peers[" + std::to_string(n) + "].address", message);
        }
    }
}

void readSettings(JsonObjectReader &reader, Settings &settings)
{
    readName(reader, "vm", true, settings.dispatcher.vm);
    readName(reader, "zone", true, settings.dispatcher.zone);
    readAddress(reader, "callerAddress", settings.callerAddress);
    readAddress(reader, "operatorAddress", settings.operatorAddress);
    readInteger(reader, "ioThreads", 1, 64, settings.ioThreads);
    readLogLevel(reader, settings.logLevel);
    readPolicy(reader, settings.dispatcher.placement);
    readLimits(reader, settings);
    readTimes(reader, settings);
    readUpstreamClient(reader, settings.upstreamClient);
    reader.objects("upstreams", 0, 100'000, [&](JsonObjectReader &item) {
        settings.upstreams.push_back(readUpstream(item, settings.dispatcher.zone));
    });
    reader.objects("teams", 0, 100'000,
                   [&](JsonObjectReader &item) { settings.teams.push_back(readTeam(item)); });
    readPlatform(reader, settings);
    readPeers(reader, settings);
    reader.child("fleet", [&](JsonObjectReader &item) {
        settings.fleet = readFleet(item);
        if (!settings.peerAddress) {
            item.report("storeAddress", "needs peerAddress");
        }
    });
}

} // namespace

Checked<Settings> parseSettings(std::string_view text, const std::string &file)
{
    const auto document = parseJsonDocument(text, file);
    if (!document) {
        return document.error();
    }
    Findings findings;
    Settings settings;
    JsonObjectReader reader{document.value(), "$", findings};
    readSettings(reader, settings);
    reader.reportUnknownKeys();
    reportDoubledPeers(settings, findings);
    reportOpenPeerAddresses(settings, findings);
    reportDoubledIds(settings, findings);
    settings.jobs.maxDeadline = settings.dispatcher.recordGrace;
    if (findings.empty()) {
        return settings;
    }
    return withFile(findings, file);
}

std::vector<std::string> settingsKeys()
{
    const json::object none;
    Findings ignored;
    Settings settings;
    std::vector<std::string> keys;
    const auto add = [&](const std::string &prefix, auto read) {
        JsonObjectReader reader{none, "$", ignored};
        read(reader);
        for (const std::string &it : reader.knownKeys()) {
            keys.push_back(prefix + it);
        }
    };
    add("", [&](JsonObjectReader &reader) { readSettings(reader, settings); });
    add("upstreams[].", [](JsonObjectReader &reader) { readUpstream(reader, {}); });
    add("peers[].", [](JsonObjectReader &reader) { readPeer(reader, {}); });
    add("peerTls.", [](JsonObjectReader &reader) { readPeerTls(reader); });
    add("fleet.", [](JsonObjectReader &reader) { readFleet(reader); });
    add("teams[].", [](JsonObjectReader &reader) { readTeam(reader); });
    return keys;
}

Checked<Settings> loadSettings(const std::string &file)
{
    const auto text = readTextFile(file);
    if (!text) {
        return text.error();
    }
    return parseSettings(text.value(), file);
}

} // namespace rattandock::adapters
