#include "rattandock/fleet/membership.hpp"

#include <algorithm>

namespace rattandock::fleet {

namespace {

/// Longest time between two reads that counts towards the age of a row: two read periods. Without
/// this limit, a VM that was paused itself would consider all other VMs failed.
constexpr Duration maxCountedGap = std::chrono::milliseconds{1500};

/// A VM writes its row this often in the time after which it counts as failed.
constexpr int beatsPerTimeout = 2;

/// If no further VM becomes active for this long, the remaining ones are not expected to return.
/// Equals three of the initial heartbeats, which are sent every 150 ms.
constexpr Duration settleDelay = std::chrono::milliseconds{450};

} // namespace

void Membership::updateRow(const MemberRow &row)
{
    const auto [it, isNew] = m_members.try_emplace(row.vm);
    Member &member = it->second;
    const bool changed = member.row.beat != row.beat || member.row.incarnation != row.incarnation;
    if (changed) {
        member.unchanged = {};
        member.hasChangedInRead = true;
        member.hasChanged = member.hasChanged || !isNew;
    }
    // Draining is final for a process. A row that was written before it started must not revert it.
    const bool wasDraining = member.row.draining && member.row.incarnation == row.incarnation;
    member.row = row;
    member.row.draining = row.draining || wasDraining;
}

bool Membership::recordHeartbeat(const VmId &vm, Incarnation incarnation, bool draining)
{
    const auto it = m_members.find(vm);
    if (it == m_members.end()) {
        return false;
    }
    Member &member = it->second;
    const bool isNewProcess =
            member.heartbeatIncarnation != incarnation && member.row.incarnation != incarnation;
    member.heartbeatIncarnation = incarnation;
    const bool startsDraining =
            draining && !member.row.draining && member.row.incarnation == incarnation;
    member.row.draining = member.row.draining || startsDraining;
    return isNewProcess || startsDraining;
}

void Membership::eraseMissing(const std::map<VmId, MemberRow> &present,
                              const std::optional<ZoneId> &zone)
{
    std::erase_if(m_members, [&](const auto &it) {
        return (!zone || it.second.row.zone == *zone) && !present.contains(it.first);
    });
}

bool Membership::wasRead(const ZoneId &zone) const
{
    return m_zonesRead.contains(std::nullopt) || m_zonesRead.contains(zone);
}

void Membership::readSucceeded(TimePoint now, const std::optional<ZoneId> &zone,
                               const std::optional<TimePoint> &sentAt)
{
    // The rows show the state shortly after the call was sent; the answer may take seconds.
    const TimePoint readAt = sentAt.value_or(now);
    const auto last = m_lastRead.find(zone);
    const Duration gap = last == m_lastRead.end()
                                 ? Duration{}
                                 : std::clamp(readAt - last->second, Duration{}, maxCountedGap);
    for (auto &[vm, member] : m_members) {
        if (!zone || member.row.zone == *zone) {
            // A row that has changed is at most a beat old, however long ago the last read was.
            member.unchanged +=
                    member.hasChangedInRead ? std::min(gap, m_rowTimeout / beatsPerTimeout) : gap;
            member.hasChangedInRead = false;
        }
    }
    m_lastRead[zone] = readAt;
    m_zonesRead.insert(zone);
    std::map<ZoneId, std::size_t> activeCounts;
    for (const auto &[vm, member] : m_members) {
        activeCounts[member.row.zone] += member.hasChanged ? 1 : 0;
    }
    for (const auto &[it, count] : activeCounts) {
        if (ActiveCount &known = m_activeCounts[it]; count > known.count) {
            known = {count, now};
        }
    }
}

void Membership::setLink(const VmId &vm, bool up)
{
    if (const auto it = m_members.find(vm); it != m_members.end()) {
        it->second.linked = up;
        if (!up) {
            it->second.heartbeatIncarnation.reset();
        }
    }
}

bool Membership::hasSettled(const ZoneId &zone, TimePoint now) const
{
    const auto it = m_activeCounts.find(zone);
    return it != m_activeCounts.end() && it->second.count > 0
           && (it->second.count >= memberCount(zone) || now - it->second.grewAt >= settleDelay);
}

bool Membership::isAlive(const VmId &vm, Incarnation incarnation) const
{
    const auto it = m_members.find(vm);
    return it != m_members.end() && it->second.row.incarnation == incarnation
           && isAlive(it->second);
}

std::map<VmId, MemberRow> Membership::aliveMembers() const
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
           && it->second.heartbeatIncarnation.value_or(it->second.row.incarnation)
                      == it->second.row.incarnation;
}

std::size_t Membership::memberCount(const ZoneId &zone) const
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
