#pragma once

#include <functional>
#include <memory>

#include "rattandock/adapters/http_message.hpp"
#include "rattandock/adapters/metrics.hpp"
#include "rattandock/app/event_history.hpp"
#include "rattandock/app/fleet_loop.hpp"
#include "rattandock/base/result.hpp"
#include "rattandock/fleet/fleet_config.hpp"
#include "rattandock/fleet/submission.hpp"

namespace rattandock::app {

/// How callers' requests and answers look on the wire.
struct CallerFormat
{
    std::function<Checked<fleet::Submission>(const JobId &, std::string_view)> decodeSubmission;
    std::function<Duration(const adapters::HttpRequest &, Duration ifAbsent)> callerWaitOf;
    std::function<adapters::HttpResponse(const fleet::JobEnd &)> encodeJobEnd;
    std::function<adapters::HttpResponse(fleet::Unsupported)> encodeUnsupported;
    std::function<adapters::HttpResponse()> encodeNoConfiguration;
    std::function<adapters::HttpResponse()> encodeUnknownQueue;
    std::function<adapters::HttpResponse()> encodeUnknownJob;
    std::function<adapters::HttpResponse()> encodeCancelled;
    std::function<adapters::HttpResponse(const Findings &)> encodeBadSubmission;
    std::function<adapters::HttpResponse(std::size_t)> encodeWaiting;
};

/// The caller and operator routes of a VM of a fleet.
/// Thread safety: all methods are called on the I/O thread; the serving ones on a fiber.
class FleetApi
{
public:
    /// Precondition: the references outlive the object.
    FleetApi(FleetLoop &loop, const EventHistory &history, adapters::Metrics &metrics,
             CallerFormat format, VmId vm, Duration callerWait);

    /// Puts a configuration in force; one that is not newer is ignored.
    void configure(fleet::FleetConfig config);
    /// The limits of the configuration in force; none before the first one.
    fleet::CallerLimits callerLimits() const
    {
        return m_config ? m_config->limits : fleet::CallerLimits{};
    }
    adapters::HttpResponse serveCaller(const adapters::HttpRequest &request);
    adapters::HttpResponse serveOperator(const adapters::HttpRequest &request);
    /// From now on not ready.
    void drain() { m_isDraining = true; }

private:
    adapters::HttpResponse submit(const adapters::HttpRequest &request,
                                  const fleet::QueueSpec &queue, const JobId &id);
    adapters::HttpResponse metrics();
    adapters::HttpResponse status() const;
    adapters::HttpResponse explain(const JobId &id) const;
    adapters::HttpResponse configuration();
    bool isReady() const;

    FleetLoop &m_loop;
    const EventHistory &m_history;
    adapters::Metrics &m_metrics;
    CallerFormat m_format;
    VmId m_vm;
    Duration m_callerWait;
    /// Nothing before the first one. Shared, so that a fiber can go on reading one that is
    /// replaced.
    std::shared_ptr<const fleet::FleetConfig> m_config;
    TimePoint m_startedAt;
    /// One text at a time: each takes megabytes, and its fiber is suspended in between.
    bool m_isWritingConfiguration = false;
    bool m_isDraining = false;
};

} // namespace rattandock::app
