#pragma once

#include <map>
#include <set>

#include "rattandock/fleet/membership.hpp"

namespace rattandock::fleet {

/// The VMs that one VM keeps a link to: all of its zone, and a few of the others, chosen by hash so
/// that both ends choose the same links.
///
/// Load pattern: heartbeats of a full mesh grow with the square of the VMs; at 35 VMs they took
/// more than half of a small VM's processor. Tasks are offered within the zone first, so few links
/// to other zones are enough to even out a burst.
std::set<VmId> chooseLinks(const VmId &self, const std::map<VmId, MemberRow> &members);

} // namespace rattandock::fleet
