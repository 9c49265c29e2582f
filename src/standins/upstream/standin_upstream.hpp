#pragma once

#include <atomic>
#include <string>

#include "rattandock/adapters/http_message.hpp"
#include "standins/upstream/run_time_model.hpp"
#include "standins/upstream/start_log.hpp"
#include "standins/upstream/upstream_faults.hpp"

namespace rattandock::standins {

/// One upstream: runs tasks by sleeping and shows the faults that are switched on.
///
/// Routes: `POST /tasks`, `POST /faults`, `GET /faults`.
/// Thread safety: serve() may be called from any fiber of any thread; it suspends the fiber.
class StandinUpstream
{
public:
    /// Precondition: the log outlives the upstream.
    StandinUpstream(std::string name, std::uint32_t slots, RunTimeModel model, double slowness,
                    const StartLog &log);

    adapters::HttpResponse serve(const adapters::HttpRequest &request);

    /// Releases tasks that hang, so that the server can stop.
    void stop() { m_stopping = true; }

private:
    adapters::HttpResponse runTask(const adapters::HttpRequest &request);
    void runStarted(const adapters::HttpRequest &request, adapters::HttpResponse &response);
    adapters::HttpResponse changeFaults(const adapters::HttpRequest &request);
    adapters::HttpResponse showFaults() const;
    void addCommonHeaders(const adapters::HttpRequest &request, adapters::HttpResponse &response);
    bool waitWhileHanging() const;

    const std::string m_name;
    const std::uint32_t m_slots;
    const RunTimeModel m_model;
    const double m_slowness;
    const StartLog &m_log;
    UpstreamFaults m_faults;
    std::atomic<std::uint32_t> m_running = 0;
    std::atomic<bool> m_stopping = false;
    /// Time of the first reply with the leaving sign, or 0.
    std::atomic<std::int64_t> m_leavingShownAt = 0;
    std::atomic<std::uint64_t> m_started = 0;
    std::atomic<std::uint64_t> m_refused = 0;
};

} // namespace rattandock::standins
