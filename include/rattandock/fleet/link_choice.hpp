#pragma once

#include <cstddef>
#include <map>
#include <set>

#include "rattandock/base/time.hpp"
#include "rattandock/fleet/membership.hpp"

namespace rattandock::fleet {

/// Returns the VMs that `self` keeps links to: all VMs of its availability zone and a few VMs of
/// other zones, chosen by hash so that both ends choose the same links. The result is empty if
/// `self` is not in `members`.
///
/// Load pattern: the heartbeats of a full mesh grow with the square of the number of VMs. With 35
/// VMs they took more than half of a small VM's CPU. Tasks are offered within the zone first, so a
/// few links to other zones are enough to spread a burst.
std::set<VmId> chooseLinks(const VmId &self, const std::map<VmId, MemberRow> &members);

/// Returns the heartbeat interval for the given number of links. Heartbeats carry the reports of
/// free capacity that task offers are based on, so the interval is shorter when there are few
/// links. Three of the longest intervals fit into the silence limit of 600 ms.
Duration heartbeatIntervalFor(std::size_t links);

} // namespace rattandock::fleet
