#include "rattandock/core/team_shares.hpp"

#include <algorithm>
#include <cassert>

namespace rattandock::core {

namespace {

double virtualTimeOf(Duration time, std::uint32_t weight)
{
    return static_cast<double>(time.count()) / static_cast<double>(weight);
}

} // namespace

template <typename Change>
void TeamShares::update(TeamIndex index, Change change)
{
    Team &team = m_teams[index.value()];
    if (team.waiting) {
        orderOf(team).erase({team.virtualTime, index});
    }
    change(team);
    if (team.waiting) {
        orderOf(team).emplace(team.virtualTime, index);
    }
}

void TeamShares::configure(const std::vector<TeamSpec> &teams)
{
    for (std::uint32_t n = 0; n < m_teams.size(); ++n) {
        update(TeamIndex{n}, [](Team &team) {
            team.weight = 1;
            team.quota = 0;
        });
    }
    for (const TeamSpec &it : teams) {
        update(indexOf(it.id), [&it](Team &team) {
            team.weight = std::max(it.weight, 1U);
            team.quota = it.quota;
        });
    }
}

TeamIndex TeamShares::indexOf(const TeamId &team)
{
    const auto [it, added] =
            m_indexes.emplace(team, TeamIndex{static_cast<std::uint32_t>(m_teams.size())});
    if (added) {
        m_teams.emplace_back();
    }
    return it->second;
}

std::optional<TeamIndex> TeamShares::find(const TeamId &team) const
{
    const auto it = m_indexes.find(team);
    if (it == m_indexes.end()) {
        return std::nullopt;
    }
    return it->second;
}

void TeamShares::setWaiting(TeamIndex team, bool waiting)
{
    if (m_teams[team.value()].waiting == waiting) {
        return;
    }
    update(team, [this, waiting](Team &it) {
        it.waiting = waiting;
        if (waiting) {
            it.virtualTime = std::max(it.virtualTime, m_virtualTime);
        }
    });
}

void TeamShares::recordStart(TeamIndex team, Duration expected)
{
    update(team, [this, expected](Team &it) {
        m_virtualTime = std::max(m_virtualTime, it.virtualTime);
        it.virtualTime += virtualTimeOf(expected, it.weight);
        ++it.running;
    });
}

void TeamShares::recordEnd(TeamIndex team, Duration expected, Duration measured)
{
    update(team, [expected, measured](Team &it) {
        assert(it.running > 0);
        it.virtualTime += virtualTimeOf(measured - expected, it.weight);
        --it.running;
    });
}

TeamShares::Order &TeamShares::orderOf(const Team &team)
{
    return isBelowQuota(team) ? m_belowQuota : m_atQuota;
}

bool TeamShares::isBelowQuota(TeamIndex team) const
{
    return isBelowQuota(m_teams[team.value()]);
}

bool TeamShares::isBelowQuota(const Team &team)
{
    return team.quota == 0 || team.running < team.quota;
}

} // namespace rattandock::core
