#pragma once

#include <algorithm>
#include <mutex>

#include "rattandock/base/time.hpp"

namespace rattandock::adapters::detail {

/// Lets no try through for a time after too many failures in a row, then one at a time.
/// Thread safety: all methods may be called from any thread.
class CircuitBreaker
{
public:
    CircuitBreaker(unsigned failuresToOpen, Duration openTime)
        : m_failuresToOpen(failuresToOpen)
        , m_openTime(openTime)
    {
    }

    /// False if the try must not be made. Each true needs one onEnd().
    bool allows(TimePoint now)
    {
        const std::lock_guard lock{m_mutex};
        if (m_failures < m_failuresToOpen) {
            return true;
        }
        if (now < m_openUntil) {
            return false;
        }
        // Until the probe ends, others wait one more period.
        m_openUntil = now + m_openTime;
        return true;
    }

    void onEnd(bool failed, TimePoint now)
    {
        const std::lock_guard lock{m_mutex};
        if (!failed) {
            m_failures = 0;
        } else if (++m_failures >= m_failuresToOpen) {
            m_openUntil = now + m_openTime;
        }
    }

private:
    const unsigned m_failuresToOpen;
    const Duration m_openTime;
    std::mutex m_mutex;
    unsigned m_failures = 0;
    TimePoint m_openUntil;
};

/// Retries that calls may make: each call earns a share, each retry costs one.
/// Thread safety: all methods may be called from any thread.
class RetryTokens
{
public:
    RetryTokens(double perCall, double most)
        : m_perCall(perCall)
        , m_most(most)
        , m_left(most)
    {
    }

    void earn()
    {
        const std::lock_guard lock{m_mutex};
        m_left = std::min(m_most, m_left + m_perCall);
    }

    bool spend()
    {
        const std::lock_guard lock{m_mutex};
        if (m_left < 1) {
            return false;
        }
        m_left -= 1;
        return true;
    }

private:
    const double m_perCall;
    const double m_most;
    std::mutex m_mutex;
    double m_left;
};

} // namespace rattandock::adapters::detail
