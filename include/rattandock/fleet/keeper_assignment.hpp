#pragma once

#include <map>
#include <vector>

#include "rattandock/fleet/membership.hpp"
#include "rattandock/fleet/upstream_entry.hpp"

namespace rattandock::fleet {

/// Input of one VM's decision which upstreams it claims and which it releases.
struct AssignmentView
{
    VmId self;
    /// The VMs that are alive, including `self`.
    std::map<VmId, MemberRow> members;
    /// The upstreams that need a keeper, with their zones.
    std::map<UpstreamId, ZoneId> upstreams;
    /// The keeper rows as last read; an upstream without a row has no entry.
    std::map<UpstreamId, KeeperRow> keepers;
};

/// The upstreams that a VM claims and releases, as returned by assignUpstreams().
struct AssignmentDecision
{
    /// Upstreams without an alive keeper that this VM claims.
    std::vector<UpstreamId> claim;
    /// Upstreams that this VM releases as soon as no task runs on them.
    std::vector<UpstreamId> release;
};

/// Assigns the upstreams of each zone to the VMs of that zone in proportion to their weights.
///
/// Load pattern: VMs fail, restart and join while the others serve. An upstream with an alive
/// keeper is not reassigned, so that its running tasks are not lost. Only orphaned upstreams, those
/// without an alive keeper, are reassigned at once, each to the least loaded VM. A keeper releases
/// the upstreams in excess of its share while another VM of its zone is below its own share, and
/// upstreams of another zone as soon as that zone has a VM again. VMs with different views may
/// claim the same upstream; the conditional write of its keeper row lets one of them succeed.
AssignmentDecision assignUpstreams(const AssignmentView &view);

} // namespace rattandock::fleet
