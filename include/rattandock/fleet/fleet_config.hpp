#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "rattandock/base/ids.hpp"
#include "rattandock/base/time.hpp"
#include "rattandock/fleet/caller_limits.hpp"
#include "rattandock/fleet/fleet_job.hpp"

namespace rattandock::fleet {

/// One queue of jobs and the service that runs them.
struct QueueSpec
{
    QueueId id;
    std::string host;
    /// The queue receives the jobs whose request path starts with this prefix.
    std::string pathPrefix;
    ServiceId service;
    /// Maximum time from the submission to the answer; 0 for no limit.
    Duration timeout{};
    /// Fixed part of a job's objective, independent of its estimate.
    Duration targetLatency{};
    /// A job's objective is `stretch` times the estimate of a task plus `targetLatency`.
    double stretch = 1;
    std::uint32_t maxAttempts = 1;
    std::uint32_t priority = 0;
    /// An external service decides which upstreams may run a step.
    bool needsAdvice = false;

    friend bool operator==(const QueueSpec &, const QueueSpec &) = default;
};

/// The configuration that the operator activated.
struct FleetConfig
{
    ConfigurationVersion version;
    std::vector<QueueSpec> queues;
    CallerLimits limits{};

    /// Returns the queue of the host with the longest prefix that matches the path, or `nullptr` if
    /// no queue matches.
    const QueueSpec *queueFor(std::string_view host, std::string_view path) const;
};

} // namespace rattandock::fleet
