#include "rattandock/app/fleet_daemon.hpp"

#include <openssl/rand.h>

#include <algorithm>
#include <atomic>
#include <future>
#include <map>
#include <set>
#include <utility>

#include "rattandock/adapters/endpoint.hpp"
#include "rattandock/adapters/http_server.hpp"
#include "rattandock/adapters/log.hpp"
#include "rattandock/adapters/peer_streams.hpp"
#include "rattandock/adapters/system_clock.hpp"
#include "rattandock/fleet/link_choice.hpp"

namespace rattandock::app {

using adapters::HttpServer;
using adapters::LogLevel;
using adapters::LogPart;

namespace {

/// Everything runs on the one thread: on the platform's VMs only one runs at a time, and handing
/// over between threads costs wake-ups, which are priced.
constexpr std::size_t threadCount = 1;
/// Idle connections that are kept to one server: an upstream runs few tasks at once.
constexpr std::size_t maxIdleConnections = 8;
/// A stop that has not ended this long after its limit ends all the same.
constexpr Duration stopReserve = std::chrono::milliseconds{500};
/// The routes for operators take no bodies.
constexpr std::uint64_t maxOperatorBodyBytes = 64U << 10U;
/// A few answers of the largest size, as operators take them at once.
constexpr std::size_t maxOperatorBufferedBytes = 4U << 20U;
constexpr TimePoint notDraining = TimePoint::min();

std::uint64_t randomNumber()
{
    std::uint64_t value = 0;
    RAND_bytes(reinterpret_cast<unsigned char *>(&value), sizeof value);
    return value;
}

fleet::FleetOptions optionsOf(const adapters::Settings &settings, Incarnation incarnation)
{
    fleet::FleetOptions options;
    options.vm = settings.dispatcher.vm;
    options.zone = settings.dispatcher.zone;
    options.incarnation = incarnation;
    options.stopLimit = settings.fleet->stopLimit;
    options.drainLimit = settings.fleet->upstreamDrainLimit;
    options.peerSilence = settings.fleet->peerSilence;
    options.evacuationLimit = settings.fleet->evacuationLimit;
    options.farRunFactor = settings.fleet->farRunFactor;
    return options;
}

fleet::MemberRow memberOf(const adapters::Settings &settings, Incarnation incarnation)
{
    const auto &address = *settings.peerAddress;
    return {settings.dispatcher.vm,
            incarnation,
            settings.dispatcher.zone,
            address.address().to_string() + ':' + std::to_string(address.port()),
            settings.fleet->weight,
            false,
            0,
            fleet::ownMessageLevel};
}

adapters::HttpServerLimits operatorLimits(const adapters::Settings &settings)
{
    adapters::HttpServerLimits limits = settings.http;
    limits.maxConnections = settings.maxOperatorConnections;
    limits.maxBodyBytes = std::min(limits.maxBodyBytes, maxOperatorBodyBytes);
    limits.maxBufferedBytes = std::min(limits.maxBufferedBytes, maxOperatorBufferedBytes);
    return limits;
}

/// The settings' limits, lowered to those that the operator configured.
adapters::RequestLimits requestLimits(const adapters::Settings &settings,
                                      const fleet::CallerLimits &configured)
{
    adapters::RequestLimits limits = settings.http;
    const auto lower = [](auto &limit, auto to) {
        if (to > decltype(to){}) {
            limit = std::min<std::remove_reference_t<decltype(limit)>>(limit, to);
        }
    };
    lower(limits.maxHeaderBytes, configured.maxHeaderBytes);
    lower(limits.maxBodyBytes, configured.maxBodyBytes);
    lower(limits.headerTimeout, configured.headerTimeout);
    lower(limits.idleTimeout, configured.idleTimeout);
    return limits;
}

} // namespace

struct FleetDaemon::Parts
{
    Parts(adapters::Settings from, const PlatformAdapters &platform)
        : settings(std::move(from))
        , incarnation(randomNumber())
        , threads(threadCount)
        , connections(maxIdleConnections)
        , store(platform.makeStore(connections, settings.fleet->storeAddress))
        , orders(platform.makeOrders(connections))
        , history(metrics)
        , loop(threads, clock, optionsOf(settings, incarnation), *orders, history)
        , sync(*store, loop, platform.directory, memberOf(settings, incarnation),
               fleet::DirectoryTimes{settings.fleet->upstreamDrainLimit}, threads.io(0))
        , api(loop, history, metrics, platform.callers, settings.dispatcher.vm,
              settings.fleet->callerWait)
    {
    }

    /// Runs the function as a fiber of the thread and waits for its end.
    void onThread(const std::function<void()> &function)
    {
        std::promise<void> done;
        threads.spawn(0, [&] {
            function();
            done.set_value();
        });
        done.get_future().wait();
    }
    void listen(Findings &findings);
    void configure(fleet::FleetConfig config);
    void startPeers(Findings &findings);
    void followMembers(const std::vector<fleet::MemberRow> &rows);
    core::Heartbeat heartbeat();

    adapters::Settings settings;
    Incarnation incarnation;
    adapters::SystemClock clock;
    adapters::Metrics metrics;
    adapters::IoThreads threads;
    adapters::HttpConnections connections;
    std::unique_ptr<ports::MetadataStore> store;
    std::unique_ptr<ports::UpstreamOrders> orders;
    EventHistory history;
    FleetLoop loop;
    FleetSync sync;
    FleetApi api;
    std::unique_ptr<adapters::PeerStreams> peers;
    std::set<VmId> knownPeers;
    std::unique_ptr<HttpServer> callerServer;
    std::unique_ptr<HttpServer> operatorServer;
    std::atomic<TimePoint> drainBegan = notDraining;
    std::atomic<bool> isDone = false;
    bool isStopped = false;
};

core::Heartbeat FleetDaemon::Parts::heartbeat()
{
    const TimePoint now = clock.now();
    const fleet::FleetStatus status = loop.dispatcher().status();
    core::Heartbeat heartbeat;
    heartbeat.vm = settings.dispatcher.vm;
    heartbeat.incarnation = incarnation;
    heartbeat.zone = settings.dispatcher.zone;
    heartbeat.monotonicTime = now.time_since_epoch().count();
    heartbeat.configuration = ConfigurationVersion{fleet::fleetRevision};
    heartbeat.queuedTasks = static_cast<std::uint32_t>(status.waitingTasks);
    heartbeat.runningTasks = static_cast<std::uint32_t>(status.runs);
    heartbeat.draining = status.stopping;
    heartbeat.room = loop.dispatcher().roomReport(now);
    return heartbeat;
}

void FleetDaemon::Parts::startPeers(Findings &findings)
{
    adapters::PeerStreamsOptions options = settings.peerStreams;
    options.vm = settings.dispatcher.vm;
    options.incarnation = incarnation;
    options.heartbeatInterval = fleet::heartbeatIntervalFor(0);
    options.silenceLimit = settings.fleet->peerSilence;
    options.connectTimeout = settings.fleet->peerSilence;
    options.lastPause = std::chrono::milliseconds{500};
    options.settleLimit = std::chrono::milliseconds{100};
    options.seed = randomNumber();
    options.onInputClosed = [this](const VmId &vm) { loop.postInputClosed(vm); };
    if (settings.peerTls) {
        auto tls = adapters::loadPeerTls(*settings.peerTls);
        if (!tls) {
            findings = tls.error();
            return;
        }
        options.tls = std::move(tls.value());
    }
    auto listening =
            adapters::PeerStreams::listen(threads, *settings.peerAddress, options, loop, metrics,
                                          [this](const auto &give) { give(heartbeat()); });
    if (!listening) {
        findings.add("peerAddress", listening.error().message());
        return;
    }
    peers = std::move(listening.value());
    peers->connect({});
}

void FleetDaemon::Parts::followMembers(const std::vector<fleet::MemberRow> &rows)
{
    std::map<VmId, fleet::MemberRow> members;
    for (const fleet::MemberRow &it : rows) {
        members.emplace(it.vm, it);
    }
    std::set<VmId> links = fleet::chooseLinks(settings.dispatcher.vm, members);
    for (const VmId &it : links) {
        const fleet::MemberRow &row = members.at(it);
        if (const auto address = adapters::parseEndpoint(row.peerAddress)) {
            peers->addPeer({it, row.zone, *address});
        }
    }
    for (const VmId &it : knownPeers) {
        if (!links.contains(it)) {
            peers->removePeer(it);
        }
    }
    knownPeers = std::move(links);
    peers->setHeartbeatInterval(fleet::heartbeatIntervalFor(knownPeers.size()));
}

void FleetDaemon::Parts::listen(Findings &findings)
{
    const auto badRequest = [this](std::string_view reason) {
        metrics.count("bad_requests", reason);
    };
    const auto bind = [&](const char *key, const auto &address, const auto &limits, auto handler,
                          auto &into) {
        auto server = HttpServer::listen(threads, address, limits, handler, badRequest);
        if (!server) {
            findings.add(key, server.error().message());
        } else {
            into = std::move(server.value());
        }
    };
    bind(
            "callerAddress", settings.callerAddress, settings.http,
            [this](const auto &request) { return api.serveCaller(request); }, callerServer);
    bind(
            "operatorAddress", settings.operatorAddress, operatorLimits(settings),
            [this](const auto &request) { return api.serveOperator(request); }, operatorServer);
}

void FleetDaemon::Parts::configure(fleet::FleetConfig config)
{
    api.configure(std::move(config));
    callerServer->setRequestLimits(requestLimits(settings, api.callerLimits()));
}

Checked<std::unique_ptr<FleetDaemon>> FleetDaemon::start(const adapters::Settings &settings,
                                                         const PlatformAdapters &platform)
{
    auto parts = std::make_unique<Parts>(settings, platform);
    Parts &it = *parts;
    Findings findings;
    it.startPeers(findings);
    if (findings.empty()) {
        it.listen(findings);
    }
    std::unique_ptr<FleetDaemon> daemon{new FleetDaemon(std::move(parts))};
    if (!findings.empty()) {
        daemon->stop();
        return findings;
    }
    it.onThread([&it] {
        it.loop.start(*it.peers,
                      {[&it](const auto &order) { it.sync.writeKeepers(order); },
                       [&it](const auto &from, const auto &changes) {
                           it.sync.takeUpstreamChanges(from, changes);
                       },
                       [&it](std::uint64_t version) { return it.sync.changesSince(version); },
                       [&it] { return it.heartbeat(); }, [&it] { it.sync.hurryBeat(); },
                       [&it] { it.peers->resetConnections(); }});
        it.sync.start([&it](fleet::FleetConfig config) { it.configure(std::move(config)); },
                      [&it](const auto &rows) { it.followMembers(rows); });
    });
    log(LogLevel::Info, LogPart::Daemon,
        "started vm=" + settings.dispatcher.vm.value() + " zone=" + settings.dispatcher.zone.value()
                + " incarnation=" + std::to_string(it.incarnation.value()) + " callers on port "
                + std::to_string(daemon->callerPort()) + ", operators on port "
                + std::to_string(daemon->operatorPort()));
    return daemon;
}

FleetDaemon::FleetDaemon(std::unique_ptr<Parts> parts)
    : m_parts(std::move(parts))
{
}

FleetDaemon::~FleetDaemon()
{
    stop();
}

std::uint16_t FleetDaemon::callerPort() const
{
    return m_parts->callerServer->port();
}

std::uint16_t FleetDaemon::operatorPort() const
{
    return m_parts->operatorServer->port();
}

void FleetDaemon::drain()
{
    TimePoint expected = notDraining;
    if (!m_parts->drainBegan.compare_exchange_strong(expected, m_parts->clock.now())) {
        return;
    }
    log(LogLevel::Info, LogPart::Daemon, "draining");
    m_parts->callerServer->closeAfterAnswers();
    m_parts->threads.spawn(0, [parts = m_parts.get()] {
        parts->api.drain();
        parts->loop.post(fleet::StopRequested{});
    });
}

bool FleetDaemon::isDrained() const
{
    Parts &it = *m_parts;
    const TimePoint began = it.drainBegan;
    if (began == notDraining) {
        return false;
    }
    it.threads.spawn(0, [&it] { it.isDone = it.loop.dispatcher().isStopped(); });
    const bool limitPassed = it.clock.now() - began >= it.settings.fleet->stopLimit + stopReserve;
    return it.isDone || limitPassed;
}

void FleetDaemon::stop()
{
    Parts &it = *m_parts;
    if (std::exchange(it.isStopped, true)) {
        return;
    }
    for (auto *server : {&it.callerServer, &it.operatorServer}) {
        if (*server) {
            // The answers of a stop say that the connection ends.
            (*server)->closeAfterAnswers();
        }
    }
    it.onThread([&it] {
        it.sync.stop();
        it.loop.stop();
        it.connections.shutDown();
    });
    for (auto *server : {&it.callerServer, &it.operatorServer}) {
        if (*server) {
            (*server)->stop();
        }
    }
    if (it.peers) {
        it.peers->stop();
    }
    it.threads.stop();
}

} // namespace rattandock::app
