#pragma once

#include <algorithm>
#include <chrono>

#include "rattandock/base/time.hpp"

namespace rattandock::fleet {

/// Decides how long the full read of a table is delayed after failed reads of it.
///
/// Load pattern: a full read of a large table fails over a slow or saturated link, and each
/// repetition sends the first part of the answer over that link again. Thread safety: none.
class ReadBackoff
{
public:
    /// Records a read that failed at `now`. The delay doubles with each failure in a row.
    void recordFailure(TimePoint now)
    {
        m_delay = std::clamp(2 * m_delay, firstDelay, longestDelay);
        m_failedAt = now;
    }
    /// The next failure is followed by the first delay again.
    void recordSuccess() { m_delay = {}; }
    /// Returns the time until a full read may start; 0 if it may start at once.
    Duration remaining(TimePoint now) const
    {
        return std::max(m_failedAt + m_delay - now, Duration{});
    }

private:
    static constexpr Duration firstDelay = std::chrono::milliseconds{50};
    static constexpr Duration longestDelay = std::chrono::milliseconds{400};

    Duration m_delay{};
    TimePoint m_failedAt{};
};

} // namespace rattandock::fleet
