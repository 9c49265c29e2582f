#pragma once

#include <map>
#include <vector>

#include "rattandock/fleet/membership.hpp"
#include "rattandock/fleet/upstream_entry.hpp"

namespace rattandock::fleet {

/// Inputs of one VM's decision which upstreams to take or give up.
struct AssignmentView
{
    VmId self;
    /// Alive VMs, this one included.
    std::map<VmId, MemberRow> members;
    /// Upstreams to be kept by somebody.
    std::map<UpstreamId, ZoneId> upstreams;
    /// The rows as read; an upstream without a row has no entry.
    std::map<UpstreamId, KeeperRow> keepers;
};

struct AssignmentDecision
{
    std::vector<UpstreamId> claim;
    /// To be given up when nothing runs there.
    std::vector<UpstreamId> release;
};

/// Divides the upstreams among the VMs of their own zone by weight.
///
/// Load pattern: VMs die, return and join while others serve. An upstream with a living keeper
/// stays where it is, so that nothing that runs is lost; only orphans move at once, to the VM with
/// the least load. A keeper gives up what exceeds its share when another VM of the zone is below
/// its own, and upstreams of other zones when their zone has a VM again. VMs with different views
/// may want the same upstream; the conditional write of the row decides.
AssignmentDecision assignUpstreams(const AssignmentView &view);

} // namespace rattandock::fleet
