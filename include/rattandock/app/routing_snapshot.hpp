#pragma once

#include <memory>
#include <unordered_set>

#include "rattandock/adapters/job_json.hpp"
#include "rattandock/adapters/rcu_snapshot.hpp"
#include "rattandock/core/team_spec.hpp"

namespace rattandock::app {

/// What an I/O thread needs to refuse a submission without asking the decision thread.
struct RoutingSnapshot
{
    ConfigurationVersion version;
    adapters::JobLimits limits;
    /// Jobs may name one of these teams or none; any team if there are none.
    std::unordered_set<TeamId> teams;

    bool knows(const TeamId &team) const
    {
        return team.value().empty() || teams.empty() || teams.contains(team);
    }
};

using Routing = adapters::RcuSnapshot<RoutingSnapshot>;

inline std::unique_ptr<const RoutingSnapshot> makeRouting(ConfigurationVersion version,
                                                          const adapters::JobLimits &limits,
                                                          const std::vector<core::TeamSpec> &teams)
{
    RoutingSnapshot routing{version, limits, {}};
    for (const core::TeamSpec &it : teams) {
        routing.teams.insert(it.id);
    }
    return std::make_unique<const RoutingSnapshot>(std::move(routing));
}

} // namespace rattandock::app
