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

/// Address of a team in a TeamShares; stable for its lifetime.
using TeamIndex = StrongValue<struct TeamIndexTag, std::uint32_t>;

/// Orders teams by weighted virtual time: each start advances the team's clock by its slot time
/// over the team's weight, and the waiting team with the least clock is next. A team at its quota
/// comes after all teams below theirs, so that it gets only slots that no other team can use.
/// Thread safety: none.
class TeamShares
{
public:
    /// Waiting teams by virtual time.
    using Order = std::set<std::pair<double, TeamIndex>>;

    /// Replaces weights and quotas. Teams that are not listed get weight 1 and no quota.
    void configure(const std::vector<TeamSpec> &teams);

    /// The team's index; an unknown team is added with weight 1 and no quota.
    TeamIndex indexOf(const TeamId &team);

    /// Nothing for a team that has not been seen.
    std::optional<TeamIndex> find(const TeamId &team) const;

    /// Whether the team has tasks that could start. A team that starts to wait gets no credit for
    /// the time in which it had nothing to run.
    void setWaiting(TeamIndex team, bool waiting);

    /// Charges the expected slot time of a start.
    void recordStart(TeamIndex team, Duration expected);

    /// Corrects the charge of one start by the measured slot time.
    void recordEnd(TeamIndex team, Duration expected, Duration measured);

    const Order &teamsBelowQuota() const { return m_belowQuota; }
    /// Teams that may only borrow slots which no team below its quota can use.
    const Order &teamsAtQuota() const { return m_atQuota; }

    std::uint32_t running(TeamIndex team) const { return m_teams[team.value()].running; }
    bool isBelowQuota(TeamIndex team) const;
    std::uint32_t weight(TeamIndex team) const { return m_teams[team.value()].weight; }
    std::uint32_t quota(TeamIndex team) const { return m_teams[team.value()].quota; }

private:
    struct Team
    {
        double virtualTime = 0;
        std::uint32_t weight = 1;
        std::uint32_t quota = 0;
        std::uint32_t running = 0;
        bool waiting = false;
    };

    static bool isBelowQuota(const Team &team);
    Order &orderOf(const Team &team);
    /// Applies a change to a team and keeps its place in the order right.
    template <typename Change>
    void update(TeamIndex index, Change change);

    std::vector<Team> m_teams;
    std::unordered_map<TeamId, TeamIndex> m_indexes;
    Order m_belowQuota;
    Order m_atQuota;
    /// Virtual time of the last start.
    double m_virtualTime = 0;
};

} // namespace rattandock::core
