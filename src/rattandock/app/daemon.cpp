#include "rattandock/app/daemon.hpp"

#include <openssl/rand.h>

#include <utility>

#include "rattandock/adapters/log.hpp"
#include "rattandock/adapters/system_clock.hpp"
#include "rattandock/app/answer_board.hpp"
#include "rattandock/app/caller_api.hpp"
#include "rattandock/app/decision_loop.hpp"
#include "rattandock/app/event_history.hpp"
#include "rattandock/app/operator_api.hpp"

namespace rattandock::app {

using adapters::HttpServer;
using adapters::LogLevel;
using adapters::LogPart;

namespace {

/// Stands in until peer streams are built.
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
        , threads(settings.ioThreads)
        , answers(threads)
        , history(metrics)
        , upstreams(threads, clock, loop, settings.upstreamClient, addressesOf(settings))
        , callerApi(loop, answers, metrics, clock, settings.jobs,
                    core::TokenAuthority{settings.dispatcher.vm, settings.dispatcher.incarnation,
                                         settings.dispatcher.tokenLifetime,
                                         settings.dispatcher.tokenSecret})
        , operatorApi(loop, history, metrics, settings.dispatcher)
    {
    }

    adapters::Settings settings;
    adapters::SystemClock clock;
    adapters::Metrics metrics;
    DecisionLoop loop;
    adapters::IoThreads threads;
    AnswerBoard answers;
    EventHistory history;
    adapters::UpstreamClient upstreams;
    NoPeers peers;
    CallerApi callerApi;
    OperatorApi operatorApi;
    std::unique_ptr<HttpServer> callerServer;
    std::unique_ptr<HttpServer> operatorServer;
    std::optional<TimePoint> drainBegan;
    bool isStopped = false;
};

Checked<std::unique_ptr<Daemon>> Daemon::start(const adapters::Settings &settings)
{
    auto parts = std::make_unique<Parts>(settings);
    Parts &it = *parts;
    it.loop.start({it.upstreams, it.answers, it.peers, it.history});
    it.loop.post(configurationOf(it.settings));
    it.loop.waitForPosted();
    const auto badRequest = [&it](std::string_view reason) {
        it.metrics.count("bad_requests", reason);
    };
    auto callers = HttpServer::listen(
            it.threads, settings.callerAddress, settings.http,
            [&it](const auto &request) { return it.callerApi.serve(request); }, badRequest);
    auto operators = HttpServer::listen(
            it.threads, settings.operatorAddress, settings.http,
            [&it](const auto &request) { return it.operatorApi.serve(request); }, badRequest);
    Findings findings;
    if (!callers) {
        findings.add("callerAddress", callers.error().message());
    } else {
        it.callerServer = std::move(callers.value());
    }
    if (!operators) {
        findings.add("operatorAddress", operators.error().message());
    } else {
        it.operatorServer = std::move(operators.value());
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

void Daemon::drain()
{
    m_parts->drainBegan = m_parts->clock.now();
    m_parts->loop.post(core::DrainRequested{});
    log(LogLevel::Info, LogPart::Daemon, "draining");
}

bool Daemon::isDrained() const
{
    const auto &began = m_parts->drainBegan;
    const bool limitPassed =
            began && m_parts->clock.now() - *began >= m_parts->settings.dispatcher.stopLimit;
    return m_parts->loop.isStopped() || limitPassed;
}

void Daemon::stop()
{
    if (std::exchange(m_parts->isStopped, true)) {
        return;
    }
    m_parts->answers.answerAllUnknown();
    for (auto *server : {&m_parts->callerServer, &m_parts->operatorServer}) {
        if (*server) {
            (*server)->stop();
            server->reset();
        }
    }
    m_parts->upstreams.shutDown();
    m_parts->loop.stop();
    m_parts->threads.stop();
}

} // namespace rattandock::app
