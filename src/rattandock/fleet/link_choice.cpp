#include "rattandock/fleet/link_choice.hpp"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <string>

namespace rattandock::fleet {

namespace {

/// Average number of links from a VM to VMs of other availability zones.
constexpr std::size_t meanCrossZoneLinks = 8;

/// A heartbeat takes about 70 us of CPU time at both ends. One heartbeat per 10 ms over all links
/// therefore uses 0.7% of a core.
constexpr Duration heartbeatIntervalPerLink = std::chrono::milliseconds{10};
constexpr Duration shortestInterval = std::chrono::milliseconds{80};
constexpr Duration longestInterval = std::chrono::milliseconds{200};

/// Returns a hash of an unordered pair of VMs (FNV-1a with a final mix). `std::hash` is not used
/// because VMs that run different builds must compute the same value.
std::uint64_t hashPair(const VmId &first, const VmId &second)
{
    std::uint64_t hash = 0xcbf29ce484222325U;
    const auto [low, high] = std::minmax(first, second);
    for (const std::string *const it : {&low.value(), &high.value()}) {
        for (const char byte : *it) {
            hash = (hash ^ static_cast<unsigned char>(byte)) * 0x100000001b3U;
        }
        hash = (hash ^ '\n') * 0x100000001b3U;
    }
    hash = (hash ^ (hash >> 33U)) * 0xff51afd7ed558ccdU;
    return hash ^ (hash >> 33U);
}

} // namespace

Duration heartbeatIntervalFor(std::size_t links)
{
    return std::clamp(heartbeatIntervalPerLink * static_cast<Duration::rep>(links),
                      shortestInterval, longestInterval);
}

std::set<VmId> chooseLinks(const VmId &self, const std::map<VmId, MemberRow> &members)
{
    const auto own = members.find(self);
    if (own == members.end()) {
        return {};
    }
    std::map<ZoneId, std::size_t> sizes;
    for (const auto &[vm, row] : members) {
        ++sizes[row.zone];
    }
    const ZoneId &zone = own->second.zone;
    std::set<VmId> links;
    for (const auto &[vm, row] : members) {
        if (vm == self) {
            continue;
        }
        // The number of candidates is symmetric in both zones, so both ends choose the same links.
        const std::size_t candidates = members.size() - std::max(sizes[zone], sizes[row.zone]);
        constexpr std::uint64_t all = std::numeric_limits<std::uint64_t>::max();
        if (row.zone == zone || candidates <= meanCrossZoneLinks
            || hashPair(self, vm) < all / candidates * meanCrossZoneLinks) {
            links.insert(vm);
        }
    }
    return links;
}

} // namespace rattandock::fleet
