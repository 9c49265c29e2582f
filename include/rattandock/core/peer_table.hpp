#pragma once

#include <map>
#include <optional>
#include <vector>

#include "rattandock/core/peer_message.hpp"

namespace rattandock::core {

/// Link states and last heartbeats of the other entry VMs. The data may be out of date, which is
/// safe because each receiver checks the incarnation that a message expects. Thread safety: none.
class PeerTable
{
public:
    /// Sets the state of the link to a peer and discards the peer's last heartbeat.
    void setLink(const VmId &peer, bool up);
    /// Stores a peer's heartbeat. It is ignored while the link is down, because a late heartbeat
    /// may come from an earlier incarnation of the peer.
    void recordHeartbeat(const VmId &peer, const Heartbeat &heartbeat);

    bool empty() const { return m_peers.empty(); }
    bool isLinked(const VmId &peer) const;
    /// Returns `std::nullopt` if the link is down or no heartbeat was received since it came up.
    std::optional<Incarnation> incarnation(const VmId &peer) const;

    std::vector<VmId> linked() const;
    /// Peers with a heartbeat that are not draining; peers in the given zone come first.
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
