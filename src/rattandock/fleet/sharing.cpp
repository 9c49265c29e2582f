#include "rattandock/fleet/sharing.hpp"

#include <algorithm>
#include <array>
#include <string_view>
#include <tuple>

namespace rattandock::fleet {

namespace {

/// The own zone is used while its free capacity is at least this share of that of the other zones.
/// Below it, the few free places of the own zone would attract all VMs of the zone at once.
constexpr double comparableShare = 0.25;

/// Margin by which a peer's expected wait must be shorter, as a duration and as a share. Reports
/// are up to 200 ms old and the work of a queue is known within about 40%; with a smaller margin,
/// two VMs with equal queues would send each other tasks.
constexpr Duration queueMargin = std::chrono::milliseconds{60};
constexpr double queueMarginFactor = 1.25;

/// Of two drawn peers, the second is taken only if its room is larger by this factor. Reports are
/// less accurate than that, and a peer with a little more room than the others would otherwise be
/// chosen twice as often as they are.
constexpr double clearlyMoreFactor = 1.25;

/// Upper limit of the weight of a queue in the choice, so that the sum of the weights cannot
/// overflow.
constexpr double maxQueueWeight = 1e6;

/// Maximum number of upstreams with free capacity in a heartbeat. A VM sends up to 100 heartbeats a
/// second over all links, and 8 B for each upstream in each of them; receivers fill less than this
/// before the next heartbeat.
constexpr std::size_t maxReportedUpstreams = 8;
constexpr std::size_t reportedByRoom = 4;

/// Final mix of MurmurHash3, so that numbers that differ in one bit give unrelated draws.
std::uint64_t mixed(std::uint64_t hash)
{
    hash = (hash ^ (hash >> 33U)) * 0xff51afd7ed558ccdU;
    hash = (hash ^ (hash >> 33U)) * 0xc4ceb9fe1a85ec53U;
    return hash ^ (hash >> 33U);
}

bool hasMuchMore(std::size_t tasks, std::size_t than)
{
    return static_cast<double>(tasks) > clearlyMoreFactor * static_cast<double>(than);
}

std::uint32_t largestOf(const std::vector<FreeCapacity> &free)
{
    const auto it = std::ranges::max_element(free, {}, &FreeCapacity::cpu);
    return it == free.end() ? 0 : it->cpu;
}

} // namespace

std::uint64_t offerSeed(const VmId &self, const JobId &job, std::uint64_t offer)
{
    // FNV-1a; `std::hash` may differ between builds, and a choice must be repeatable.
    std::uint64_t hash = 0xcbf29ce484222325U;
    for (const std::string_view text :
         {std::string_view{self.value()}, std::string_view{job.value()}}) {
        for (const char byte : text) {
            hash = (hash ^ static_cast<unsigned char>(byte)) * 0x100000001b3U;
        }
        hash = (hash ^ '\n') * 0x100000001b3U;
    }
    return mixed(hash + offer);
}

void limitReportedUpstreams(std::vector<FreeCapacity> &free)
{
    std::ranges::sort(free, [](const FreeCapacity &a, const FreeCapacity &b) {
        return a.cpu != b.cpu ? a.cpu > b.cpu : a.runTimePercent < b.runTimePercent;
    });
    if (free.size() <= maxReportedUpstreams) {
        return;
    }
    // Fast upstreams that are nearly full would displace those that can take a task.
    const std::uint32_t usefulCpu = free[reportedByRoom - 1].cpu / 2;
    std::ranges::stable_sort(free.begin() + reportedByRoom, free.end(), {},
                             [=](const FreeCapacity &it) {
                                 return std::tuple{it.cpu < usefulCpu, it.runTimePercent};
                             });
    free.resize(maxReportedUpstreams);
}

void PeerRoom::update(const VmId &vm, const ZoneId &zone, const CapacityReport &room,
                      bool takesQueuedOffers)
{
    m_peers[vm] = Peer{zone, room, takesQueuedOffers, false, largestOf(room.free)};
}

void PeerRoom::markFull(const VmId &vm)
{
    if (const auto it = m_peers.find(vm); it != m_peers.end()) {
        it->second.isExcluded = true;
        it->second.room.free.clear();
        it->second.largestFree = 0;
    }
}

std::size_t PeerRoom::fittingTasks(const Peer &peer, MilliCores cpu, PercentRange range)
{
    if (peer.largestFree < cpu.value()) {
        return 0;
    }
    std::size_t count = 0;
    for (const FreeCapacity &it : peer.room.free) {
        count += range.contains(it.runTimePercent) ? it.cpu / std::max(cpu.value(), 1U) : 0;
    }
    return count;
}

std::size_t PeerRoom::queueableTasks(const Peer &peer, const WaitingTasks &tasks)
{
    const CapacityReport &room = peer.room;
    const auto usable = static_cast<double>(room.usableCpu);
    if (!peer.takesQueuedOffers || peer.isExcluded || usable <= 0 || tasks.taskWork <= 0
        || room.fastestPercent == 0 || room.fastestPercent > tasks.maxPercent) {
        return 0;
    }
    const double maxWait =
            std::min(static_cast<double>((tasks.ownWait - queueMargin).count()) / queueMarginFactor,
                     static_cast<double>(tasks.maxWait.count()));
    const double spare = maxWait * usable - static_cast<double>(room.queuedWork);
    const double count = spare / tasks.taskWork;
    return count < 1 ? 0 : static_cast<std::size_t>(std::min(count, maxQueueWeight));
}

std::uint32_t PeerRoom::fastestPercent() const
{
    std::vector<std::uint32_t> all;
    for (const auto &[vm, peer] : m_peers) {
        if (peer.room.fastestPercent > 0) {
            all.push_back(peer.room.fastestPercent);
        }
    }
    if (all.empty()) {
        return 0;
    }
    const auto quartile = all.begin() + static_cast<std::ptrdiff_t>((all.size() - 1) / 4);
    std::ranges::nth_element(all, quartile);
    return *quartile;
}

double PeerRoom::freeCpuInZone(std::uint32_t maxPercent) const
{
    double sum = 0;
    for (const auto &[vm, peer] : m_peers) {
        for (const FreeCapacity &it : peer.room.free) {
            sum += peer.zone == m_zone && it.runTimePercent <= maxPercent ? it.cpu : 0;
        }
    }
    return sum;
}

double PeerRoom::usableCpuInZone() const
{
    double sum = 0;
    for (const auto &[vm, peer] : m_peers) {
        sum += peer.zone == m_zone ? static_cast<double>(peer.room.usableCpu) : 0;
    }
    return sum;
}

std::optional<std::uint32_t> PeerRoom::fastestFreePercent(MilliCores cpu) const
{
    std::optional<std::uint32_t> fastest;
    for (const auto &[vm, peer] : m_peers) {
        if (peer.largestFree < cpu.value()) {
            continue;
        }
        for (const FreeCapacity &it : peer.room.free) {
            if (it.cpu >= cpu.value() && (!fastest || it.runTimePercent < *fastest)) {
                fastest = it.runTimePercent;
            }
        }
    }
    return fastest;
}

std::size_t PeerRoom::countFittingTasks(MilliCores cpu, std::uint32_t maxPercent) const
{
    std::size_t count = 0;
    for (const auto &[vm, peer] : m_peers) {
        count += fittingTasks(peer, cpu, {0, maxPercent});
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

std::vector<VmId> PeerRoom::vmsWithQueue() const
{
    std::vector<VmId> vms;
    for (const auto &[vm, peer] : m_peers) {
        if (peer.zone == m_zone && peer.room.queuedWork > 0) {
            vms.push_back(vm);
        }
    }
    return vms;
}

double PeerRoom::queuedWork() const
{
    double sum = 0;
    for (const auto &[vm, peer] : m_peers) {
        sum += static_cast<double>(peer.room.queuedWork);
    }
    return sum;
}

std::optional<PeerRoom::Candidate> PeerRoom::choose(std::vector<Candidate> candidates,
                                                    std::uint64_t seed)
{
    std::size_t own = 0;
    std::size_t total = 0;
    for (const Candidate &it : candidates) {
        own += it.isInOwnZone ? it.tasks : 0;
        total += it.tasks;
    }
    if (total == 0) {
        return std::nullopt;
    }
    if (own > 0 && static_cast<double>(own) >= comparableShare * static_cast<double>(total - own)) {
        std::erase_if(candidates, [](const Candidate &it) { return !it.isInOwnZone; });
        total = own;
    }
    std::optional<Candidate> best;
    for (const std::uint64_t draw : {mixed(seed + 1), mixed(seed + 2)}) {
        std::size_t at = draw % total;
        for (const Candidate &it : candidates) {
            if (at < it.tasks) {
                best = !best || hasMuchMore(it.tasks, best->tasks) ? it : best;
                break;
            }
            at -= it.tasks;
        }
    }
    return best;
}

std::optional<PeerRoom::Reservation> PeerRoom::reserve(MilliCores cpu, std::size_t count,
                                                       PercentRange range, std::uint64_t seed)
{
    std::vector<Candidate> candidates;
    for (const auto &[vm, peer] : m_peers) {
        if (const std::size_t tasks = fittingTasks(peer, cpu, range); tasks > 0) {
            candidates.push_back({&vm, tasks, peer.zone == m_zone});
        }
    }
    const auto best = choose(std::move(candidates), seed);
    if (!best) {
        return std::nullopt;
    }
    Reservation reservation{*best->vm, 0};
    const std::uint32_t size = std::max(cpu.value(), 1U);
    Peer &peer = m_peers.at(*best->vm);
    for (FreeCapacity &it : peer.room.free) {
        while (reservation.tasks < count && range.contains(it.runTimePercent) && it.cpu >= size) {
            it.cpu -= size;
            ++reservation.tasks;
        }
    }
    peer.largestFree = largestOf(peer.room.free);
    return reservation;
}

std::optional<PeerRoom::Reservation> PeerRoom::reserveQueue(const WaitingTasks &tasks,
                                                            std::uint64_t seed)
{
    if (tasks.count == 0 || tasks.ownWait <= queueMargin) {
        return std::nullopt;
    }
    std::vector<Candidate> candidates;
    for (const auto &[vm, peer] : m_peers) {
        if (const std::size_t count = queueableTasks(peer, tasks); count >= tasks.count) {
            candidates.push_back({&vm, count, peer.zone == m_zone});
        }
    }
    const auto best = choose(std::move(candidates), seed);
    if (!best) {
        return std::nullopt;
    }
    m_peers.at(*best->vm).room.queuedWork +=
            static_cast<std::uint64_t>(static_cast<double>(tasks.count) * tasks.taskWork);
    return Reservation{*best->vm, tasks.count};
}

} // namespace rattandock::fleet
