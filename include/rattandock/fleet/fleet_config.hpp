#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "rattandock/base/ids.hpp"
#include "rattandock/base/time.hpp"
#include "rattandock/fleet/fleet_job.hpp"

namespace rattandock::fleet {

/// One queue of jobs and the service that runs them.
struct QueueSpec
{
    QueueId id;
    std::string host;
    /// Paths of the queue's jobs begin with it.
    std::string pathPrefix;
    ServiceId service;
    /// Longest time to an answer; 0 for no limit.
    Duration timeout{};
    /// Part of the objective that does not grow with the work.
    Duration targetLatency{};
    /// The objective is this multiple of the work's own time, and the target latency more.
    double stretch = 1;
    std::uint32_t maxAttempts = 1;
    std::uint32_t priority = 0;
    /// A service outside decides which upstreams may run a step.
    bool needsAdvice = false;

    friend bool operator==(const QueueSpec &, const QueueSpec &) = default;
};

/// What the operator has put in force.
struct FleetConfig
{
    ConfigurationVersion version;
    std::vector<QueueSpec> queues;

    /// The queue with the longest prefix that the path begins with; null if there is none.
    const QueueSpec *queueFor(std::string_view host, std::string_view path) const;
};

} // namespace rattandock::fleet
