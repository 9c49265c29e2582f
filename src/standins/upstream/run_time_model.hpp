#pragma once

#include <cstdint>
#include <string_view>

#include "rattandock/base/time.hpp"

namespace rattandock::standins {

/// How long tasks really run, as a function of their estimate.
///
/// The draw depends on the seed and the task only, not on the order of requests, so that a run can
/// be repeated and an ideal response time can be computed from the same settings.
struct RunTimeModel
{
    /// Mean run time over estimate.
    double factor = 1.0;
    /// Largest relative deviation; draws are uniform in 1 - jitter to 1 + jitter.
    double jitter = 0.0;
    /// Share of tasks that run longer by stragglerFactor.
    double stragglerShare = 0.0;
    double stragglerFactor = 1.0;
    /// Run time of the slowest upstream over that of the fastest, which has factor 1.
    double speedSpread = 1.0;
    std::uint64_t seed = 1;
};

/// Factor of the upstream's run times, from 1 to speedSpread in geometric steps.
/// Precondition: index is below count.
double slownessOf(const RunTimeModel &model, std::size_t index, std::size_t count);

/// Run time of a task (`ID#INDEX`) on an upstream of slowness 1.
Duration runTimeOf(const RunTimeModel &model, std::string_view task, Duration estimate);

} // namespace rattandock::standins
