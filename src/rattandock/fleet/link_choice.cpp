#include "rattandock/fleet/link_choice.hpp"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <string>

namespace rattandock::fleet {

namespace {

/// Links of a VM to VMs of other zones, on average.
constexpr std::size_t meanForeignLinks = 8;

/// A heartbeat takes about 70 us of both ends' processors, so a link's share is 0.7% of a core.
constexpr Duration intervalPerLink = std::chrono::milliseconds{10};
constexpr Duration shortestInterval = std::chrono::milliseconds{80};
constexpr Duration longestInterval = std::chrono::milliseconds{200};

/// FNV-1a with a final mix, so that VMs of different builds agree. The same for both orders.
std::uint64_t hashOf(const VmId &first, const VmId &second)
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
    return std::clamp(intervalPerLink * static_cast<Duration::rep>(links), shortestInterval,
                      longestInterval);
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
        // The share of pairs that are linked depends on both zones alike, so both ends agree.
        const std::size_t choice = members.size() - std::max(sizes[zone], sizes[row.zone]);
        constexpr std::uint64_t all = std::numeric_limits<std::uint64_t>::max();
        if (row.zone == zone || choice <= meanForeignLinks
            || hashOf(self, vm) < all / choice * meanForeignLinks) {
            links.insert(vm);
        }
    }
    return links;
}

} // namespace rattandock::fleet
