#include "rattandock/core/placement.hpp"

#include <algorithm>

namespace rattandock::core {

namespace {

bool hasFreeSlotFitting(const UpstreamTable &table, UpstreamIndex index, FitMask fit)
{
    return table.isFree(index) && (fit >> table.at(index).slotClass.shape & 1U) != 0;
}

/// Returns the upstreams with a free slot that the task fits. Takes time linear in the number of
/// upstreams: only the speed-aware policy is meant for large availability zones.
std::vector<UpstreamIndex> freeUpstreams(const UpstreamTable &table, FitMask fit)
{
    std::vector<UpstreamIndex> found;
    for (std::uint32_t n = 0; n < table.indexCount(); ++n) {
        if (hasFreeSlotFitting(table, UpstreamIndex{n}, fit)) {
            found.emplace_back(n);
        }
    }
    return found;
}

UpstreamIndex pickRandom(const std::vector<UpstreamIndex> &from, std::mt19937_64 &random)
{
    return from[std::uniform_int_distribution<std::size_t>{0, from.size() - 1}(random)];
}

} // namespace

PlacementDecision RandomPolicy::choose(const UpstreamTable &table, const PlacementRequest &request)
{
    const auto found = freeUpstreams(table, request.fit);
    if (found.empty()) {
        return NoFreeSlot{};
    }
    return PlacementChoice{pickRandom(found, random), "random"};
}

PlacementDecision RoundRobinPolicy::choose(const UpstreamTable &table,
                                           const PlacementRequest &request)
{
    const std::size_t count = table.indexCount();
    for (std::size_t n = 0; n < count; ++n) {
        const UpstreamIndex index{static_cast<std::uint32_t>((next + n) % count)};
        if (hasFreeSlotFitting(table, index, request.fit)) {
            next = index.value() + 1;
            return PlacementChoice{index, "round-robin"};
        }
    }
    return NoFreeSlot{};
}

PlacementDecision LeastOutstandingPolicy::choose(const UpstreamTable &table,
                                                 const PlacementRequest &request) const
{
    const auto found = freeUpstreams(table, request.fit);
    if (found.empty()) {
        return NoFreeSlot{};
    }
    const auto running = [&table](UpstreamIndex it) { return table.at(it).running; };
    return PlacementChoice{*std::ranges::min_element(found, {}, running), "least-outstanding"};
}

PlacementDecision PowerOfTwoChoicesPolicy::choose(const UpstreamTable &table,
                                                  const PlacementRequest &request)
{
    const auto found = freeUpstreams(table, request.fit);
    if (found.empty()) {
        return NoFreeSlot{};
    }
    const UpstreamIndex a = pickRandom(found, random);
    const UpstreamIndex b = pickRandom(found, random);
    return PlacementChoice{table.at(b).running < table.at(a).running ? b : a,
                           "power-of-two-choices"};
}

Placement::Placement(PlacementPolicyKind kind, std::uint64_t seed)
{
    switch (kind) {
    case PlacementPolicyKind::SpeedAware:
        m_policy = SpeedAwarePolicy{std::mt19937_64{seed}, {}};
        break;
    case PlacementPolicyKind::Random:
        m_policy = RandomPolicy{std::mt19937_64{seed}};
        break;
    case PlacementPolicyKind::RoundRobin:
        m_policy = RoundRobinPolicy{};
        break;
    case PlacementPolicyKind::LeastOutstanding:
        m_policy = LeastOutstandingPolicy{};
        break;
    case PlacementPolicyKind::PowerOfTwoChoices:
        m_policy = PowerOfTwoChoicesPolicy{std::mt19937_64{seed}};
        break;
    }
}

void Placement::beginRound()
{
    if (auto *policy = std::get_if<SpeedAwarePolicy>(&m_policy)) {
        policy->reservations.clear();
    }
}

PlacementDecision Placement::choose(const UpstreamTable &table, const PlacementRequest &request)
{
    return std::visit([&](auto &policy) { return policy.choose(table, request); }, m_policy);
}

} // namespace rattandock::core
