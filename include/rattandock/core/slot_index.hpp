#pragma once

#include <array>
#include <cstdint>
#include <set>
#include <utility>
#include <vector>

#include "rattandock/base/ids.hpp"
#include "rattandock/base/time.hpp"

namespace rattandock::core {

/// Address of an upstream in its UpstreamTable.
using UpstreamIndex = StrongValue<struct UpstreamIndexTag, std::uint32_t>;

enum class ZoneSide : std::uint8_t { Own, Other };

/// Speed classes are a quarter of a power of two wide; class 0 is the fastest.
inline constexpr std::uint8_t speedClassCount = 32;

/// The class of a cost factor (measured time over estimate).
std::uint8_t speedClassOf(double cost);
/// The cost factor in the middle of a class.
double costOf(std::uint8_t speedClass);

/// What placement needs to know of an upstream to choose it.
struct SlotClass
{
    ZoneSide side{};
    std::uint8_t shape = 0;
    std::uint8_t speed = 0;

    friend bool operator==(const SlotClass &, const SlotClass &) = default;
};

/// Upstreams with a free slot and expected ends of busy slots, by class, so that a decision looks
/// at classes and not at all upstreams. Thread safety: none.
class SlotIndex
{
public:
    using BusySlots = std::multiset<std::pair<TimePoint, UpstreamIndex>>;

    /// Drops all entries. Shape: shapes is 1 to 64.
    void reset(std::uint8_t shapes);

    /// Precondition: the upstream has no entry.
    void addFree(UpstreamIndex upstream, SlotClass slotClass);
    /// No effect if the upstream has no entry.
    void removeFree(UpstreamIndex upstream);

    void addBusy(UpstreamIndex upstream, SlotClass slotClass, TimePoint expectedEnd);
    void removeBusy(UpstreamIndex upstream, SlotClass slotClass, TimePoint expectedEnd);

    const std::vector<UpstreamIndex> &free(SlotClass slotClass) const;
    const BusySlots &busy(SlotClass slotClass) const;

    /// Speed classes with a free slot, bit n for class n.
    std::uint32_t freeSpeeds(ZoneSide side, std::uint8_t shape) const;
    std::uint32_t busySpeeds(ZoneSide side, std::uint8_t shape) const;

    std::size_t freeCount() const { return m_freeCount; }
    std::uint8_t shapes() const { return m_shapes; }

private:
    struct Position
    {
        SlotClass slotClass;
        std::uint32_t position = 0;
        bool filed = false;
    };

    std::size_t cell(SlotClass slotClass) const;
    std::size_t row(ZoneSide side, std::uint8_t shape) const;

    std::uint8_t m_shapes = 1;
    std::size_t m_freeCount = 0;
    std::vector<std::vector<UpstreamIndex>> m_free;
    std::vector<BusySlots> m_busy;
    std::vector<std::uint32_t> m_freeSpeeds;
    std::vector<std::uint32_t> m_busySpeeds;
    std::vector<Position> m_positions;
};

} // namespace rattandock::core
