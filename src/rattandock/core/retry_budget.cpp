#include "rattandock/core/retry_budget.hpp"

#include <algorithm>

namespace rattandock::core {

namespace {

/// Allows a daemon that has just started to re-send a few tasks.
constexpr double initialTokens = 10.0;
/// Bounds the burst of re-sends after a long time without re-sends.
constexpr double maxTokens = 100.0;
constexpr Duration maxBackoff = std::chrono::seconds{2};

} // namespace

RetryBudget::RetryBudget(double share, Duration backoff, std::uint64_t seed)
    : m_share(share)
    , m_backoff(backoff)
    , m_tokens(share > 0 ? initialTokens : 0)
    , m_random(seed)
{
}

void RetryBudget::recordFirstStart()
{
    m_tokens = std::min(maxTokens, m_tokens + m_share);
}

bool RetryBudget::tryAcquire()
{
    if (m_tokens < 1.0) {
        return false;
    }
    m_tokens -= 1.0;
    return true;
}

Duration RetryBudget::backoff(std::uint32_t n)
{
    const Duration whole = std::min<Duration>(m_backoff * (1LL << std::min(n, 20U)), maxBackoff);
    std::uniform_int_distribution<Duration::rep> jitter{whole.count() / 2, whole.count() * 3 / 2};
    return Duration{jitter(m_random)};
}

} // namespace rattandock::core
