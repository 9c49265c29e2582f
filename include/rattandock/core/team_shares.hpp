#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "rattandock/base/time.hpp"
#include "rattandock/core/team_spec.hpp"

namespace rattandock::core {

/// Index of a team in a TeamShares. It stays valid for the lifetime of that object.
using TeamIndex = StrongValue<struct TeamIndexTag, std::uint32_t>;

/// Shares slots between teams by weighted fair queueing. Each started task advances the virtual
/// time of its team by its slot time divided by the weight of the team. The waiting team with the
/// lowest virtual time is next. A team at its quota comes after all teams below theirs, so that it
/// gets only slots that no other team can use. Thread safety: none.
class TeamShares
{
public:
    /// Waiting teams in ascending order of virtual time.
    using Order = std::set<std::pair<double, TeamIndex>>;

    /// Replaces all weights and quotas. Known teams that are not in `teams` get weight 1 and no
    /// quota.
    void configure(const std::vector<TeamSpec> &teams);

    /// Returns the index of the team. Adds an unknown team with weight 1 and no quota.
    TeamIndex indexOf(const TeamId &team);

    /// Returns the index of the team, or `std::nullopt` if it was never added.
    std::optional<TeamIndex> find(const TeamId &team) const;

    /// Sets whether the team has ready tasks. The virtual time of a team that begins to wait is
    /// raised to that of the last start, so that a team gains no credit while it is idle.
    void setWaiting(TeamIndex team, bool waiting);

    /// Counts a started task as running and charges its expected slot time to the team.
    void recordStart(TeamIndex team, Duration expected);

    /// Counts a task as ended and replaces the charge of its expected slot time by the measured
    /// one. Precondition: `expected` is the value that recordStart() was given.
    void recordEnd(TeamIndex team, Duration expected, Duration measured);

    /// Waiting teams with fewer running tasks than their quota, or without a quota.
    const Order &teamsBelowQuota() const { return m_belowQuota; }
    /// Waiting teams at their quota, which get only slots that no team below its quota can use.
    const Order &teamsAtQuota() const { return m_atQuota; }

    /// Number of running tasks of the team.
    std::uint32_t running(TeamIndex team) const { return m_teams[team.value()].running; }
    bool isBelowQuota(TeamIndex team) const;
    std::uint32_t weight(TeamIndex team) const { return m_teams[team.value()].weight; }
    /// Returns 0 if the team has no quota.
    std::uint32_t quota(TeamIndex team) const { return m_teams[team.value()].quota; }

private:
    struct Team
    {
        /// Charged slot time over weight, in microseconds.
        double virtualTime = 0;
        std::uint32_t weight = 1;
        std::uint32_t quota = 0;
        std::uint32_t running = 0;
        bool waiting = false;
    };

    static bool isBelowQuota(const Team &team);
    Order &orderOf(const Team &team);
    /// Applies a change to a team and moves the team to its new position in the orders.
    template <typename Change>
    void update(TeamIndex index, Change change);

    std::vector<Team> m_teams;
    std::unordered_map<TeamId, TeamIndex> m_indexes;
    Order m_belowQuota;
    Order m_atQuota;
    /// Highest virtual time at which a team started a task, in microseconds.
    double m_virtualTime = 0;
};

} // namespace rattandock::core
