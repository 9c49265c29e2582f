#include <algorithm>
#include <bit>
#include <optional>

#include "rattandock/core/placement.hpp"

namespace rattandock::core {

namespace {

/// Round trip to another zone: 0.5 ms each way.
constexpr Duration otherZoneRoundTrip = std::chrono::milliseconds{1};
/// A wait must end the task sooner by this part of its run time, since a busy slot's end is only
/// expected while a free one is certain. Mean response over ideal at 0.1: 1.641, at 0.3: 1.635,
/// at 0.5: 1.636 (placement_comparison_bench).
constexpr double waitMargin = 0.3;
/// Upstreams of the chosen class that are compared by rack and load.
constexpr std::size_t comparedUpstreams = 8;
/// Decide again no sooner than this, so that an overdue task causes no busy loop.
constexpr Duration leastRecheck = std::chrono::milliseconds{5};

Duration runTime(const PlacementRequest &request, SlotClass slotClass)
{
    const double time = static_cast<double>(request.estimate.count()) * costOf(slotClass.speed);
    return Duration{static_cast<Duration::rep>(time)}
           + (slotClass.side == ZoneSide::Other ? otherZoneRoundTrip : Duration{});
}

template <typename Function>
void forEachRow(const UpstreamTable &table, FitMask fit, Function function)
{
    for (const ZoneSide side : {ZoneSide::Own, ZoneSide::Other}) {
        for (std::uint8_t shape = 0; shape < table.slots().shapes(); ++shape) {
            if ((fit >> shape & 1U) != 0) {
                function(side, shape);
            }
        }
    }
}

struct FreeClass
{
    SlotClass slotClass;
    Duration time{};
};

/// The free class that ends the task first.
std::optional<FreeClass> bestFreeClass(const UpstreamTable &table, const PlacementRequest &request)
{
    std::optional<FreeClass> best;
    forEachRow(table, request.fit, [&](ZoneSide side, std::uint8_t shape) {
        const std::uint32_t speeds = table.slots().freeSpeeds(side, shape);
        if (speeds == 0) {
            return;
        }
        const SlotClass it{side, shape, static_cast<std::uint8_t>(std::countr_zero(speeds))};
        const Duration time = runTime(request, it);
        if (!best || time < best->time) {
            best = FreeClass{it, time};
        }
    });
    return best;
}

struct BusyClass
{
    SlotClass slotClass;
    /// When the task would end.
    Duration end{};
    /// When the slot is expected to be free.
    Duration slotFree{};
};

/// Time until the slot is free. A task that overran its time by t is expected to need t more.
Duration untilFree(TimePoint expectedEnd, TimePoint now)
{
    return std::max({expectedEnd - now, now - expectedEnd, leastRecheck});
}

std::optional<BusyClass> bestBusyClass(const SpeedAwarePolicy &policy, const UpstreamTable &table,
                                       const PlacementRequest &request, Duration limit)
{
    std::optional<BusyClass> best;
    forEachRow(table, request.fit, [&](ZoneSide side, std::uint8_t shape) {
        for (std::uint32_t speeds = table.slots().busySpeeds(side, shape); speeds != 0;
             speeds &= speeds - 1) {
            const SlotClass it{side, shape, static_cast<std::uint8_t>(std::countr_zero(speeds))};
            const Duration time = runTime(request, it);
            if (time >= limit) {
                break;
            }
            const auto &slots = table.slots().busy(it);
            const auto claim = std::ranges::find(policy.claims, it,
                                                 [](const auto &entry) { return entry.first; });
            const std::uint32_t claimed = claim == policy.claims.end() ? 0 : claim->second;
            if (claimed >= slots.size()) {
                continue;
            }
            const auto slot = std::next(slots.begin(), claimed);
            if (!table.at(slot->second).usable) {
                continue;
            }
            const Duration slotFree = untilFree(slot->first, request.now);
            if (slotFree + time < limit && (!best || slotFree + time < best->end)) {
                best = BusyClass{it, slotFree + time, slotFree};
            }
        }
    });
    return best;
}

std::uint16_t rackCount(const PlacementRequest &request, std::uint32_t rack)
{
    return rack < request.jobRacks.size() ? request.jobRacks[rack] : std::uint16_t{0};
}

/// The upstream of the class with the fewest tasks of the job in its rack, then the fewest tasks.
UpstreamIndex spread(const UpstreamTable &table, const PlacementRequest &request,
                     SlotClass slotClass, std::mt19937_64 &random)
{
    const auto &free = table.slots().free(slotClass);
    const std::size_t offset = free.size() > comparedUpstreams ? random() % free.size() : 0;
    const auto load = [&](UpstreamIndex it) {
        return std::pair{rackCount(request, table.at(it).rack), table.at(it).running};
    };
    UpstreamIndex best = free[offset];
    for (std::size_t n = 1; n < std::min(free.size(), comparedUpstreams); ++n) {
        const UpstreamIndex it = free[(offset + n) % free.size()];
        if (load(it) < load(best)) {
            best = it;
        }
    }
    return best;
}

} // namespace

PlacementDecision SpeedAwarePolicy::choose(const UpstreamTable &table,
                                           const PlacementRequest &request)
{
    const auto free = bestFreeClass(table, request);
    if (!free) {
        return NoFreeSlot{};
    }
    const Duration limit{static_cast<Duration::rep>(static_cast<double>(free->time.count())
                                                    * (1.0 - waitMargin))};
    const auto busy = request.mayWait ? bestBusyClass(*this, table, request, limit) : std::nullopt;
    if (busy) {
        const auto claim = std::ranges::find(claims, busy->slotClass,
                                             [](const auto &entry) { return entry.first; });
        if (claim == claims.end()) {
            claims.emplace_back(busy->slotClass, 1);
        } else {
            ++claim->second;
        }
        return WaitForSlot{request.now + busy->slotFree};
    }
    const std::string_view reason = free->slotClass.side == ZoneSide::Other ? "other-zone"
                                    : request.lastOfJob                     ? "fastest-for-last"
                                                                            : "fastest-for-longest";
    return PlacementChoice{spread(table, request, free->slotClass, random), reason};
}

} // namespace rattandock::core
