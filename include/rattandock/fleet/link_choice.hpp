#pragma once

#include <cstddef>
#include <map>
#include <set>

#include "rattandock/base/time.hpp"
#include "rattandock/fleet/membership.hpp"

namespace rattandock::fleet {

/// The VMs that one VM keeps a link to: all of its zone, and a few of the others, chosen by hash so
/// that both ends choose the same links.
///
/// Load pattern: heartbeats of a full mesh grow with the square of the VMs; at 35 VMs they took
/// more than half of a small VM's processor. Tasks are offered within the zone first, so few links
/// to other zones are enough to even out a burst.
std::set<VmId> chooseLinks(const VmId &self, const std::map<VmId, MemberRow> &members);

/// Interval of heartbeats over this many links. Their room reports let VMs offer tasks to where
/// there is room, so that few links may carry many; three of the longest interval still fit the
/// silence limit of 600 ms.
Duration heartbeatIntervalFor(std::size_t links);

} // namespace rattandock::fleet
