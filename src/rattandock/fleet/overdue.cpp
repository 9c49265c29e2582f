#include "rattandock/fleet/overdue.hpp"

#include <algorithm>

namespace rattandock::fleet {

namespace {

/// A run that takes this factor of its expected time, and the extra, is overdue. Estimates spread
/// by 40%, so 1% of sound runs are beyond it.
constexpr double overdueFactor = 2.5;
constexpr Duration overdueExtra = std::chrono::milliseconds{60};
/// The limit grows by this factor with each stopped run of the job, as its estimate is doubtful,
/// and on an upstream that ends other runs meanwhile.
constexpr double doubtFactor = 2.0;
/// Stops that the limit grows with, at most: a factor of 16.
constexpr unsigned maxDoublings = 4;

} // namespace

OverdueVerdict judgeRun(const OverdueView &view)
{
    double factor = overdueFactor * (view.upstreamWorks ? doubtFactor : 1.0);
    for (unsigned n = 0; n < std::min(view.formerStops, maxDoublings); ++n) {
        factor *= doubtFactor;
    }
    const double limit = factor * static_cast<double>(view.expected.count())
                         + static_cast<double>(overdueExtra.count());
    if (static_cast<double>(view.elapsed.count()) < limit) {
        return OverdueVerdict::Wait;
    }
    return view.restart < view.untilDeadline ? OverdueVerdict::Restart : OverdueVerdict::Suspect;
}

} // namespace rattandock::fleet
