#include "rattandock/core/slot_index.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace rattandock::core {

namespace {

constexpr double classesPerOctave = 4.0;
/// Cost factors from 1/16 to 13 have a class of their own.
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
    assert(!position.filed);
    auto &list = m_free[cell(slotClass)];
    position = {slotClass, static_cast<std::uint32_t>(list.size()), true};
    list.push_back(upstream);
    m_freeSpeeds[row(slotClass.side, slotClass.shape)] |= 1U << slotClass.speed;
    ++m_freeCount;
}

void SlotIndex::removeFree(UpstreamIndex upstream)
{
    if (m_positions.size() <= upstream.value() || !m_positions[upstream.value()].filed) {
        return;
    }
    Position &position = m_positions[upstream.value()];
    auto &list = m_free[cell(position.slotClass)];
    list[position.position] = list.back();
    m_positions[list.back().value()].position = position.position;
    list.pop_back();
    position.filed = false;
    if (list.empty()) {
        m_freeSpeeds[row(position.slotClass.side, position.slotClass.shape)] &=
                ~(1U << position.slotClass.speed);
    }
    --m_freeCount;
}

void SlotIndex::addBusy(UpstreamIndex upstream, SlotClass slotClass, TimePoint expectedEnd)
{
    m_busy[cell(slotClass)].emplace(expectedEnd, upstream);
    m_busySpeeds[row(slotClass.side, slotClass.shape)] |= 1U << slotClass.speed;
}

void SlotIndex::removeBusy(UpstreamIndex upstream, SlotClass slotClass, TimePoint expectedEnd)
{
    if (slotClass.shape >= m_shapes) {
        // Filed before the last reset.
        return;
    }
    BusySlots &slots = m_busy[cell(slotClass)];
    const auto it = slots.find({expectedEnd, upstream});
    if (it == slots.end()) {
        return;
    }
    slots.erase(it);
    if (slots.empty()) {
        m_busySpeeds[row(slotClass.side, slotClass.shape)] &= ~(1U << slotClass.speed);
    }
}

const std::vector<UpstreamIndex> &SlotIndex::free(SlotClass slotClass) const
{
    return m_free[cell(slotClass)];
}

const SlotIndex::BusySlots &SlotIndex::busy(SlotClass slotClass) const
{
    return m_busy[cell(slotClass)];
}

std::uint32_t SlotIndex::freeSpeeds(ZoneSide side, std::uint8_t shape) const
{
    return m_freeSpeeds[row(side, shape)];
}

std::uint32_t SlotIndex::busySpeeds(ZoneSide side, std::uint8_t shape) const
{
    return m_busySpeeds[row(side, shape)];
}

std::size_t SlotIndex::cell(SlotClass slotClass) const
{
    return row(slotClass.side, slotClass.shape) * speedClassCount + slotClass.speed;
}

std::size_t SlotIndex::row(ZoneSide side, std::uint8_t shape) const
{
    return (side == ZoneSide::Own ? 0U : std::size_t{m_shapes}) + shape;
}

} // namespace rattandock::core
