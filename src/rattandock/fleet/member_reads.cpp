#include "rattandock/fleet/member_reads.hpp"

namespace rattandock::fleet {

namespace {

/// Four beats. Only these reads detect VMs that joined or left without a change of this VM's links.
constexpr Duration fullyLinkedReadInterval = std::chrono::milliseconds{2800};

/// Zones of up to this many VMs are read at each beat for the fastest takeover. Such a read returns
/// about 3 KB.
constexpr std::size_t maxSmallZoneSize = 12;

} // namespace

TimePoint MemberReads::lastRead(const ZoneId &zone) const
{
    const auto it = m_lastRead.find(zone);
    return it == m_lastRead.end() ? TimePoint::min() : it->second;
}

std::vector<ZoneId> MemberReads::zonesToRead(const std::set<ZoneId> &zones,
                                             const MemberLinks &links, bool isStarting,
                                             TimePoint now) const
{
    std::vector<ZoneId> result;
    const auto isReadDue = [&](TimePoint read) { return read + fullyLinkedReadInterval <= now; };
    const bool isSmall = links.ownZoneSize <= maxSmallZoneSize;
    if (isStarting || isSmall || !links.isOwnZoneFullyLinked || isReadDue(lastRead(m_own))) {
        result.push_back(m_own);
    }
    // Among the other linked zones (all other zones while starting), finds the zone with the oldest
    // read and the time of the newest read.
    const ZoneId *oldest = nullptr;
    TimePoint newestRead = TimePoint::min();
    for (const ZoneId &it : zones) {
        if (it == m_own) {
            continue;
        }
        if (!links.linkedZones.contains(it) && !isStarting) {
            result.push_back(it);
            continue;
        }
        newestRead = std::max(newestRead, lastRead(it));
        if (oldest == nullptr || lastRead(it) < lastRead(*oldest)) {
            oldest = &it;
        }
    }
    if (oldest != nullptr && (isStarting || isReadDue(newestRead))) {
        result.push_back(*oldest);
    }
    return result;
}

} // namespace rattandock::fleet
