#pragma once

#include <random>

#include "rattandock/base/time.hpp"

namespace rattandock::core {

/// Token bucket that limits re-sends of tasks that were not started. Each first start adds a
/// fraction of a token and each re-send takes one token, so that upstreams which refuse every task
/// cause a bounded number of extra messages.
/// Thread safety: none.
class RetryBudget
{
public:
    /// `share` is the number of re-sends allowed per first start; `backoff` is the mean delay of
    /// the first re-send of a task.
    RetryBudget(double share, Duration backoff, std::uint64_t seed);

    /// Adds `share` tokens. To be called when a task is started for the first time.
    void recordFirstStart();

    /// Takes the token for one re-send. Returns false if the budget is used up.
    bool tryAcquire();

    /// Returns the delay of re-send `n` of a task, counted from 0. The mean doubles with each
    /// re-send up to a limit; the jitter is uniform within half of the mean to either side.
    Duration backoff(std::uint32_t n);

private:
    double m_share;
    Duration m_backoff;
    double m_tokens;
    std::mt19937_64 m_random;
};

} // namespace rattandock::core
