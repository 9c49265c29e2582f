#include "rattandock/fleet/membership.hpp"

#include <algorithm>

namespace rattandock::fleet {

namespace {

/// A gap between two reads counts at most this much, so that a VM that was paused itself does not
/// take all others for dead. Two periods of the reads.
constexpr Duration maxCountedGap = std::chrono::milliseconds{1500};

} // namespace

void Membership::see(const MemberRow &row)
{
    const auto [it, isNew] = m_members.try_emplace(row.vm);
    Member &member = it->second;
    const bool changed = member.row.beat != row.beat || member.row.incarnation != row.incarnation;
    if (changed) {
        member.unchanged = {};
        member.hasChanged = member.hasChanged || !isNew;
    }
    member.row = row;
}

void Membership::forgetAllBut(const std::map<VmId, MemberRow> &present)
{
    std::erase_if(m_members, [&](const auto &it) { return !present.contains(it.first); });
}

void Membership::readSucceeded(TimePoint now)
{
    if (m_lastRead) {
        const Duration gap = std::min(now - *m_lastRead, maxCountedGap);
        for (auto &[vm, member] : m_members) {
            member.unchanged += gap;
        }
    }
    m_lastRead = now;
}

void Membership::setLink(const VmId &vm, bool up)
{
    if (const auto it = m_members.find(vm); it != m_members.end()) {
        it->second.linked = up;
    }
}

bool Membership::haveAllChanged() const
{
    return m_members.size() > 1
           && std::ranges::all_of(m_members, [](const auto &it) { return it.second.hasChanged; });
}

bool Membership::isAlive(const VmId &vm, Incarnation incarnation) const
{
    const auto it = m_members.find(vm);
    return it != m_members.end() && it->second.row.incarnation == incarnation
           && isAlive(it->second);
}

std::map<VmId, MemberRow> Membership::alive() const
{
    std::map<VmId, MemberRow> result;
    for (const auto &[vm, member] : m_members) {
        if (isAlive(member)) {
            result.emplace(vm, member.row);
        }
    }
    return result;
}

const MemberRow *Membership::find(const VmId &vm) const
{
    const auto it = m_members.find(vm);
    return it == m_members.end() ? nullptr : &it->second.row;
}

} // namespace rattandock::fleet
