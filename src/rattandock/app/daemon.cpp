#include "rattandock/app/daemon.hpp"

#include <openssl/rand.h>

#include <atomic>
#include <utility>

#include "rattandock/adapters/log.hpp"
#include "rattandock/adapters/peer_streams.hpp"
#include "rattandock/adapters/system_clock.hpp"
#include "rattandock/app/answer_board.hpp"
#include "rattandock/app/caller_api.hpp"
#include "rattandock/app/decision_loop.hpp"
#include "rattandock/app/event_history.hpp"
#include "rattandock/app/operator_api.hpp"
#include "rattandock/app/platform_bridge.hpp"
#include "rattandock/app/routing_snapshot.hpp"

namespace rattandock::app {

using adapters::HttpServer;
using adapters::LogLevel;
using adapters::LogPart;

namespace {

constexpr TimePoint notDraining = TimePoint::min();

/// For a daemon without peerAddress.
class NoPeers final : public ports::PeerPort
{
public:
    void send(core::SendToPeer /*message*/) override { }
};

template <typename T>
T randomValue()
{
    T value{};
    RAND_bytes(reinterpret_cast<unsigned char *>(&value), sizeof value);
    return value;
}

adapters::Settings withIncarnation(adapters::Settings settings)
{
    settings.dispatcher.incarnation = Incarnation{randomValue<std::uint64_t>()};
    settings.dispatcher.tokenSecret = randomValue<core::TokenSecret>();
    return settings;
}

core::Heartbeat heartbeatOf(const core::DispatcherStatus &status,
                            const core::DispatcherOptions &own, TimePoint now)
{
    core::Heartbeat heartbeat;
    heartbeat.vm = own.vm;
    heartbeat.incarnation = own.incarnation;
    heartbeat.zone = own.zone;
    heartbeat.monotonicTime = now.time_since_epoch().count();
    heartbeat.configuration = status.configuration;
    heartbeat.queuedTasks = static_cast<std::uint32_t>(status.queuedTasks);
    heartbeat.runningTasks = static_cast<std::uint32_t>(status.runningTasks);
    heartbeat.draining = status.draining;
    return heartbeat;
}

adapters::UpstreamClient::Addresses addressesOf(const adapters::Settings &settings)
{
    adapters::UpstreamClient::Addresses addresses;
    for (const auto &it : settings.upstreams) {
        addresses.emplace(it.spec.id, it.address);
    }
    return addresses;
}

core::ConfigurationAccepted configurationOf(const adapters::Settings &settings)
{
    core::ConfigurationAccepted configuration{ConfigurationVersion{1}, {}, settings.teams};
    for (const auto &it : settings.upstreams) {
        configuration.upstreams.push_back(it.spec);
    }
    return configuration;
}

} // namespace

struct Daemon::Parts
{
    explicit Parts(const adapters::Settings &from)
        : settings(withIncarnation(from))
        , loop(core::Dispatcher{settings.dispatcher, randomValue<std::uint64_t>()}, clock)
        , routing(makeRouting(ConfigurationVersion{1}, settings.jobs, settings.teams))
        , threads(settings.ioThreads)
        , answers(threads)
        , history(metrics)
        , upstreams(threads, clock, loop, settings.upstreamClient, addressesOf(settings))
        , callerApi(loop, answers, metrics, clock, routing,
                    core::TokenAuthority{settings.dispatcher.vm, settings.dispatcher.incarnation,
                                         settings.dispatcher.tokenLifetime,
                                         settings.dispatcher.tokenSecret})
        , operatorApi(loop, history, metrics, settings.dispatcher,
                      {[this] { return callerServer->connections(); },
                       [this] { return operatorConnections(); }, [this] { drain(); },
                       [this] { return drainBegan.load() != notDraining; }})
    {
    }

    std::size_t operatorConnections() const
    {
        const HttpServer *server = operatorView;
        return server == nullptr ? 0 : server->connections();
    }
    void drain();
    /// Binds the peer listener and opens the links, if the settings have them.
    void startPeers(Findings &findings);
    /// Begins to use the platform, if the settings have it.
    void startPlatform();

    adapters::Settings settings;
    adapters::SystemClock clock;
    adapters::Metrics metrics;
    DecisionLoop loop;
    Routing routing;
    adapters::IoThreads threads;
    AnswerBoard answers;
    EventHistory history;
    adapters::UpstreamClient upstreams;
    NoPeers noPeers;
    std::unique_ptr<adapters::PeerStreams> peers;
    NoTable noTable{loop};
    std::unique_ptr<PlatformBridge> platform;
    CallerApi callerApi;
    OperatorApi operatorApi;
    std::unique_ptr<HttpServer> callerServer;
    std::unique_ptr<HttpServer> operatorServer;
    /// Null until start() has set operatorServer, which its own first requests may precede.
    std::atomic<const HttpServer *> operatorView = nullptr;
    std::atomic<TimePoint> drainBegan = notDraining;
    bool isStopped = false;
};

void Daemon::Parts::startPeers(Findings &findings)
{
    if (!settings.peerAddress) {
        return;
    }
    adapters::PeerStreamsOptions options = settings.peerStreams;
    options.vm = settings.dispatcher.vm;
    options.incarnation = settings.dispatcher.incarnation;
    options.seed = randomValue<std::uint64_t>();
    if (settings.peerTls) {
        auto tls = adapters::loadPeerTls(*settings.peerTls);
        if (!tls) {
            findings = tls.error();
            return;
        }
        options.tls = std::move(tls.value());
    }
    // Asked of the decision thread, so that a daemon whose decisions hang sends no heartbeat.
    const auto heartbeats = [this](const auto &give) {
        loop.ask([this, give](const core::Dispatcher &dispatcher, TimePoint now) {
            give(heartbeatOf(dispatcher.status(), settings.dispatcher, now));
        });
    };
    auto listening = adapters::PeerStreams::listen(threads, *settings.peerAddress, options, loop,
                                                   metrics, heartbeats);
    if (!listening) {
        findings.add("peerAddress", listening.error().message());
        return;
    }
    peers = std::move(listening.value());
    peers->connect(settings.peers);
}

void Daemon::Parts::startPlatform()
{
    if (!settings.platformAddress) {
        return;
    }
    adapters::PlatformClientOptions options;
    options.address = *settings.platformAddress;
    // Not longer than the core waits, so that a call that it gave up is not tried again.
    options.deadline = settings.dispatcher.tableTimeout;
    options.seed = randomValue<std::uint64_t>();
    platform = std::make_unique<PlatformBridge>(threads, clock, metrics, loop, options,
                                                settings.vmListInterval);
}

Checked<std::unique_ptr<Daemon>> Daemon::start(const adapters::Settings &settings)
{
    auto parts = std::make_unique<Parts>(settings);
    Parts &it = *parts;
    Findings findings;
    it.startPeers(findings);
    ports::PeerPort &peerPort = it.peers ? static_cast<ports::PeerPort &>(*it.peers) : it.noPeers;
    it.startPlatform();
    ports::TablePort &table =
            it.platform ? static_cast<ports::TablePort &>(*it.platform) : it.noTable;
    it.loop.start({it.upstreams, it.answers, peerPort, table, it.history});
    it.loop.post(configurationOf(it.settings));
    it.loop.waitForPosted();
    if (it.platform) {
        it.platform->start();
    }
    const auto badRequest = [&it](std::string_view reason) {
        it.metrics.count("bad_requests", reason);
    };
    // The routes use both servers, so each is in its place before a request can need it.
    const auto listen = [&](const char *key, const auto &address, const auto &limits, auto handler,
                            auto &into) {
        auto server = HttpServer::listen(it.threads, address, limits, handler, badRequest);
        if (!server) {
            findings.add(key, server.error().message());
        } else {
            into = std::move(server.value());
        }
    };
    adapters::HttpServerLimits operatorLimits = settings.http;
    operatorLimits.maxConnections = settings.maxOperatorConnections;
    listen(
            "callerAddress", settings.callerAddress, settings.http,
            [&it](const auto &request) { return it.callerApi.serve(request); }, it.callerServer);
    if (it.callerServer) {
        listen(
                "operatorAddress", settings.operatorAddress, operatorLimits,
                [&it](const auto &request) { return it.operatorApi.serve(request); },
                it.operatorServer);
        it.operatorView = it.operatorServer.get();
    }
    std::unique_ptr<Daemon> daemon{new Daemon(std::move(parts))};
    if (!findings.empty()) {
        daemon->stop();
        return findings;
    }
    log(LogLevel::Info, LogPart::Daemon,
        "started, callers on port " + std::to_string(daemon->callerPort()) + ", operators on port "
                + std::to_string(daemon->operatorPort()));
    return daemon;
}

Daemon::Daemon(std::unique_ptr<Parts> parts)
    : m_parts(std::move(parts))
{
}

Daemon::~Daemon()
{
    stop();
}

std::uint16_t Daemon::callerPort() const
{
    return m_parts->callerServer->port();
}

std::uint16_t Daemon::operatorPort() const
{
    return m_parts->operatorServer->port();
}

std::uint16_t Daemon::peerPort() const
{
    return m_parts->peers->port();
}

Findings Daemon::reloadPeerTls()
{
    auto tls = adapters::loadPeerTls(*m_parts->settings.peerTls);
    if (!tls) {
        log(LogLevel::Error, LogPart::Peer, describe(tls.error()));
        return tls.error();
    }
    m_parts->peers->replaceTls(std::move(tls.value()));
    log(LogLevel::Info, LogPart::Peer, "certificates were read again");
    return {};
}

void Daemon::Parts::drain()
{
    TimePoint expected = notDraining;
    // Not ready from here on; only then are new jobs refused.
    if (!drainBegan.compare_exchange_strong(expected, clock.now())) {
        return;
    }
    // First, so that each refusal closes its connection. On a connection that stays open, the next
    // submission may get no answer when the process ends.
    callerServer->closeAfterAnswers();
    loop.post(core::DrainRequested{});
    log(LogLevel::Info, LogPart::Daemon, "draining");
}

void Daemon::drain()
{
    m_parts->drain();
}

bool Daemon::isDrained() const
{
    const TimePoint began = m_parts->drainBegan;
    const bool limitPassed =
            began != notDraining
            && m_parts->clock.now() - began >= m_parts->settings.dispatcher.stopLimit;
    return m_parts->loop.isStopped() || limitPassed;
}

void Daemon::stop()
{
    if (std::exchange(m_parts->isStopped, true)) {
        return;
    }
    for (auto *server : {&m_parts->callerServer, &m_parts->operatorServer}) {
        if (*server) {
            // The answers of a stop say that the connection ends.
            (*server)->closeAfterAnswers();
        }
    }
    if (!m_parts->loop.isStopped()) {
        // After a whole drain the core still answers at once, and better.
        m_parts->answers.answerAllUnknown();
    }
    for (auto *server : {&m_parts->callerServer, &m_parts->operatorServer}) {
        if (*server) {
            (*server)->stop();
        }
    }
    m_parts->upstreams.shutDown();
    if (m_parts->peers) {
        m_parts->peers->stop();
    }
    m_parts->loop.stop();
    if (m_parts->platform) {
        m_parts->platform->shutDown();
    }
    m_parts->threads.stop();
}

} // namespace rattandock::app
