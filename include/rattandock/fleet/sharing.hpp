#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "rattandock/base/ids.hpp"
#include "rattandock/base/time.hpp"
#include "rattandock/fleet/admission.hpp"
#include "rattandock/fleet/fleet_message.hpp"
#include "rattandock/fleet/resources.hpp"

namespace rattandock::fleet {

/// Returns a number from which PeerRoom derives its choices for one offer. It is the same on every
/// run for the same input and differs between VMs. Thread safety: any thread.
std::uint64_t offerSeed(const VmId &self, const JobId &job, std::uint64_t offer);

/// Limits the upstreams in a heartbeat to 8: the 4 with the most free CPU, and the fastest of the
/// others, which long tasks need. Thread safety: any thread.
void limitReportedUpstreams(std::vector<FreeCapacity> &free);

/// Free capacity of other VMs: their last reports, minus the tasks offered to them since.
///
/// Load pattern: the platform distributes connections unevenly, and jobs of up to 32 tasks arrive
/// at VMs that hold the leases of a seventh of the upstreams. About 18 VMs receive the same report
/// and must not all offer their tasks to the same VM. A peer is therefore chosen by the power of
/// two choices: two peers are drawn with probabilities proportional to their free capacity, and the
/// one with clearly more of it is taken, else the first. VMs of the own availability zone take
/// precedence while their free capacity is comparable with that of the others. If no peer has free
/// capacity, tasks of a VM with few upstreams go to a peer with a shorter queue. Thread safety:
/// none.
class PeerRoom
{
public:
    /// `zone` is the availability zone of this VM.
    explicit PeerRoom(ZoneId zone)
        : m_zone(std::move(zone))
    {
    }

    /// Replaces the report of a peer. `takesQueuedOffers`: whether the peer's build knows
    /// QueuedTaskOffer.
    void update(const VmId &vm, const ZoneId &zone, const CapacityReport &room,
                bool takesQueuedOffers = false);
    /// Removes a peer, for example when its link goes down.
    void remove(const VmId &vm) { m_peers.erase(vm); }
    /// Excludes a peer from all choices until its next report. Used when the peer returned tasks
    /// that it was offered.
    void markFull(const VmId &vm);

    /// Returns the time percent of fast upstreams: the lower quartile of the fastest ones that the
    /// peers report, as the least of them is mostly too low an estimate; 0 if there are none.
    std::uint32_t fastestPercent() const;
    /// Returns the least time percent of the peers' upstreams on which a task of this size fits
    /// now, or `std::nullopt` if there is none.
    std::optional<std::uint32_t> fastestFreePercent(MilliCores cpu) const;
    /// Returns how many tasks of this size fit on peers now, counting only upstreams whose time
    /// percent is at most `maxPercent`.
    std::size_t countFittingTasks(MilliCores cpu, std::uint32_t maxPercent) const;
    /// Returns the free CPU of peers of the own zone on upstreams of at most this time percent, in
    /// thousandths of a core.
    double freeCpuInZone(std::uint32_t maxPercent) const;
    /// Returns the CPU of all upstreams of peers of the own zone that accept tasks, in thousandths
    /// of a core.
    double usableCpuInZone() const;
    /// Returns the CPU of all upstreams of the peers that accept tasks, in thousandths of a core.
    std::uint64_t usableCpu() const;
    /// Returns the peers of the own zone whose last report states queued work.
    std::vector<VmId> vmsWithQueue() const;
    /// Returns the queued work of the peers, in thousandths of a core times microseconds.
    double queuedWork() const;

    /// Range of the time percent of upstreams, with both ends.
    struct PercentRange
    {
        std::uint32_t min = 0;
        std::uint32_t max = 0;

        bool contains(std::uint32_t percent) const { return percent >= min && percent <= max; }
    };
    /// Capacity reserved at one peer.
    struct Reservation
    {
        VmId vm;
        std::size_t tasks = 0;
    };
    /// Chooses a peer for up to `count` tasks and reserves capacity for them. Returns
    /// `std::nullopt` if no peer has free capacity on an upstream whose time percent is in the
    /// range. `seed` determines the choice among several peers, see offerSeed().
    std::optional<Reservation> reserve(MilliCores cpu, std::size_t count, PercentRange range,
                                       std::uint64_t seed = 0);
    /// The same for all upstreams of at most `maxPercent`.
    std::optional<Reservation> reserve(MilliCores cpu, std::size_t count, std::uint32_t maxPercent,
                                       std::uint64_t seed = 0)
    {
        return reserve(cpu, count, PercentRange{0, maxPercent}, seed);
    }

    /// Tasks that wait at this VM and could wait at a peer instead.
    struct WaitingTasks
    {
        std::size_t count = 0;
        /// Expected work of one task.
        CoreWork taskWork = 0;
        /// Only peers with an upstream of at most this time percent are considered.
        std::uint32_t maxPercent = 0;
        /// Expected wait at this VM.
        Duration ownWait{};
        /// Longest wait at the peer after which the tasks can still be placed elsewhere.
        Duration maxWait{};
    };
    /// Chooses a peer whose expected wait, including all of the tasks, is shorter than this VM's by
    /// a margin, and adds the work of the tasks to that peer's queue until its next report. Returns
    /// `std::nullopt` if there is no such peer.
    std::optional<Reservation> reserveQueue(const WaitingTasks &tasks, std::uint64_t seed);

private:
    struct Peer
    {
        ZoneId zone;
        CapacityReport room;
        bool takesQueuedOffers = false;
        /// Set by markFull() until the next report.
        bool isExcluded = false;
        /// Largest element of `room.free`, in thousandths of a core. Avoids a search of the list
        /// when no task fits.
        std::uint32_t largestFree = 0;
    };
    /// A peer that can take `tasks` tasks.
    struct Candidate
    {
        const VmId *vm = nullptr;
        std::size_t tasks = 0;
        bool isInOwnZone = false;
    };
    static std::size_t fittingTasks(const Peer &peer, MilliCores cpu, PercentRange range);
    /// Returns how many tasks of this work the peer's queue can take while its wait stays shorter
    /// by the margin. May exceed `tasks.count`.
    static std::size_t queueableTasks(const Peer &peer, const WaitingTasks &tasks);
    /// Returns the chosen element of `candidates`, or `std::nullopt` if there is none. Each
    /// candidate takes at least one task.
    static std::optional<Candidate> choose(std::vector<Candidate> candidates, std::uint64_t seed);

    ZoneId m_zone;
    std::map<VmId, Peer> m_peers;
};

} // namespace rattandock::fleet
