#include "rattandock/fleet/sharing.hpp"

#include <algorithm>

namespace rattandock::fleet {

void SharedRoom::report(const VmId &vm, const ZoneId &zone, const CapacityReport &room)
{
    m_peers[vm] = Peer{zone, room};
}

void SharedRoom::clear(const VmId &vm)
{
    if (const auto it = m_peers.find(vm); it != m_peers.end()) {
        it->second.room.free.clear();
    }
}

std::size_t SharedRoom::places(const Peer &peer, MilliCores cpu, std::uint32_t maxPercent)
{
    std::size_t count = 0;
    for (const FreeCapacity &it : peer.room.free) {
        count += it.runTimePercent <= maxPercent ? it.cpu / std::max(cpu.value(), 1U) : 0;
    }
    return count;
}

std::uint32_t SharedRoom::fastestPercent() const
{
    std::uint32_t fastest = 0;
    for (const auto &[vm, peer] : m_peers) {
        const std::uint32_t here = peer.room.fastestPercent;
        if (here > 0 && (fastest == 0 || here < fastest)) {
            fastest = here;
        }
    }
    return fastest;
}

std::size_t SharedRoom::placesFor(MilliCores cpu, std::uint32_t maxPercent) const
{
    std::size_t count = 0;
    for (const auto &[vm, peer] : m_peers) {
        count += places(peer, cpu, maxPercent);
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

std::optional<SharedRoom::Share> SharedRoom::take(MilliCores cpu, std::size_t count,
                                                  std::uint32_t maxPercent)
{
    const VmId *best = nullptr;
    std::pair<bool, std::size_t> bestRank;
    for (const auto &[vm, peer] : m_peers) {
        const std::size_t free = places(peer, cpu, maxPercent);
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
    const std::uint32_t size = std::max(cpu.value(), 1U);
    for (FreeCapacity &it : m_peers.at(*best).room.free) {
        while (share.tasks < count && it.runTimePercent <= maxPercent && it.cpu >= size) {
            it.cpu -= size;
            ++share.tasks;
        }
    }
    return share;
}

} // namespace rattandock::fleet
