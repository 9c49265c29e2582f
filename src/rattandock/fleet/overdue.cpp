#include "rattandock/fleet/overdue.hpp"

#include <algorithm>

namespace rattandock::fleet {

namespace {

/// A run is overdue after this multiple of its expected run time plus `overdueMargin`. Run times
/// vary by 40% around the estimates, so 1% of healthy runs exceed this limit.
constexpr double overdueFactor = 2.5;
constexpr Duration overdueMargin = std::chrono::milliseconds{60};
/// The limit is multiplied by this factor for each run of the job that was stopped as overdue,
/// since its estimate is probably too low, and once if the upstream has completed another run
/// meanwhile.
constexpr double limitGrowth = 2.0;
/// Number of stopped runs that are counted; limits the growth to a factor of 16.
constexpr unsigned maxDoublings = 4;

} // namespace

OverdueAction decideOverdueAction(const OverdueInputs &inputs)
{
    double factor = overdueFactor * (inputs.hasUpstreamSucceededSince ? limitGrowth : 1.0);
    for (unsigned n = 0; n < std::min(inputs.previousStops, maxDoublings); ++n) {
        factor *= limitGrowth;
    }
    const double limit = factor * static_cast<double>(inputs.expected.count())
                         + static_cast<double>(overdueMargin.count());
    if (static_cast<double>(inputs.elapsed.count()) < limit) {
        return OverdueAction::Wait;
    }
    return inputs.restartRunTime < inputs.untilDeadline ? OverdueAction::Restart
                                                        : OverdueAction::Suspect;
}

} // namespace rattandock::fleet
