#pragma once

#include <memory>
#include <vector>

#include "rattandock/adapters/http_server.hpp"
#include "standins/upstream/standin_upstream.hpp"
#include "standins/upstream/upstream_settings.hpp"

namespace rattandock::standins {

/// All upstreams of one process, each on its own port.
class UpstreamFleet
{
public:
    /// Binds all ports. Errors: a finding for each port that cannot be bound and for the start log.
    static Checked<std::unique_ptr<UpstreamFleet>> start(const UpstreamStandinSettings &settings);

    UpstreamFleet(const UpstreamFleet &) = delete;
    UpstreamFleet &operator=(const UpstreamFleet &) = delete;
    ~UpstreamFleet();

    /// Accepts no more and returns when the running tasks are answered; hanging tasks are reset.
    void stop();

private:
    explicit UpstreamFleet(const UpstreamStandinSettings &settings);
    void listen(const UpstreamStandinSettings &settings, Findings &findings);

    StartLog m_log;
    adapters::IoThreads m_threads;
    std::vector<std::unique_ptr<StandinUpstream>> m_upstreams;
    std::vector<std::unique_ptr<adapters::HttpServer>> m_servers;
};

} // namespace rattandock::standins
