#pragma once

#include <array>
#include <cstdint>
#include <set>
#include <utility>
#include <vector>

#include "rattandock/base/ids.hpp"
#include "rattandock/base/time.hpp"

namespace rattandock::core {

/// Index of an upstream in its UpstreamTable.
using UpstreamIndex = StrongValue<struct UpstreamIndexTag, std::uint32_t>;

/// Whether an upstream is in this VM's own availability zone or in another one.
enum class ZoneSide : std::uint8_t { Own, Other };

/// Number of speed classes. The cost factors of adjacent classes differ by the fourth root of 2;
/// class 0 is the fastest.
inline constexpr std::uint8_t speedClassCount = 32;

/// Returns the speed class of a cost factor, which is the measured run time divided by the
/// estimate.
std::uint8_t speedClassOf(double cost);
/// Returns the cost factor in the middle of a class, on a logarithmic scale.
double costOf(std::uint8_t speedClass);

/// The properties of an upstream that placement compares.
struct SlotClass
{
    ZoneSide side{};
    std::uint8_t shape = 0;
    std::uint8_t speed = 0;

    friend bool operator==(const SlotClass &, const SlotClass &) = default;
};

/// Upstreams with a free slot and expected end times of busy slots, grouped by class, so that a
/// placement decision examines classes instead of all upstreams. Thread safety: none.
class SlotIndex
{
public:
    using BusySlots = std::multiset<std::pair<TimePoint, UpstreamIndex>>;

    /// Removes all entries and sets the number of shapes, which is 1 to 64.
    void reset(std::uint8_t shapes);

    /// Precondition: the upstream has no entry.
    void addFree(UpstreamIndex upstream, SlotClass slotClass);
    /// No effect if the upstream has no entry.
    void removeFree(UpstreamIndex upstream);

    void addBusy(UpstreamIndex upstream, SlotClass slotClass, TimePoint expectedEnd);
    void removeBusy(UpstreamIndex upstream, SlotClass slotClass, TimePoint expectedEnd);

    const std::vector<UpstreamIndex> &free(SlotClass slotClass) const;
    const BusySlots &busy(SlotClass slotClass) const;

    /// Bit mask of the speed classes that have a free slot; bit n stands for class n.
    std::uint32_t freeSpeeds(ZoneSide side, std::uint8_t shape) const;
    std::uint32_t busySpeeds(ZoneSide side, std::uint8_t shape) const;

    std::size_t freeCount() const { return m_freeCount; }
    std::uint8_t shapes() const { return m_shapes; }

private:
    struct Position
    {
        SlotClass slotClass;
        std::uint32_t position = 0;
        bool present = false;
    };

    std::size_t classIndex(SlotClass slotClass) const;
    std::size_t rowIndex(ZoneSide side, std::uint8_t shape) const;

    std::uint8_t m_shapes = 1;
    std::size_t m_freeCount = 0;
    std::vector<std::vector<UpstreamIndex>> m_free;
    std::vector<BusySlots> m_busy;
    std::vector<std::uint32_t> m_freeSpeeds;
    std::vector<std::uint32_t> m_busySpeeds;
    std::vector<Position> m_positions;
};

} // namespace rattandock::core
