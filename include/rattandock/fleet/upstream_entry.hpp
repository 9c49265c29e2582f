#pragma once

#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "rattandock/base/ids.hpp"
#include "rattandock/base/time.hpp"
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
    /// Time from the reading of the entry until runs are no longer slow because the process started
    /// recently; zero if it is warm. It is not sent to other VMs with the entry.
    Duration coldLeft{};

    /// Ignores `coldLeft`, which differs in each version of an entry.
    friend bool operator==(const UpstreamEntry &a, const UpstreamEntry &b)
    {
        return std::tie(a.id, a.service, a.zone, a.address, a.draining, a.capacity, a.labels)
               == std::tie(b.id, b.service, b.zone, b.address, b.draining, b.capacity, b.labels);
    }
};

} // namespace rattandock::fleet
