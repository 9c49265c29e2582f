#pragma once

#include <set>
#include <string>
#include <vector>

#include "rattandock/base/ids.hpp"
#include "rattandock/fleet/fleet_job.hpp"
#include "rattandock/fleet/resources.hpp"

namespace rattandock::fleet {

/// What the platform's list says of an upstream.
struct UpstreamEntry
{
    UpstreamId id;
    ServiceId service;
    ZoneId zone;
    /// `IP:PORT`.
    std::string address;
    /// The upstream is about to leave and takes no new work.
    bool draining = false;
    Resources capacity;
    /// The upstream's kind and its rack.
    std::vector<std::string> labels;

    friend bool operator==(const UpstreamEntry &, const UpstreamEntry &) = default;
};

} // namespace rattandock::fleet
