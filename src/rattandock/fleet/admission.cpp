#include "rattandock/fleet/admission.hpp"

#include <algorithm>

namespace rattandock::fleet {

namespace {

/// Share of the CPU that can be used when each task needs about two fifths of an upstream. The rest
/// is lost to fragmentation.
constexpr double usableCpuShare = 0.85;
/// A job is admitted if its predicted time is at most this multiple of the time until its
/// objective, because the prediction is rough.
constexpr double objectiveSlack = 1.5;
/// Time allowed for the first upstreams to become available after this VM has started.
constexpr Duration startupWait = std::chrono::milliseconds{500};
/// Bounds of the retry-after time.
constexpr Duration minRetryAfter = std::chrono::milliseconds{200};
constexpr Duration maxRetryAfter = std::chrono::seconds{5};

} // namespace

std::optional<Duration> refusalRetryAfter(const AdmissionInputs &inputs)
{
    if (inputs.usableCpu == 0) {
        const bool canWait =
                inputs.isStarting && inputs.minRunTime + startupWait <= inputs.untilDeadline;
        return canWait ? std::nullopt : std::optional<Duration>{std::chrono::seconds{1}};
    }
    if (inputs.minRunTime > inputs.untilDeadline) {
        // The run itself takes longer than the caller waits, so free capacity does not help.
        return maxRetryAfter;
    }
    if (inputs.fitsNow) {
        return std::nullopt;
    }
    const double rate = usableCpuShare * static_cast<double>(inputs.usableCpu);
    const Duration wait{
            static_cast<Duration::rep>((inputs.queuedWorkAhead + inputs.jobWork / 2) / rate)};
    const Duration slack{static_cast<Duration::rep>(
            objectiveSlack * static_cast<double>(inputs.untilObjective.count()))};
    const Duration limit = std::min(slack, inputs.untilDeadline);
    if (wait + inputs.minRunTime <= limit) {
        return std::nullopt;
    }
    return std::clamp(wait + inputs.minRunTime - limit, minRetryAfter, maxRetryAfter);
}

} // namespace rattandock::fleet
