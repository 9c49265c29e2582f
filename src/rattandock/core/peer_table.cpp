#include "rattandock/core/peer_table.hpp"

#include <algorithm>

namespace rattandock::core {

void PeerTable::setLink(const VmId &peer, bool up)
{
    Peer &it = m_peers[peer];
    it.up = up;
    it.last.reset();
}

void PeerTable::recordHeartbeat(const VmId &peer, const Heartbeat &heartbeat)
{
    const auto it = m_peers.find(peer);
    if (it != m_peers.end() && it->second.up) {
        it->second.last = heartbeat;
    }
}

bool PeerTable::isLinked(const VmId &peer) const
{
    const auto it = m_peers.find(peer);
    return it != m_peers.end() && it->second.up;
}

std::optional<Incarnation> PeerTable::incarnation(const VmId &peer) const
{
    const auto it = m_peers.find(peer);
    if (it == m_peers.end() || !it->second.last) {
        return std::nullopt;
    }
    return it->second.last->incarnation;
}

std::vector<VmId> PeerTable::linked() const
{
    std::vector<VmId> found;
    for (const auto &[vm, peer] : m_peers) {
        if (peer.up) {
            found.push_back(vm);
        }
    }
    return found;
}

std::vector<VmId> PeerTable::successors(const ZoneId &zone) const
{
    std::vector<VmId> found;
    for (const auto &[vm, peer] : m_peers) {
        if (peer.last && !peer.last->draining) {
            found.push_back(vm);
        }
    }
    std::stable_partition(found.begin(), found.end(),
                          [&](const VmId &it) { return m_peers.at(it).last->zone == zone; });
    return found;
}

} // namespace rattandock::core
