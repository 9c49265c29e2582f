#include "rattandock/fleet/wait_limit.hpp"

namespace rattandock::fleet {

namespace {

/// Share of the caller's time that a job may wait without a start. Below a half, so that the answer
/// arrives within the first half although deadlines are checked at intervals.
constexpr double waitingShare = 0.47;

/// About one interval of heartbeats: after it the offering VM knows better who has room.
constexpr Duration offerPatience = std::chrono::milliseconds{100};

} // namespace

TimePoint firstStartLimit(TimePoint arrived, TimePoint deadline)
{
    const auto whole = static_cast<double>((deadline - arrived).count());
    return arrived + Duration{static_cast<Duration::rep>(whole * waitingShare)};
}

TimePoint offeredStartLimit(TimePoint arrived)
{
    return arrived + offerPatience;
}

} // namespace rattandock::fleet
