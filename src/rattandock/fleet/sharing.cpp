#include "rattandock/fleet/sharing.hpp"

#include <algorithm>

namespace rattandock::fleet {

void PeerRoom::update(const VmId &vm, const ZoneId &zone, const CapacityReport &room)
{
    m_peers[vm] = Peer{zone, room};
}

void PeerRoom::markFull(const VmId &vm)
{
    if (const auto it = m_peers.find(vm); it != m_peers.end()) {
        it->second.room.free.clear();
    }
}

std::size_t PeerRoom::fittingTasks(const Peer &peer, MilliCores cpu, std::uint32_t maxPercent)
{
    std::size_t count = 0;
    for (const FreeCapacity &it : peer.room.free) {
        count += it.runTimePercent <= maxPercent ? it.cpu / std::max(cpu.value(), 1U) : 0;
    }
    return count;
}

std::uint32_t PeerRoom::fastestPercent() const
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

std::size_t PeerRoom::countFittingTasks(MilliCores cpu, std::uint32_t maxPercent) const
{
    std::size_t count = 0;
    for (const auto &[vm, peer] : m_peers) {
        count += fittingTasks(peer, cpu, maxPercent);
    }
    return count;
}

std::uint64_t PeerRoom::usableCpu() const
{
    std::uint64_t sum = 0;
    for (const auto &[vm, peer] : m_peers) {
        sum += peer.room.usableCpu;
    }
    return sum;
}

double PeerRoom::queuedWork() const
{
    double sum = 0;
    for (const auto &[vm, peer] : m_peers) {
        sum += static_cast<double>(peer.room.queuedWork);
    }
    return sum;
}

std::optional<PeerRoom::Reservation> PeerRoom::reserve(MilliCores cpu, std::size_t count,
                                                       std::uint32_t maxPercent)
{
    const VmId *best = nullptr;
    std::pair<bool, std::size_t> bestRank;
    for (const auto &[vm, peer] : m_peers) {
        const std::size_t free = fittingTasks(peer, cpu, maxPercent);
        const std::pair rank{peer.zone == m_zone, free};
        if (free > 0 && (best == nullptr || rank > bestRank)) {
            best = &vm;
            bestRank = rank;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    Reservation reservation{*best, 0};
    const std::uint32_t size = std::max(cpu.value(), 1U);
    for (FreeCapacity &it : m_peers.at(*best).room.free) {
        while (reservation.tasks < count && it.runTimePercent <= maxPercent && it.cpu >= size) {
            it.cpu -= size;
            ++reservation.tasks;
        }
    }
    return reservation;
}

} // namespace rattandock::fleet
