#pragma once

#include <map>
#include <optional>
#include <vector>

#include "rattandock/core/peer_message.hpp"

namespace rattandock::core {

/// What the last heartbeats and the link states tell of the other entry VMs.
/// Only a hint: each receiver checks the incarnation that a message expects. Thread safety: none.
class PeerTable
{
public:
    void setLink(const VmId &peer, bool up);
    /// Ignored unless the link is up: a late heartbeat may come from an earlier run of the peer.
    void see(const VmId &peer, const Heartbeat &heartbeat);

    bool empty() const { return m_peers.empty(); }
    bool isLinked(const VmId &peer) const;
    /// Nothing if the link is down or the peer sent no heartbeat since it came up.
    std::optional<Incarnation> incarnation(const VmId &peer) const;

    std::vector<VmId> linked() const;
    /// Linked peers that are not draining, those of the zone first.
    std::vector<VmId> successors(const ZoneId &zone) const;

private:
    struct Peer
    {
        bool up = false;
        std::optional<Heartbeat> last;
    };

    std::map<VmId, Peer> m_peers;
};

} // namespace rattandock::core
