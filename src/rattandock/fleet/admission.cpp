#include "rattandock/fleet/admission.hpp"

#include <algorithm>

namespace rattandock::fleet {

namespace {

/// Part of the cores that tasks of about two fifths of an upstream can use.
constexpr double usablePart = 0.85;
/// A job may be this much beyond its objective by the prediction, which is rough.
constexpr double objectiveSlack = 1.5;
/// Wait for the first upstreams after a start.
constexpr Duration startingWait = std::chrono::milliseconds{500};
/// Bounds of the advice when to return.
constexpr Duration minRetryAfter = std::chrono::milliseconds{200};
constexpr Duration maxRetryAfter = std::chrono::seconds{5};

} // namespace

std::optional<Duration> refusalRetryAfter(const AdmissionView &view)
{
    if (view.usableCpu == 0) {
        const bool canWait = view.isStarting && view.longest + startingWait <= view.untilDeadline;
        return canWait ? std::nullopt : std::optional<Duration>{std::chrono::seconds{1}};
    }
    if (view.longest > view.untilDeadline) {
        // No room helps: the caller does not wait long enough for the run itself.
        return maxRetryAfter;
    }
    if (view.fitsNow) {
        return std::nullopt;
    }
    const double rate = usablePart * static_cast<double>(view.usableCpu);
    const Duration wait{static_cast<Duration::rep>((view.ahead + view.work / 2) / rate)};
    const Duration slack{static_cast<Duration::rep>(
            objectiveSlack * static_cast<double>(view.untilObjective.count()))};
    const Duration limit = std::min(slack, view.untilDeadline);
    if (wait + view.longest <= limit) {
        return std::nullopt;
    }
    return std::clamp(wait + view.longest - limit, minRetryAfter, maxRetryAfter);
}

} // namespace rattandock::fleet
