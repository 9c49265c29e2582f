#pragma once

#include <algorithm>
#include <chrono>

#include "rattandock/base/time.hpp"

namespace rattandock::adapters {

/// Time limits of one HTTP exchange.
struct ExchangeLimits
{
    /// The server may take this long before it begins to answer.
    Duration wait{};
    /// Longest time without a byte of the answer; before the first byte it counts from the end of
    /// the wait.
    Duration silence{};
    /// Limit for the whole exchange; never below the wait and the silence together.
    Duration total{};

    /// One limit for the whole exchange, whatever arrives.
    static constexpr ExchangeLimits ofWhole(Duration limit) { return {{}, limit, limit}; }
};

/// The time at which an exchange is given up. It moves on with each arrival, up to the limit for
/// the whole exchange, and never back: a server may send the head of its answer before its wait.
/// Thread safety: none.
class ExchangeDeadline
{
public:
    using Time = std::chrono::steady_clock::time_point;

    ExchangeDeadline() = default;
    ExchangeDeadline(const ExchangeLimits &limits, Time start)
        : m_silence(limits.silence)
        , m_silenceEnd(start + limits.wait + limits.silence)
        , m_end(start + std::max(limits.total, limits.wait + limits.silence))
    {
    }

    /// Records that a part of the answer arrived.
    void recordArrival(Time now) { m_silenceEnd = std::max(m_silenceEnd, now + m_silence); }
    bool hasPassed(Time now) const { return now >= std::min(m_silenceEnd, m_end); }

private:
    Duration m_silence{};
    Time m_silenceEnd;
    Time m_end;
};

} // namespace rattandock::adapters
