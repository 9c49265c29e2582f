#include "rattandock/fleet/sharing.hpp"

#include <algorithm>

namespace rattandock::fleet {

void SharedRoom::report(const VmId &vm, const ZoneId &zone, const RoomReport &room)
{
    m_peers[vm] = Peer{zone, room};
}

void SharedRoom::clear(const VmId &vm)
{
    if (const auto it = m_peers.find(vm); it != m_peers.end()) {
        it->second.room.freeCpu.clear();
    }
}

std::size_t SharedRoom::places(const Peer &peer, MilliCores cpu)
{
    std::size_t count = 0;
    for (const std::uint32_t it : peer.room.freeCpu) {
        count += it / std::max(cpu.value(), 1U);
    }
    return count;
}

std::size_t SharedRoom::placesFor(MilliCores cpu) const
{
    std::size_t count = 0;
    for (const auto &[vm, peer] : m_peers) {
        count += places(peer, cpu);
    }
    return count;
}

std::uint64_t SharedRoom::usableCpu() const
{
    std::uint64_t sum = 0;
    for (const auto &[vm, peer] : m_peers) {
        sum += peer.room.usableCpu;
    }
    return sum;
}

double SharedRoom::queuedWork() const
{
    double sum = 0;
    for (const auto &[vm, peer] : m_peers) {
        sum += static_cast<double>(peer.room.queuedWork);
    }
    return sum;
}

std::optional<SharedRoom::Share> SharedRoom::take(MilliCores cpu, std::size_t count)
{
    const VmId *best = nullptr;
    std::pair<bool, std::size_t> bestRank;
    for (const auto &[vm, peer] : m_peers) {
        const std::size_t free = places(peer, cpu);
        const std::pair rank{peer.zone == m_zone, free};
        if (free > 0 && (best == nullptr || rank > bestRank)) {
            best = &vm;
            bestRank = rank;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    Share share{*best, 0};
    for (std::uint32_t &it : m_peers.at(*best).room.freeCpu) {
        while (share.tasks < count && it >= cpu.value()) {
            it -= std::max(cpu.value(), 1U);
            ++share.tasks;
        }
    }
    return share;
}

} // namespace rattandock::fleet
