#pragma once

#include <optional>

namespace rattandock::fleet {

/// Returns the highest factor of run time to estimate of the upstreams that count as fast, or
/// `std::nullopt` if the fastest ones are not clearly faster than the mean. Thread safety: any
/// thread.
std::optional<double> fastFactorLimit(double fastestFactor, double meanFactor);

/// CPU of one availability zone, in thousandths of a core.
struct ZoneCpu
{
    /// Free on fast upstreams.
    double fastFree = 0;
    /// Of all upstreams that accept tasks.
    double total = 0;
};

/// Returns true if a task of `need` thousandths of a core that runs as well on any upstream may
/// start on a fast one.
///
/// Load pattern: short jobs fill all upstreams in a burst, and a long job that arrives then ends in
/// time only on fast upstreams. A part of the zone's CPU is therefore kept free there. Short jobs
/// lose little by it, as long jobs are few. Thread safety: any thread.
bool leavesFastReserve(const ZoneCpu &cpu, double need);

} // namespace rattandock::fleet
