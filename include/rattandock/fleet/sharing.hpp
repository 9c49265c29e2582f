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

/// Free room at other VMs as they last reported it, less what was offered to them since.
///
/// Load pattern: the platform spreads connections unevenly, and jobs of up to 32 tasks arrive at
/// VMs that keep a seventh of the upstreams. Tasks that find no room here go to the VM with the
/// most, in the own zone first. Thread safety: none.
class SharedRoom
{
public:
    explicit SharedRoom(ZoneId zone)
        : m_zone(std::move(zone))
    {
    }

    void report(const VmId &vm, const ZoneId &zone, const CapacityReport &room);
    void forget(const VmId &vm) { m_peers.erase(vm); }
    /// The peer had no room after all.
    void clear(const VmId &vm);

    /// Least time percent of any upstream of the peers; 0 if none is known.
    std::uint32_t fastestPercent() const;
    /// Tasks of this size that fit at peers now, on upstreams at least as fast as `maxPercent`.
    std::size_t placesFor(MilliCores cpu, std::uint32_t maxPercent) const;
    std::uint64_t usableCpu() const;
    double queuedWork() const;

    struct Share
    {
        VmId vm;
        std::size_t tasks = 0;
    };
    /// Picks a peer for up to `count` tasks and takes the room; nothing if none has any on
    /// upstreams that are at least as fast as `maxPercent`.
    std::optional<Share> take(MilliCores cpu, std::size_t count, std::uint32_t maxPercent);

private:
    struct Peer
    {
        ZoneId zone;
        CapacityReport room;
    };
    static std::size_t places(const Peer &peer, MilliCores cpu, std::uint32_t maxPercent);

    ZoneId m_zone;
    std::map<VmId, Peer> m_peers;
};

} // namespace rattandock::fleet
