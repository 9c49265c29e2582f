#include "rattandock/core/upstream_table.hpp"

#include <algorithm>
#include <bit>
#include <cassert>
#include <cmath>

namespace rattandock::core {

namespace {

/// Weight of a new sample in the moving average, once there are enough samples. With estimates off
/// by up to three times, the mean ratio of response time to ideal was 1.675 at 0.2, 1.635 at 0.1
/// and 1.614 at 0.05; 0.03 raised p99 (placement_comparison_bench).
constexpr double sampleWeight = 0.05;
/// Samples are clamped to this factor above or below the mean, so that a single straggler or wrong
/// estimate doesn't outweigh many earlier samples.
constexpr double outlierFactor = 4.0;
/// Ratios outside this range indicate a wrong estimate and are clamped.
constexpr double minCost = 1.0 / 16.0;
constexpr double maxCost = 16.0;
/// Each shape occupies one bit of a `FitMask`.
constexpr std::size_t maxShapes = 64;
/// At most one upstream in this many of an availability zone is ejected: if more fail, the cause is
/// unlikely to be the upstreams.
constexpr std::uint32_t ejectableDivisor = 3;

bool fits(const Resources &needs, const Resources &capacity)
{
    return needs.cores <= capacity.cores && needs.memory <= capacity.memory
           && needs.accelerators <= capacity.accelerators;
}

Resources componentwiseMin(const Resources &a, const Resources &b)
{
    return {std::min(a.cores, b.cores), std::min(a.memory, b.memory),
            std::min(a.accelerators, b.accelerators)};
}

} // namespace

UpstreamTable::UpstreamTable(ZoneId ownZone)
    : m_ownZone(std::move(ownZone))
{
    m_slots.reset(1);
}

void UpstreamTable::configure(const std::vector<UpstreamSpec> &upstreams)
{
    for (Upstream &it : m_upstreams) {
        it.configured = false;
    }
    for (const UpstreamSpec &it : upstreams) {
        Upstream &upstream = m_upstreams[addOrFind(it.id).value()];
        if (upstream.spec.zone != it.zone) {
            resetSpeed(upstream);
        }
        upstream.spec = it;
        upstream.configured = true;
        upstream.rack =
                m_racks.emplace(it.rack, static_cast<std::uint32_t>(m_racks.size())).first->second;
    }
    m_configured = upstreams.size();
    for (const auto &[id, index] : std::unordered_map{m_indexes}) {
        if (!at(index).configured && at(index).running == 0) {
            remove(index);
        }
    }
    rebuildShapes();
}

std::optional<UpstreamIndex> UpstreamTable::find(const UpstreamId &id) const
{
    const auto it = m_indexes.find(id);
    if (it == m_indexes.end()) {
        return std::nullopt;
    }
    return it->second;
}

bool UpstreamTable::setLife(UpstreamIndex index, UpstreamLife life)
{
    Upstream &upstream = m_upstreams[index.value()];
    if (upstream.life == life) {
        return false;
    }
    upstream.life = life;
    updateIndexes(index);
    return true;
}

FitMask UpstreamTable::fitMaskFor(const Resources &needs) const
{
    FitMask fit = 0;
    for (std::size_t n = 0; n < m_shapes.size(); ++n) {
        fit |= fits(needs, m_shapes[n]) ? FitMask{1} << n : 0;
    }
    return fit;
}

bool UpstreamTable::canRun(FitMask fit) const
{
    for (std::size_t n = 0; n < m_usableOfShape.size(); ++n) {
        if ((fit >> n & 1U) != 0 && m_usableOfShape[n] > 0) {
            return true;
        }
    }
    return false;
}

bool UpstreamTable::canRunIncludingEjected(FitMask fit) const
{
    for (std::uint32_t n = 0; n < m_upstreams.size(); ++n) {
        if (mayGetWork(UpstreamIndex{n}) && (fit >> m_upstreams[n].slotClass.shape & 1U) != 0) {
            return true;
        }
    }
    return false;
}

double UpstreamTable::cost(UpstreamIndex index) const
{
    const Upstream &upstream = at(index);
    if (upstream.samples > 0) {
        return std::exp(upstream.logCost);
    }
    const auto it = m_zones.find(upstream.spec.zone);
    if (it == m_zones.end() || it->second.measuredUpstreams == 0) {
        return 1.0;
    }
    return std::exp(it->second.logCostSum / it->second.measuredUpstreams);
}

double UpstreamTable::usableSlots() const
{
    return m_usableSlots[0] > 0 ? m_usableSlots[0] : m_usableSlots[1];
}

double UpstreamTable::meanCost() const
{
    const std::size_t side = m_usableSlots[0] > 0 ? 0 : 1;
    return m_usableSlots.at(side) > 0 ? m_usableSlots.at(side) / m_capacity.at(side) : 1.0;
}

double UpstreamTable::fastestCost() const
{
    std::uint32_t speeds = 0;
    for (std::uint8_t shape = 0; shape < m_slots.shapes(); ++shape) {
        for (const ZoneSide side : {ZoneSide::Own, ZoneSide::Other}) {
            speeds |= m_slots.freeSpeeds(side, shape) | m_slots.busySpeeds(side, shape);
        }
    }
    return speeds == 0 ? 1.0 : costOf(static_cast<std::uint8_t>(std::countr_zero(speeds)));
}

SlotLease UpstreamTable::start(UpstreamIndex index, Duration estimate, TimePoint now)
{
    Upstream &upstream = m_upstreams[index.value()];
    assert(upstream.running < upstream.spec.slots.value());
    ++upstream.running;
    if (m_health.state(index) == HealthState::ProbeDue) {
        m_health.probeStarted(index);
    }
    const Duration expected{
            static_cast<Duration::rep>(static_cast<double>(estimate.count()) * cost(index))};
    const SlotLease lease{index, upstream.slotClass, now, now + expected};
    m_slots.addBusy(index, lease.slotClass, lease.expectedEnd);
    updateIndexes(index);
    return lease;
}

void UpstreamTable::end(const SlotLease &lease)
{
    Upstream &upstream = m_upstreams[lease.upstream.value()];
    assert(upstream.running > 0);
    --upstream.running;
    m_slots.removeBusy(lease.upstream, lease.slotClass, lease.expectedEnd);
    if (!upstream.configured && upstream.running == 0) {
        remove(lease.upstream);
        return;
    }
    updateIndexes(lease.upstream);
}

void UpstreamTable::recordRunTime(UpstreamIndex index, Duration estimate, Duration measured)
{
    if (estimate <= Duration{} || measured <= Duration{}) {
        return;
    }
    Upstream &upstream = m_upstreams[index.value()];
    const double ratio =
            static_cast<double>(measured.count()) / static_cast<double>(estimate.count());
    const double sample = std::log(std::clamp(ratio, minCost, maxCost));
    const double mean = std::log(cost(index));
    // The zone's mean counts as one prior sample, so that the first sample alone doesn't set the
    // cost.
    const double weight = std::max(sampleWeight, 1.0 / (upstream.samples + 2.0));
    const double limit = std::log(outlierFactor);
    const double updatedLogCost = mean + weight * std::clamp(sample - mean, -limit, limit);
    ZoneSpeed &zone = m_zones[upstream.spec.zone];
    if (upstream.samples == 0) {
        ++zone.measuredUpstreams;
        zone.logCostSum += updatedLogCost;
    } else {
        zone.logCostSum += updatedLogCost - upstream.logCost;
    }
    upstream.logCost = updatedLogCost;
    ++upstream.samples;
    updateIndexes(index);
}

UpstreamHealth::Change UpstreamTable::failed(UpstreamIndex index, JobHandle job, TimePoint now)
{
    ZoneSpeed &zone = m_zones[at(index).spec.zone];
    const bool mayEject = (zone.ejected + 1) * ejectableDivisor <= zone.upstreams;
    const auto change = m_health.recordFailure(index, job, mayEject, now);
    zone.ejected += change == UpstreamHealth::Change::Ejected ? 1 : 0;
    updateIndexes(index);
    return change;
}

UpstreamHealth::Change UpstreamTable::succeeded(UpstreamIndex index, JobHandle job)
{
    const auto change = m_health.recordSuccess(index, job);
    if (change == UpstreamHealth::Change::Restored) {
        --m_zones[at(index).spec.zone].ejected;
        updateIndexes(index);
    }
    return change;
}

void UpstreamTable::recordInconclusive(UpstreamIndex index)
{
    m_health.recordInconclusive(index);
    updateIndexes(index);
}

void UpstreamTable::release(TimePoint now)
{
    std::vector<UpstreamIndex> due;
    m_health.endExpiredPauses(now, due);
    for (const UpstreamIndex it : due) {
        updateIndexes(it);
    }
}

bool UpstreamTable::isFree(UpstreamIndex index) const
{
    return mayGetWork(index) && m_health.state(index) == HealthState::Healthy
           && at(index).running < at(index).spec.slots.value();
}

UpstreamIndex UpstreamTable::addOrFind(const UpstreamId &id)
{
    if (const auto existing = find(id)) {
        return *existing;
    }
    UpstreamIndex index{static_cast<std::uint32_t>(m_upstreams.size())};
    if (m_freeIndexes.empty()) {
        m_upstreams.emplace_back();
        m_countedCapacity.push_back(0);
    } else {
        index = m_freeIndexes.back();
        m_freeIndexes.pop_back();
    }
    m_indexes.emplace(id, index);
    return index;
}

void UpstreamTable::rebuildShapes()
{
    m_shapes.clear();
    for (const auto &[id, index] : m_indexes) {
        const Resources &capacity = at(index).spec.capacity;
        if (std::ranges::find(m_shapes, capacity) == m_shapes.end()) {
            m_shapes.push_back(capacity);
        }
    }
    std::ranges::sort(m_shapes, {}, [](const Resources &it) {
        return std::tuple{it.cores, it.memory, it.accelerators};
    });
    // Shapes beyond the number of bits share the last one, with the minimum of their capacities.
    while (m_shapes.size() > maxShapes) {
        const Resources last = m_shapes.back();
        m_shapes.pop_back();
        m_shapes.back() = componentwiseMin(m_shapes.back(), last);
    }
    m_slots.reset(static_cast<std::uint8_t>(std::max<std::size_t>(m_shapes.size(), 1)));
    m_usableOfShape.assign(m_shapes.size(), 0);
    m_capacity = {};
    m_usableSlots = {};
    m_probesDue.clear();
    for (auto &[id, zone] : m_zones) {
        zone.upstreams = 0;
        zone.ejected = 0;
    }
    for (const auto &[id, index] :
         std::map<UpstreamId, UpstreamIndex>(m_indexes.begin(), m_indexes.end())) {
        Upstream &it = m_upstreams[index.value()];
        const auto shape = std::ranges::find(m_shapes, it.spec.capacity);
        it.slotClass.shape = static_cast<std::uint8_t>(
                shape == m_shapes.end() ? m_shapes.size() - 1
                                        : static_cast<std::size_t>(shape - m_shapes.begin()));
        it.slotClass.side = it.spec.zone == m_ownZone ? ZoneSide::Own : ZoneSide::Other;
        it.usable = false;
        m_countedCapacity[index.value()] = 0;
        ZoneSpeed &zone = m_zones[it.spec.zone];
        ++zone.upstreams;
        zone.ejected += m_health.state(index) != HealthState::Healthy ? 1 : 0;
        updateIndexes(index);
    }
}

void UpstreamTable::updateIndexes(UpstreamIndex index)
{
    Upstream &it = m_upstreams[index.value()];
    const HealthState health = m_health.state(index);
    const bool usable = mayGetWork(index) && health == HealthState::Healthy;
    const auto side = static_cast<std::size_t>(it.slotClass.side);
    const double slots = it.spec.slots.value();
    const double costFactor = cost(index);
    it.slotClass.speed = speedClassOf(costFactor);
    const double counted = usable ? slots / costFactor : 0;
    m_capacity.at(side) += counted - m_countedCapacity[index.value()];
    m_countedCapacity[index.value()] = counted;
    if (usable != it.usable) {
        m_usableSlots.at(side) += usable ? slots : -slots;
        m_usableOfShape[it.slotClass.shape] += usable ? 1 : -1;
        it.usable = usable;
    }
    m_slots.removeFree(index);
    if (usable && it.running < it.spec.slots.value()) {
        m_slots.addFree(index, it.slotClass);
    }
    if (mayGetWork(index) && health == HealthState::ProbeDue && it.running == 0) {
        m_probesDue.insert(index);
    } else {
        m_probesDue.erase(index);
    }
}

void UpstreamTable::resetSpeed(Upstream &upstream)
{
    if (upstream.samples > 0) {
        ZoneSpeed &zone = m_zones[upstream.spec.zone];
        zone.logCostSum -= upstream.logCost;
        --zone.measuredUpstreams;
        upstream.samples = 0;
    }
}

void UpstreamTable::remove(UpstreamIndex index)
{
    Upstream &it = m_upstreams[index.value()];
    ZoneSpeed &zone = m_zones[it.spec.zone];
    if (m_health.state(index) != HealthState::Healthy && zone.ejected > 0) {
        --zone.ejected;
    }
    if (zone.upstreams > 0) {
        --zone.upstreams;
    }
    m_health.reset(index);
    it.configured = false;
    updateIndexes(index);
    resetSpeed(it);
    m_indexes.erase(it.spec.id);
    m_freeIndexes.push_back(index);
    it = {};
}

bool UpstreamTable::mayGetWork(UpstreamIndex index) const
{
    return at(index).configured && at(index).life == UpstreamLife::Live;
}

} // namespace rattandock::core
