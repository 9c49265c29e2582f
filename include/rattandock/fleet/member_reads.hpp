#pragma once

#include <map>
#include <set>
#include <vector>

#include "rattandock/base/ids.hpp"
#include "rattandock/base/time.hpp"

namespace rattandock::fleet {

/// What the links of a VM tell about the members of each zone.
struct MemberLinks
{
    /// Zones with at least one VM that a link is up to, and no such VM that has started anew since
    /// its row was read.
    std::set<ZoneId> linkedZones;
    /// Every VM of the own zone that counts as alive has a link, and every link a known VM.
    bool isOwnZoneLinked = false;
    std::size_t ownZoneSize = 0;
};

/// Decides which zones' members a VM reads from the store with its next beat.
///
/// Load pattern: 147 VMs that each read all members every 0.7 s read more than half of what the
/// store sent. A link shows that a VM lives, so the own zone, unless it is small, is read at each
/// beat only while a link is missing, other zones only while no link leads there, and otherwise one
/// after the other. Thread safety: none.
class MemberReads
{
public:
    explicit MemberReads(ZoneId own)
        : m_own(std::move(own))
    {
    }

    /// `isStarting`: the VM has yet to learn who else there is.
    std::vector<ZoneId> due(const std::set<ZoneId> &zones, const MemberLinks &links,
                            bool isStarting, TimePoint now) const;
    void note(const ZoneId &zone, TimePoint now) { m_lastRead[zone] = now; }

private:
    TimePoint lastRead(const ZoneId &zone) const;

    ZoneId m_own;
    std::map<ZoneId, TimePoint> m_lastRead;
};

} // namespace rattandock::fleet
