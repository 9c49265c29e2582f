#include "rattandock/fleet/membership.hpp"

#include <algorithm>

namespace rattandock::fleet {

namespace {

/// A gap between two reads counts at most this much, so that a VM that was paused itself does not
/// take all others for dead. Two periods of the reads.
constexpr Duration maxCountedGap = std::chrono::milliseconds{1500};

/// Without a further VM for this long, the others are taken for gone. Three of the first beats,
/// which come every 150 ms.
constexpr Duration newcomerWait = std::chrono::milliseconds{450};

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
    // A process that stops does not take work again, whatever an older row says.
    const bool wasDraining = member.row.draining && member.row.incarnation == row.incarnation;
    member.row = row;
    member.row.draining = row.draining || wasDraining;
}

bool Membership::hear(const VmId &vm, Incarnation incarnation, bool draining)
{
    const auto it = m_members.find(vm);
    if (it == m_members.end()) {
        return false;
    }
    Member &member = it->second;
    const bool isNewProcess = member.heard != incarnation && member.row.incarnation != incarnation;
    member.heard = incarnation;
    const bool beginsToDrain =
            draining && !member.row.draining && member.row.incarnation == incarnation;
    member.row.draining = member.row.draining || beginsToDrain;
    return isNewProcess || beginsToDrain;
}

void Membership::forgetAllBut(const std::map<VmId, MemberRow> &present,
                              const std::optional<ZoneId> &zone)
{
    std::erase_if(m_members, [&](const auto &it) {
        return (!zone || it.second.row.zone == *zone) && !present.contains(it.first);
    });
}

bool Membership::wasRead(const ZoneId &zone) const
{
    return m_everRead.contains(std::nullopt) || m_everRead.contains(zone);
}

void Membership::readSucceeded(TimePoint now, const std::optional<ZoneId> &zone)
{
    if (const auto last = m_lastRead.find(zone); last != m_lastRead.end()) {
        const Duration gap = std::min(now - last->second, maxCountedGap);
        for (auto &[vm, member] : m_members) {
            if (!zone || member.row.zone == *zone) {
                member.unchanged += gap;
            }
        }
    }
    m_lastRead[zone] = now;
    m_everRead.insert(zone);
    std::map<ZoneId, std::size_t> shownUp;
    for (const auto &[vm, member] : m_members) {
        shownUp[member.row.zone] += member.hasChanged ? 1 : 0;
    }
    for (const auto &[it, count] : shownUp) {
        if (ShownUp &known = m_shownUp[it]; count > known.count) {
            known = {count, now};
        }
    }
}

void Membership::setLink(const VmId &vm, bool up)
{
    if (const auto it = m_members.find(vm); it != m_members.end()) {
        it->second.linked = up;
        if (!up) {
            it->second.heard.reset();
        }
    }
}

bool Membership::hasSettled(const ZoneId &zone, TimePoint now) const
{
    const auto it = m_shownUp.find(zone);
    return it != m_shownUp.end() && it->second.count > 0
           && (it->second.count >= sizeOf(zone) || now - it->second.grewAt >= newcomerWait);
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

std::set<ZoneId> Membership::servedZones() const
{
    std::set<ZoneId> result;
    for (const auto &[vm, member] : m_members) {
        if (!member.row.draining && isAlive(member)) {
            result.insert(member.row.zone);
        }
    }
    return result;
}

bool Membership::isZoneLinked(const ZoneId &zone, const VmId &self) const
{
    return std::ranges::all_of(m_members, [&](const auto &it) {
        const Member &member = it.second;
        const bool isCurrent = member.linked && isRowCurrent(it.first);
        return member.row.zone != zone || it.first == self || isCurrent || !isAlive(member);
    });
}

bool Membership::isRowCurrent(const VmId &vm) const
{
    const auto it = m_members.find(vm);
    return it != m_members.end()
           && it->second.heard.value_or(it->second.row.incarnation) == it->second.row.incarnation;
}

std::size_t Membership::sizeOf(const ZoneId &zone) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
            m_members, [&](const auto &it) { return it.second.row.zone == zone; }));
}

std::size_t Membership::rankInZone(const VmId &vm) const
{
    const auto self = m_members.find(vm);
    if (self == m_members.end()) {
        return 0;
    }
    const MemberRow &own = self->second.row;
    return static_cast<std::size_t>(std::ranges::count_if(m_members, [&](const auto &it) {
        const MemberRow &row = it.second.row;
        const bool comesFirst =
                row.weight > own.weight || (row.weight == own.weight && row.vm < vm);
        return row.zone == own.zone && comesFirst && !row.draining && isAlive(it.second);
    }));
}

const MemberRow *Membership::find(const VmId &vm) const
{
    const auto it = m_members.find(vm);
    return it == m_members.end() ? nullptr : &it->second.row;
}

} // namespace rattandock::fleet
