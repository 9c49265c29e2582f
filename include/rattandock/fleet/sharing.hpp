#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "rattandock/base/ids.hpp"
#include "rattandock/base/time.hpp"
#include "rattandock/fleet/fleet_message.hpp"
#include "rattandock/fleet/resources.hpp"

namespace rattandock::fleet {

/// Free capacity of other VMs: their last reports, minus the tasks offered to them since.
///
/// Load pattern: the platform distributes connections unevenly, and jobs of up to 32 tasks arrive
/// at VMs that hold the leases of a seventh of the upstreams. Tasks that do not fit on this VM's
/// own upstreams are offered to the VM with the most free capacity; VMs of the same availability
/// zone take precedence. Thread safety: none.
class PeerRoom
{
public:
    /// `zone` is the availability zone of this VM.
    explicit PeerRoom(ZoneId zone)
        : m_zone(std::move(zone))
    {
    }

    /// Replaces the report of a peer.
    void update(const VmId &vm, const ZoneId &zone, const CapacityReport &room);
    /// Removes a peer, for example when its link goes down.
    void remove(const VmId &vm) { m_peers.erase(vm); }
    /// Discards the free capacity of a peer until its next report. Used when the peer did
    /// not run the tasks that it was offered.
    void markFull(const VmId &vm);

    /// Returns the least time percent of all upstreams of the peers, or 0 if there are none.
    std::uint32_t fastestPercent() const;
    /// Returns how many tasks of this size fit on peers now, counting only upstreams whose time
    /// percent is at most `maxPercent`.
    std::size_t countFittingTasks(MilliCores cpu, std::uint32_t maxPercent) const;
    /// Returns the CPU of all upstreams of the peers that accept tasks, in thousandths of a core.
    std::uint64_t usableCpu() const;
    /// Returns the queued work of the peers, in thousandths of a core times microseconds.
    double queuedWork() const;

    /// Capacity reserved at one peer.
    struct Reservation
    {
        VmId vm;
        std::size_t tasks = 0;
    };
    /// Chooses a peer for up to `count` tasks and reserves capacity for them. Returns
    /// `std::nullopt` if no peer has free capacity on an upstream whose time percent is at most
    /// `maxPercent`.
    std::optional<Reservation> reserve(MilliCores cpu, std::size_t count, std::uint32_t maxPercent);

private:
    struct Peer
    {
        ZoneId zone;
        CapacityReport room;
    };
    static std::size_t fittingTasks(const Peer &peer, MilliCores cpu, std::uint32_t maxPercent);

    ZoneId m_zone;
    std::map<VmId, Peer> m_peers;
};

} // namespace rattandock::fleet
