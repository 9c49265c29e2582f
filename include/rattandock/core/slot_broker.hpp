#pragma once

#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "rattandock/base/time.hpp"
#include "rattandock/core/peer_message.hpp"
#include "rattandock/core/upstream_spec.hpp"

namespace rattandock::core {

/// Returns the VM that dispatches for an upstream, selected by rendezvous hashing: the VM with the
/// highest hash of both names. A VM that joins or leaves changes the dispatching VM only of its own
/// upstreams. Precondition: vms is not empty.
const VmId &dispatchingVm(const UpstreamId &upstream, const std::vector<VmId> &vms);

/// Shares the slots of a zone's upstreams among its VMs. Each upstream has one dispatching VM,
/// which uses its slots itself and grants them to peers in batches. If VMs disagree on the
/// dispatching VM, the only effect is that the upstream refuses tasks. Thread safety: none.
class SlotBroker
{
public:
    /// Messages to send, with their receivers.
    using Outbox = std::vector<std::pair<VmId, PeerMessage>>;

    explicit SlotBroker(VmId self);

    /// Replaces the upstreams of the zone.
    void configure(const std::vector<UpstreamSpec> &upstreams);

    /// Replaces the list of the zone's other VMs that are up. Grants to and from VMs that are not
    /// in the list expire, as do grants for upstreams whose dispatching VM changes.
    void setPeers(const std::vector<VmId> &peers);

    /// True if this VM is the dispatching VM of the upstream.
    bool dispatchesHere(const UpstreamId &upstream) const;

    /// Number of slots that this VM may use now.
    std::uint32_t available(const UpstreamId &upstream) const;

    /// Acquires one slot for a task. Returns false if none is available.
    bool acquire(const UpstreamId &upstream);

    /// Releases a slot after its task ran for the given time, which is 0 if the task didn't run.
    /// Precondition: the slot was acquired with `acquire()`.
    void release(const UpstreamId &upstream, Duration measured, Outbox &outbox);

    /// Requests slots, in one message per dispatching VM. Upstreams for which this VM dispatches
    /// are skipped.
    void request(const std::vector<std::pair<UpstreamId, std::uint32_t>> &wanted, Outbox &outbox);

    /// Returns granted slots that no task uses, in one message per dispatching VM.
    void releaseIdle(Outbox &outbox);

    /// Grants a peer at most half of the free slots, rounded up, so that one peer can't take all of
    /// them. The rest of the request is granted as slots become free.
    void on(const VmId &from, const SlotRequest &message, Outbox &outbox);
    void on(const VmId &from, const SlotGrant &message, Outbox &outbox);
    void on(const VmId &from, const SlotRelease &message, Outbox &outbox);

private:
    struct PendingRequest
    {
        VmId peer;
        std::uint32_t count = 0;
    };
    struct Upstream
    {
        std::uint32_t slots = 0;
        VmId dispatcher;
        /// Slots used by tasks of this VM, either its own or granted by the current dispatching VM.
        std::uint32_t used = 0;
        /// Slots used by tasks of this VM that were acquired under an earlier dispatching VM. They
        /// are not returned to any VM.
        std::uint32_t usedUnderEarlierDispatcher = 0;
        /// If this VM dispatches: slots granted to peers, and requests not yet granted in full.
        std::map<VmId, std::uint32_t> granted;
        std::deque<PendingRequest> pendingRequests;
        /// If another VM dispatches: slots granted to this VM, both used and idle.
        std::uint32_t held = 0;
        /// Total run time of the tasks since the last release message.
        Duration measuredTime{};
        std::uint32_t measuredTasks = 0;
    };

    std::uint32_t freeSlots(const Upstream &upstream) const;
    void grantPendingRequests(const UpstreamId &id, Upstream &upstream, Outbox &outbox);
    void reassignDispatchers();

    VmId m_self;
    /// This VM and its peers.
    std::vector<VmId> m_vms;
    std::map<UpstreamId, Upstream> m_upstreams;
};

} // namespace rattandock::core
