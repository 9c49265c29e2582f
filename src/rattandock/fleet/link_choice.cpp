#include "rattandock/fleet/link_choice.hpp"

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace rattandock::fleet {

namespace {

/// Links that each VM chooses to VMs of other zones; it also keeps those that others choose to it.
constexpr std::size_t foreignLinks = 4;

/// A heartbeat takes about 70 us of both ends' processors, so a link's share is 0.7% of a core.
constexpr Duration intervalPerLink = std::chrono::milliseconds{10};
constexpr Duration shortestInterval = std::chrono::milliseconds{80};
constexpr Duration longestInterval = std::chrono::milliseconds{200};

/// FNV-1a, so that VMs of different builds agree.
std::uint64_t hashOf(const VmId &first, const VmId &second)
{
    std::uint64_t hash = 0xcbf29ce484222325U;
    for (const std::string *const it : {&first.value(), &second.value()}) {
        for (const char byte : *it + '\n') {
            hash = (hash ^ static_cast<unsigned char>(byte)) * 0x100000001b3U;
        }
    }
    return hash;
}

/// The VMs of other zones that a VM chooses itself.
std::set<VmId> foreignChoices(const MemberRow &chooser, const std::map<VmId, MemberRow> &members)
{
    std::vector<std::pair<std::uint64_t, VmId>> ranked;
    for (const auto &[vm, row] : members) {
        if (row.zone != chooser.zone) {
            ranked.emplace_back(hashOf(chooser.vm, vm), vm);
        }
    }
    std::ranges::sort(ranked);
    std::set<VmId> chosen;
    for (std::size_t n = 0; n < std::min(ranked.size(), foreignLinks); ++n) {
        chosen.insert(ranked[n].second);
    }
    return chosen;
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
    std::set<VmId> links = foreignChoices(own->second, members);
    for (const auto &[vm, row] : members) {
        const bool isNear = row.zone == own->second.zone;
        if (vm != self && (isNear || foreignChoices(row, members).contains(self))) {
            links.insert(vm);
        }
    }
    return links;
}

} // namespace rattandock::fleet
