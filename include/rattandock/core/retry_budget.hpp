#pragma once

#include <random>

#include "rattandock/base/time.hpp"

namespace rattandock::core {

/// Re-sends of provably unstarted tasks: each first start earns a share of one re-send, so that
/// upstreams which refuse everything cause a bounded number of extra messages.
/// Thread safety: none.
class RetryBudget
{
public:
    /// share: re-sends per first start. backoff: mean delay of a task's first re-send.
    RetryBudget(double share, Duration backoff, std::uint64_t seed);

    void taskStarted();

    /// Takes one re-send; false if the budget is spent.
    bool spend();

    /// Delay of the task's nth re-send, n from 0: doubles each time, with jitter of half its size.
    Duration backoff(std::uint32_t n);

private:
    double m_share;
    Duration m_backoff;
    double m_tokens;
    std::mt19937_64 m_random;
};

} // namespace rattandock::core
