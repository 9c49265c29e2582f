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

/// An occupied task slot. `UpstreamTable::end` takes it to free the slot.
struct SlotLease
{
    UpstreamIndex upstream;
    SlotClass slotClass;
    TimePoint started;
    TimePoint expectedEnd;
};

/// Tracks slots, lifecycle state, measured speed and health of each upstream. Thread safety: none.
///
/// The cost of an upstream is the ratio of measured to estimated run time, averaged as an
/// exponentially weighted geometric mean: a task that takes three times its estimate and one that
/// takes a third of it cancel out. An upstream without samples has the mean cost of its
/// availability zone.
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
        /// Natural logarithm of the cost; valid if `samples` is not 0.
        double logCost = 0;
        std::uint32_t samples = 0;
        std::uint32_t rack = 0;
        /// True if the upstream is counted in `usableSlots()`.
        bool usable = false;
    };

    explicit UpstreamTable(ZoneId ownZone);

    /// Replaces the set of upstreams. Invalidates all fit masks computed before.
    /// An upstream that is no longer configured is removed once none of its slots is in use.
    void configure(const std::vector<UpstreamSpec> &upstreams);

    std::optional<UpstreamIndex> find(const UpstreamId &id) const;
    const Upstream &at(UpstreamIndex index) const { return m_upstreams[index.value()]; }
    /// Exclusive upper bound of all upstream indexes, including unused ones.
    std::size_t indexCount() const { return m_upstreams.size(); }

    /// Returns false if the upstream already had this lifecycle state.
    bool setLife(UpstreamIndex index, UpstreamLife life);

    /// Returns the upstream shapes with enough capacity for a task, or 0 if there is none.
    FitMask fitMaskFor(const Resources &needs) const;
    /// Returns whether a healthy, live upstream has one of these shapes.
    bool canRun(FitMask fit) const;
    /// Like `canRun`, but includes ejected upstreams, which can be restored. Linear in the number
    /// of upstreams.
    bool canRunIncludingEjected(FitMask fit) const;
    bool empty() const { return m_configured == 0; }

    /// Returns the factor by which placement multiplies run time estimates.
    double cost(UpstreamIndex index) const;
    /// Returns the slots, free or in use, of the healthy, live upstreams in this VM's availability
    /// zone, or of those in the other zones if its own zone has none.
    double usableSlots() const;
    /// Returns the harmonic mean of the cost over the slots that `usableSlots()` counts, or 1 if
    /// there are none.
    double meanCost() const;

    /// Returns the cost of the fastest speed class that has a free or occupied slot, or 1 if there
    /// is none.
    double fastestCost() const;

    /// Occupies a slot for a task. Precondition: the upstream has a free slot.
    SlotLease start(UpstreamIndex index, Duration estimate, TimePoint now);
    /// Frees the slot. Removes the upstream if it is no longer configured and this was its last
    /// occupied slot; its index is then invalid.
    void end(const SlotLease &lease);
    /// Updates the cost from the run time of a completed task. Ignored if either duration is not
    /// positive.
    void recordRunTime(UpstreamIndex index, Duration estimate, Duration measured);

    /// Records a failed or completed task of the job in the upstream's health.
    UpstreamHealth::Change failed(UpstreamIndex index, JobHandle job, TimePoint now);
    UpstreamHealth::Change succeeded(UpstreamIndex index, JobHandle job);
    /// Records an attempt whose outcome doesn't indicate the upstream's health.
    void recordInconclusive(UpstreamIndex index);

    /// Marks ejected upstreams whose pause has ended as due for a probe.
    void release(TimePoint now);
    std::optional<TimePoint> nextRelease() const { return m_health.nextPauseEnd(); }
    /// Ejected upstreams that can accept a single task as a probe.
    const std::set<UpstreamIndex> &probesDue() const { return m_probesDue; }

    /// Returns whether the upstream has a free slot for a task that is not a probe.
    bool isFree(UpstreamIndex index) const;
    const SlotIndex &slots() const { return m_slots; }
    std::uint32_t rackCount() const { return static_cast<std::uint32_t>(m_racks.size()); }
    HealthState health(UpstreamIndex index) const { return m_health.state(index); }

private:
    struct ZoneSpeed
    {
        double logCostSum = 0;
        std::uint32_t measuredUpstreams = 0;
        std::uint32_t upstreams = 0;
        std::uint32_t ejected = 0;
    };

    UpstreamIndex addOrFind(const UpstreamId &id);
    void rebuildShapes();
    /// Updates the slot index and the totals to the upstream's speed, slots, lifecycle state and
    /// health.
    void updateIndexes(UpstreamIndex index);
    void resetSpeed(Upstream &upstream);
    void remove(UpstreamIndex index);
    bool mayGetWork(UpstreamIndex index) const;

    ZoneId m_ownZone;
    std::vector<Upstream> m_upstreams;
    std::vector<UpstreamIndex> m_freeIndexes;
    std::unordered_map<UpstreamId, UpstreamIndex> m_indexes;
    std::unordered_map<RackId, std::uint32_t> m_racks;
    std::map<ZoneId, ZoneSpeed> m_zones;
    std::vector<Resources> m_shapes;
    /// Number of usable upstreams of each shape.
    std::vector<std::uint32_t> m_usableOfShape;
    std::size_t m_configured = 0;
    /// Usable slots, and the sum of slots divided by cost, indexed by `ZoneSide`.
    std::array<double, 2> m_usableSlots{};
    std::array<double, 2> m_capacity{};
    std::vector<double> m_countedCapacity;
    SlotIndex m_slots;
    UpstreamHealth m_health;
    std::set<UpstreamIndex> m_probesDue;
};

} // namespace rattandock::core
