#include "rattandock/fleet/fast_reserve.hpp"

#include <cmath>

namespace rattandock::fleet {

namespace {

/// The mean must be slower than the fastest upstreams by this factor. Estimates of speeds are off
/// by a few percent.
constexpr double clearlySlowerFactor = 1.12;
/// Share of the CPU of a zone that is kept free on its fast upstreams.
constexpr double reserveShare = 0.067;

} // namespace

std::optional<double> fastFactorLimit(double fastestFactor, double meanFactor)
{
    if (meanFactor < clearlySlowerFactor * fastestFactor) {
        return std::nullopt;
    }
    return std::sqrt(fastestFactor * meanFactor);
}

bool leavesFastReserve(const ZoneCpu &cpu, double need)
{
    return cpu.fastFree - need >= reserveShare * cpu.total;
}

} // namespace rattandock::fleet
