// Decisions that a VM of a fleet takes at an interval, at 7 to 300 VMs with 7.5 upstreams each.
#include <benchmark/benchmark.h>

#include "rattandock/fleet/fleet_dispatcher.hpp"
#include "rattandock/fleet/keeper_assignment.hpp"
#include "rattandock/fleet/link_choice.hpp"
#include "rattandock/fleet/upstream_directory.hpp"

using namespace rattandock;
using namespace rattandock::fleet;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start{100s};

/// A fleet of the given number of VMs in five zones.
struct Fleet
{
    explicit Fleet(std::size_t vmCount)
    {
        for (std::size_t n = 0; n < vmCount; ++n) {
            const VmId vm{"front-zone-" + std::to_string(n % zoneCount) + '-' + std::to_string(n)};
            members.push_back({vm, Incarnation{1}, zoneOf(n), "127.0.0.1:1", 0.09, false, 1});
        }
        for (std::size_t n = 0; n < vmCount * 15 / 2; ++n) {
            UpstreamEntry entry;
            entry.id = UpstreamId{"i-" + std::to_string(n * 7919)};
            entry.service = ServiceId{"s"};
            entry.zone = zoneOf(n);
            entry.address = "127.0.0.1:2";
            entry.capacity = {MilliCores{64'000}, Megabytes{131'072}, Accelerators{0}};
            entry.labels = {"kind"};
            const MemberRow &keeper = members[n % vmCount];
            keepers.push_back({entry.id, entry.zone, keeper.vm, keeper.incarnation, 1, 1});
            upstreams.push_back(std::move(entry));
        }
    }
    static ZoneId zoneOf(std::size_t n) { return ZoneId{"zone-" + std::to_string(n % zoneCount)}; }

    static constexpr std::size_t zoneCount = 5;
    std::vector<MemberRow> members;
    std::vector<UpstreamEntry> upstreams;
    std::vector<KeeperRow> keepers;
};

FleetDispatcher makeDispatcher(const Fleet &fleet, FleetActions &actions)
{
    FleetOptions options;
    options.vm = fleet.members.front().vm;
    options.zone = fleet.members.front().zone;
    options.incarnation = fleet.members.front().incarnation;
    FleetDispatcher dispatcher{options};
    dispatcher.handle(MembersRead{fleet.members}, start, actions);
    dispatcher.handle(UpstreamListRead{fleet.upstreams, {}, true}, start, actions);
    dispatcher.handle(KeepersRead{fleet.keepers, true}, start, actions);
    return dispatcher;
}

void chooseLinksOfOneVm(benchmark::State &state)
{
    const Fleet fleet{static_cast<std::size_t>(state.range(0))};
    std::map<VmId, MemberRow> members;
    for (const MemberRow &it : fleet.members) {
        members.emplace(it.vm, it);
    }
    for (auto _ : state) {
        benchmark::DoNotOptimize(chooseLinks(fleet.members.front().vm, members));
    }
}

/// A change of the members, after which the assignment of the zone is considered.
void considerAssignment(benchmark::State &state)
{
    const Fleet fleet{static_cast<std::size_t>(state.range(0))};
    FleetActions actions;
    FleetDispatcher dispatcher = makeDispatcher(fleet, actions);
    const ZoneId &zone = fleet.members.front().zone;
    std::vector<MemberRow> near;
    std::ranges::copy_if(fleet.members, std::back_inserter(near),
                         [&](const MemberRow &it) { return it.zone == zone; });
    TimePoint now = start + 10s;
    for (auto _ : state) {
        now += 700ms;
        actions.clear();
        dispatcher.handle(MembersRead{near, zone}, now, actions);
    }
}

/// The dispatcher's own timer, with nothing to do.
void handleTimer(benchmark::State &state)
{
    const Fleet fleet{static_cast<std::size_t>(state.range(0))};
    FleetActions actions;
    FleetDispatcher dispatcher = makeDispatcher(fleet, actions);
    TimePoint now = start + 10s;
    for (auto _ : state) {
        now += 20ms;
        actions.clear();
        dispatcher.handle(TimerDue{}, now, actions);
    }
}

/// What the other VMs of a zone do for each read of the list by the first.
void takePassedChanges(benchmark::State &state)
{
    const Fleet fleet{static_cast<std::size_t>(state.range(0))};
    UpstreamDirectory directory{DirectoryTimes{2000ms}};
    directory.applyRead(DirectoryRead{fleet.upstreams, {}, 1, true, false, start});
    std::uint64_t version = 1;
    for (auto _ : state) {
        const UpstreamChanges changes{version, version + 1, 1ms, {}, {}};
        benchmark::DoNotOptimize(directory.applyChanges(changes, start + 1s));
        ++version;
    }
}

} // namespace

BENCHMARK(chooseLinksOfOneVm)->Arg(7)->Arg(35)->Arg(147)->Arg(300);
BENCHMARK(considerAssignment)->Arg(7)->Arg(35)->Arg(147)->Arg(300);
BENCHMARK(handleTimer)->Arg(7)->Arg(35)->Arg(147)->Arg(300);
BENCHMARK(takePassedChanges)->Arg(7)->Arg(35)->Arg(147)->Arg(300);
