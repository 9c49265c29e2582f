#include "rattandock/fleet/member_reads.hpp"

namespace rattandock::fleet {

namespace {

/// Four beats. VMs that were added or have left without a trace on the links show after it.
constexpr Duration calmInterval = std::chrono::milliseconds{2800};

/// VMs of a zone that are read at each beat, for the fastest takeover; about 3 KB.
constexpr std::size_t smallZone = 12;

} // namespace

TimePoint MemberReads::lastRead(const ZoneId &zone) const
{
    const auto it = m_lastRead.find(zone);
    return it == m_lastRead.end() ? TimePoint::min() : it->second;
}

std::vector<ZoneId> MemberReads::due(const std::set<ZoneId> &zones, const MemberLinks &links,
                                     bool isStarting, TimePoint now) const
{
    std::vector<ZoneId> result;
    const auto isOld = [&](TimePoint read) { return read + calmInterval <= now; };
    const bool isSmall = links.ownZoneSize <= smallZone;
    if (isStarting || isSmall || !links.isOwnZoneLinked || isOld(lastRead(m_own))) {
        result.push_back(m_own);
    }
    // The zone that was read longest ago, and when any of the others was read last.
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
    if (oldest != nullptr && (isStarting || isOld(newestRead))) {
        result.push_back(*oldest);
    }
    return result;
}

} // namespace rattandock::fleet
