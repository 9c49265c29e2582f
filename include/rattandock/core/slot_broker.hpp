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

/// The VM that dispatches for an upstream: the one with the highest hash of both names, so that a
/// VM that comes or goes moves only its own upstreams. Precondition: vms is not empty.
const VmId &dispatchingVm(const UpstreamId &upstream, const std::vector<VmId> &vms);

/// Shares the slots of a zone's upstreams among its VMs. Each upstream has one dispatching VM,
/// which uses its slots itself and grants them to peers in batches. A wrong view of who dispatches
/// leads only to a refusal by the upstream. Thread safety: none.
class SlotBroker
{
public:
    /// Messages to send, with their receivers.
    using Outbox = std::vector<std::pair<VmId, PeerMessage>>;

    explicit SlotBroker(VmId self);

    /// Replaces the upstreams of the zone.
    void configure(const std::vector<UpstreamSpec> &upstreams);

    /// Replaces the live VMs of the zone besides this one. Grants to and by VMs that are not
    /// listed lapse, as do grants for upstreams whose dispatching VM changed.
    void setPeers(const std::vector<VmId> &peers);

    bool dispatchesHere(const UpstreamId &upstream) const;

    /// Slots that this VM may use now.
    std::uint32_t available(const UpstreamId &upstream) const;

    /// Takes one slot for a task; false if none is available.
    bool take(const UpstreamId &upstream);

    /// Gives back a slot after its task ran for the given time; 0 if it did not run.
    /// Precondition: take() gave it.
    void giveBack(const UpstreamId &upstream, Duration measured, Outbox &outbox);

    /// Asks the dispatching VMs for slots, in one message each. Upstreams that are dispatched here
    /// are left out.
    void request(const std::vector<std::pair<UpstreamId, std::uint32_t>> &wanted, Outbox &outbox);

    /// Releases granted slots that no task uses, in one message per dispatching VM.
    void releaseIdle(Outbox &outbox);

    /// A peer asks for slots: grants at most half of those that are free, so that no peer takes
    /// all, and the rest as slots become free.
    void on(const VmId &from, const SlotRequest &message, Outbox &outbox);
    void on(const VmId &from, const SlotGrant &message, Outbox &outbox);
    void on(const VmId &from, const SlotRelease &message, Outbox &outbox);

private:
    struct Waiting
    {
        VmId peer;
        std::uint32_t count = 0;
    };
    struct Upstream
    {
        std::uint32_t slots = 0;
        VmId dispatcher;
        /// Slots in use here, of those dispatched here or granted by the present dispatcher.
        std::uint32_t used = 0;
        /// Slots in use here whose grant has lapsed; they are not given back to anybody.
        std::uint32_t lapsed = 0;
        /// If dispatched here: slots granted to peers, and peers that wait for more.
        std::map<VmId, std::uint32_t> granted;
        std::deque<Waiting> waiting;
        /// If dispatched elsewhere: granted slots, used or not.
        std::uint32_t held = 0;
        /// Run times since the last release.
        Duration measured{};
        std::uint32_t measuredTasks = 0;
    };

    std::uint32_t freeSlots(const Upstream &upstream) const;
    void grantWaiting(const UpstreamId &id, Upstream &upstream, Outbox &outbox);
    void refreshDispatchers();

    VmId m_self;
    /// This VM and its peers.
    std::vector<VmId> m_vms;
    std::map<UpstreamId, Upstream> m_upstreams;
};

} // namespace rattandock::core
