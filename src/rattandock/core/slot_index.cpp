#include "rattandock/core/slot_index.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace rattandock::core {

namespace {

/// Speed classes per doubling of the cost factor.
constexpr double classesPerOctave = 4.0;
/// The fastest class stands for a cost factor of 1/16. With 32 classes the slowest one stands for
/// about 13; cost factors outside this range are put into the nearest class.
constexpr double octavesBelowOne = 4.0;

} // namespace

std::uint8_t speedClassOf(double cost)
{
    const double n = std::round((std::log2(cost) + octavesBelowOne) * classesPerOctave);
    return static_cast<std::uint8_t>(std::clamp(n, 0.0, speedClassCount - 1.0));
}

double costOf(std::uint8_t speedClass)
{
    static const auto costs = [] {
        std::array<double, speedClassCount> made{};
        for (std::size_t n = 0; n < made.size(); ++n) {
            made.at(n) = std::exp2(static_cast<double>(n) / classesPerOctave - octavesBelowOne);
        }
        return made;
    }();
    return costs.at(speedClass);
}

void SlotIndex::reset(std::uint8_t shapes)
{
    m_shapes = shapes;
    m_freeCount = 0;
    const std::size_t rows = std::size_t{2} * shapes;
    m_free.assign(rows * speedClassCount, {});
    m_busy.assign(rows * speedClassCount, {});
    m_freeSpeeds.assign(rows, 0);
    m_busySpeeds.assign(rows, 0);
    m_positions.clear();
}

void SlotIndex::addFree(UpstreamIndex upstream, SlotClass slotClass)
{
    if (m_positions.size() <= upstream.value()) {
        m_positions.resize(upstream.value() + 1);
    }
    Position &position = m_positions[upstream.value()];
    assert(!position.present);
    auto &list = m_free[classIndex(slotClass)];
    position = {slotClass, static_cast<std::uint32_t>(list.size()), true};
    list.push_back(upstream);
    m_freeSpeeds[rowIndex(slotClass.side, slotClass.shape)] |= 1U << slotClass.speed;
    ++m_freeCount;
}

void SlotIndex::removeFree(UpstreamIndex upstream)
{
    if (m_positions.size() <= upstream.value() || !m_positions[upstream.value()].present) {
        return;
    }
    Position &position = m_positions[upstream.value()];
    auto &list = m_free[classIndex(position.slotClass)];
    list[position.position] = list.back();
    m_positions[list.back().value()].position = position.position;
    list.pop_back();
    position.present = false;
    if (list.empty()) {
        m_freeSpeeds[rowIndex(position.slotClass.side, position.slotClass.shape)] &=
                ~(1U << position.slotClass.speed);
    }
    --m_freeCount;
}

void SlotIndex::addBusy(UpstreamIndex upstream, SlotClass slotClass, TimePoint expectedEnd)
{
    m_busy[classIndex(slotClass)].emplace(expectedEnd, upstream);
    m_busySpeeds[rowIndex(slotClass.side, slotClass.shape)] |= 1U << slotClass.speed;
}

void SlotIndex::removeBusy(UpstreamIndex upstream, SlotClass slotClass, TimePoint expectedEnd)
{
    if (slotClass.shape >= m_shapes) {
        // The entry was added before the last reset, which has removed it.
        return;
    }
    BusySlots &slots = m_busy[classIndex(slotClass)];
    const auto it = slots.find({expectedEnd, upstream});
    if (it == slots.end()) {
        return;
    }
    slots.erase(it);
    if (slots.empty()) {
        m_busySpeeds[rowIndex(slotClass.side, slotClass.shape)] &= ~(1U << slotClass.speed);
    }
}

const std::vector<UpstreamIndex> &SlotIndex::free(SlotClass slotClass) const
{
    return m_free[classIndex(slotClass)];
}

const SlotIndex::BusySlots &SlotIndex::busy(SlotClass slotClass) const
{
    return m_busy[classIndex(slotClass)];
}

std::uint32_t SlotIndex::freeSpeeds(ZoneSide side, std::uint8_t shape) const
{
    return m_freeSpeeds[rowIndex(side, shape)];
}

std::uint32_t SlotIndex::busySpeeds(ZoneSide side, std::uint8_t shape) const
{
    return m_busySpeeds[rowIndex(side, shape)];
}

std::size_t SlotIndex::classIndex(SlotClass slotClass) const
{
    return rowIndex(slotClass.side, slotClass.shape) * speedClassCount + slotClass.speed;
}

std::size_t SlotIndex::rowIndex(ZoneSide side, std::uint8_t shape) const
{
    return (side == ZoneSide::Own ? 0U : std::size_t{m_shapes}) + shape;
}

} // namespace rattandock::core
