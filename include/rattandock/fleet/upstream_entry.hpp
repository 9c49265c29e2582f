#pragma once

#include <set>
#include <string>
#include <vector>

#include "rattandock/base/ids.hpp"
#include "rattandock/fleet/fleet_job.hpp"
#include "rattandock/fleet/resources.hpp"

namespace rattandock::fleet {

/// Entry of the platform's list of upstreams.
struct UpstreamEntry
{
    UpstreamId id;
    ServiceId service;
    ZoneId zone;
    /// Address as `IP:PORT`.
    std::string address;
    /// The upstream is shutting down and must not receive new work.
    bool draining = false;
    /// Room for all runs together.
    Resources capacity;
    /// Labels for placement constraints: the kind of the upstream and its rack.
    std::vector<std::string> labels;

    friend bool operator==(const UpstreamEntry &, const UpstreamEntry &) = default;
};

} // namespace rattandock::fleet
