#include "standins/upstream/upstream_fleet.hpp"

namespace rattandock::standins {

UpstreamFleet::UpstreamFleet(const UpstreamStandinSettings &settings)
    : m_threads(settings.ioThreads)
{
}

UpstreamFleet::~UpstreamFleet()
{
    stop();
}

Checked<std::unique_ptr<UpstreamFleet>>
UpstreamFleet::start(const UpstreamStandinSettings &settings)
{
    std::unique_ptr<UpstreamFleet> fleet{new UpstreamFleet(settings)};
    Findings findings;
    if (!settings.startLog.empty()) {
        auto log = StartLog::open(settings.startLog);
        if (log) {
            fleet->m_log = std::move(log.value());
        } else {
            findings.add(settings.startLog, log.error().message());
        }
    }
    fleet->listen(settings, findings);
    if (!findings.empty()) {
        return findings;
    }
    return fleet;
}

void UpstreamFleet::listen(const UpstreamStandinSettings &settings, Findings &findings)
{
    adapters::HttpServerLimits limits;
    limits.maxConnections = settings.maxConnections;
    for (std::uint16_t n = 0; n < settings.count; ++n) {
        const auto port = static_cast<std::uint16_t>(settings.firstPort + n);
        const boost::asio::ip::tcp::endpoint endpoint{settings.address, port};
        const std::string name = settings.address.to_string() + ':' + std::to_string(port);
        StandinUpstream &upstream = *m_upstreams.emplace_back(std::make_unique<StandinUpstream>(
                name, settings.slots, settings.runTime,
                slownessOf(settings.runTime, n, settings.count), m_log));
        auto server = adapters::HttpServer::listen(
                m_threads, endpoint, limits,
                [&upstream](const auto &request) { return upstream.serve(request); },
                [](std::string_view) {});
        if (server) {
            m_servers.push_back(std::move(server.value()));
        } else {
            findings.add(name, server.error().message());
        }
    }
}

void UpstreamFleet::stop()
{
    for (const auto &it : m_upstreams) {
        it->stop();
    }
    for (const auto &it : m_servers) {
        it->stop();
    }
    m_servers.clear();
    m_threads.stop();
}

} // namespace rattandock::standins
