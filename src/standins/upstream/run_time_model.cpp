#include "standins/upstream/run_time_model.hpp"

#include <cmath>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace rattandock::standins {

namespace {

/// Uniform in 0 to 1 from the upper 53 bits, which a double holds exactly.
double uniform(std::uint64_t hash)
{
    return static_cast<double>(hash >> 11U) * 0x1.0p-53;
}

} // namespace

double slownessOf(const RunTimeModel &model, std::size_t index, std::size_t count)
{
    if (count < 2) {
        return 1.0;
    }
    return std::pow(model.speedSpread, static_cast<double>(index) / static_cast<double>(count - 1));
}

Duration runTimeOf(const RunTimeModel &model, std::string_view task, Duration estimate)
{
    const auto draw = [&](std::uint64_t purpose) {
        return uniform(XXH3_64bits_withSeed(task.data(), task.size(), model.seed * 2 + purpose));
    };
    double factor = model.factor * (1.0 + model.jitter * (2.0 * draw(0) - 1.0));
    if (draw(1) < model.stragglerShare) {
        factor *= model.stragglerFactor;
    }
    return Duration{std::llround(static_cast<double>(estimate.count()) * factor)};
}

} // namespace rattandock::standins
