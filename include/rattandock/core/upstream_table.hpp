#pragma once

#include <array>
#include <map>
#include <unordered_map>
#include <vector>

#include "rattandock/core/fit_mask.hpp"
#include "rattandock/core/slot_index.hpp"
#include "rattandock/core/upstream_health.hpp"
#include "rattandock/core/upstream_spec.hpp"

namespace rattandock::core {

/// A slot in use; needed to give it back.
struct SlotLease
{
    UpstreamIndex upstream;
    SlotClass slotClass;
    TimePoint started;
    TimePoint expectedEnd;
};

/// Slots, life, learned speed and health of each upstream. Thread safety: none.
///
/// The cost of an upstream is its measured time over the estimate: the exponentially weighted
/// geometric mean, so that a task of three times its estimate and one of a third cancel out.
/// An upstream starts at the mean of its zone.
class UpstreamTable
{
public:
    struct Upstream
    {
        UpstreamSpec spec;
        UpstreamLife life = UpstreamLife::Live;
        bool configured = false;
        std::uint32_t running = 0;
        SlotClass slotClass;
        /// Natural logarithm of the cost; of use when samples is not 0.
        double logCost = 0;
        std::uint32_t samples = 0;
        std::uint32_t rack = 0;
        /// Where the upstream stands among the usable ones.
        bool usable = false;
    };

    explicit UpstreamTable(ZoneId ownZone);

    /// Replaces the upstreams. Fit masks of before are void after it.
    void configure(const std::vector<UpstreamSpec> &upstreams);

    std::optional<UpstreamIndex> find(const UpstreamId &id) const;
    const Upstream &at(UpstreamIndex index) const { return m_upstreams[index.value()]; }
    /// Number of indexes in use or free; all are below it.
    std::size_t indexCount() const { return m_upstreams.size(); }

    /// False if nothing changed.
    bool setLife(UpstreamIndex index, UpstreamLife life);

    /// Shapes of configured upstreams that can run the task; 0 if none can.
    FitMask fitOf(const Resources &needs) const;
    /// Whether an upstream that may get work has one of these shapes.
    bool canRun(FitMask fit) const;
    /// As above, but counts ejected upstreams, which come back. Visits all upstreams.
    bool mayEverRun(FitMask fit) const;
    bool empty() const { return m_configured == 0; }

    /// Cost factor that placement reckons with.
    double cost(UpstreamIndex index) const;
    /// Slots of upstreams that may get work; those of other zones only if the own has none.
    double usableSlots() const;
    /// Mean cost over these slots.
    double meanCost() const;

    /// Cost of the fastest speed class with a slot that is free or in use.
    double fastestCost() const;

    /// Takes a slot for a task. Precondition: the upstream has a free slot.
    SlotLease start(UpstreamIndex index, Duration estimate, TimePoint now);
    /// Gives the slot back. The upstream may be gone afterwards.
    void end(const SlotLease &lease);
    /// Learns the speed from a completed task. No effect for an estimate of 0.
    void learn(UpstreamIndex index, Duration estimate, Duration measured);

    /// Counts a failed or completed task of the job for the upstream's health.
    UpstreamHealth::Change failed(UpstreamIndex index, JobHandle job, TimePoint now);
    UpstreamHealth::Change succeeded(UpstreamIndex index, JobHandle job);
    void endedWithoutVerdict(UpstreamIndex index);

    /// Makes upstreams available for a probe whose pause is over.
    void release(TimePoint now);
    std::optional<TimePoint> nextRelease() const { return m_health.nextRelease(); }
    /// Ejected upstreams that wait for one task.
    const std::set<UpstreamIndex> &probesDue() const { return m_probesDue; }

    /// Whether the upstream has a free slot for tasks that are no probes.
    bool isFree(UpstreamIndex index) const;
    const SlotIndex &slots() const { return m_slots; }
    std::uint32_t rackCount() const { return static_cast<std::uint32_t>(m_racks.size()); }
    HealthState health(UpstreamIndex index) const { return m_health.state(index); }

private:
    struct ZoneSpeed
    {
        double logCostSum = 0;
        std::uint32_t learned = 0;
        std::uint32_t upstreams = 0;
        std::uint32_t ejected = 0;
    };

    UpstreamIndex addOrFind(const UpstreamId &id);
    void rebuildShapes();
    /// Files the upstream under its present speed, slots, life and health.
    void refile(UpstreamIndex index);
    void forgetSpeed(Upstream &upstream);
    void remove(UpstreamIndex index);
    bool mayGetWork(UpstreamIndex index) const;

    ZoneId m_ownZone;
    std::vector<Upstream> m_upstreams;
    std::vector<UpstreamIndex> m_unused;
    std::unordered_map<UpstreamId, UpstreamIndex> m_indexes;
    std::unordered_map<RackId, std::uint32_t> m_racks;
    std::map<ZoneId, ZoneSpeed> m_zones;
    std::vector<Resources> m_shapes;
    /// Upstreams of each shape that may get work.
    std::vector<std::uint32_t> m_usableOfShape;
    std::size_t m_configured = 0;
    /// Usable slots, and their sum divided by their cost, of the own and of other zones.
    std::array<double, 2> m_usableSlots{};
    std::array<double, 2> m_capacity{};
    std::vector<double> m_countedCapacity;
    SlotIndex m_slots;
    UpstreamHealth m_health;
    std::set<UpstreamIndex> m_probesDue;
};

} // namespace rattandock::core
