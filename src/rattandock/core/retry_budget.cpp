#include "rattandock/core/retry_budget.hpp"

#include <algorithm>

namespace rattandock::core {

namespace {

/// Lets a daemon that has just started re-send a few tasks.
constexpr double firstTokens = 10.0;
/// Bounds the burst of re-sends after a long time without any.
constexpr double maxTokens = 100.0;
constexpr Duration longestBackoff = std::chrono::seconds{2};

} // namespace

RetryBudget::RetryBudget(double share, Duration backoff, std::uint64_t seed)
    : m_share(share)
    , m_backoff(backoff)
    , m_tokens(share > 0 ? firstTokens : 0)
    , m_random(seed)
{
}

void RetryBudget::taskStarted()
{
    m_tokens = std::min(maxTokens, m_tokens + m_share);
}

bool RetryBudget::spend()
{
    if (m_tokens < 1.0) {
        return false;
    }
    m_tokens -= 1.0;
    return true;
}

Duration RetryBudget::backoff(std::uint32_t n)
{
    const Duration whole =
            std::min<Duration>(m_backoff * (1LL << std::min(n, 20U)), longestBackoff);
    std::uniform_int_distribution<Duration::rep> jitter{whole.count() / 2, whole.count() * 3 / 2};
    return Duration{jitter(m_random)};
}

} // namespace rattandock::core
