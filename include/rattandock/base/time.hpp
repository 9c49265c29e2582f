#pragma once

#include <chrono>
#include <cstdint>

namespace rattandock {

/// Spans of time have microsecond resolution.
using Duration = std::chrono::microseconds;

/// The clock of the decision core. It has no now(): the driver passes the time with each event.
struct MonotonicClock
{
    using rep = Duration::rep;
    using period = Duration::period;
    using duration = Duration;
    using time_point = std::chrono::time_point<MonotonicClock>;
    static constexpr bool is_steady = true;
};

using TimePoint = MonotonicClock::time_point;

/// Whole milliseconds of a span, rounded down.
constexpr std::int64_t toMilliseconds(Duration span)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

} // namespace rattandock
