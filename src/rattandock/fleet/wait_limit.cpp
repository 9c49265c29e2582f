#include "rattandock/fleet/wait_limit.hpp"

#include <algorithm>

namespace rattandock::fleet {

namespace {

/// Share of the time until the deadline that a job may wait for its first start. It is below a
/// half, because deadlines are checked at intervals and the refusal is to arrive within the first
/// half.
constexpr double maxWaitShare = 0.47;

/// Tasks of short runs end this often on a busy VM, so a later start is possible without another
/// offer. A longer wait delays the start elsewhere: 100 ms cost a long task a tenth of its chance
/// to end in time, and it may be offered several times.
constexpr Duration maxOfferedWait = std::chrono::milliseconds{10};

} // namespace

TimePoint firstStartLimit(TimePoint arrived, TimePoint deadline)
{
    const auto whole = static_cast<double>((deadline - arrived).count());
    return arrived + Duration{static_cast<Duration::rep>(whole * maxWaitShare)};
}

TimePoint offeredStartLimit(TimePoint arrived, TimePoint lastReturn,
                            std::optional<Duration> startWithin)
{
    return std::min(arrived + startWithin.value_or(maxOfferedWait), lastReturn);
}

} // namespace rattandock::fleet
