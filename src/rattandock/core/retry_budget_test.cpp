#include "rattandock/core/retry_budget.hpp"

#include <boost/test/unit_test.hpp>

using namespace rattandock;
using namespace rattandock::core;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(RetryBudgetTest)

// Guards against more re-sends than the configured share of first starts.
BOOST_AUTO_TEST_CASE(resendsAreATenthOfStarts)
{
    RetryBudget budget{0.1, 10ms, 1};
    int resends = 0;
    for (int n = 0; n < 1000; ++n) {
        budget.recordFirstStart();
        while (budget.tryAcquire()) {
            ++resends;
        }
    }
    // A tenth of 1000 starts, and the 10 tokens that a new budget holds.
    BOOST_TEST(resends >= 109);
    BOOST_TEST(resends <= 110);
}

// Guards against an unbounded burst of re-sends after a long time without re-sends.
BOOST_AUTO_TEST_CASE(savedBudgetIsBounded)
{
    RetryBudget budget{0.1, 10ms, 1};
    for (int n = 0; n < 100'000; ++n) {
        budget.recordFirstStart();
    }
    int resends = 0;
    while (budget.tryAcquire()) {
        ++resends;
    }
    BOOST_TEST(resends == 100);
}

// Guards against re-sends without a delay, synchronized re-sends and unbounded delays.
BOOST_AUTO_TEST_CASE(backoffDoublesWithJitterUpToABound)
{
    RetryBudget budget{0.1, 10ms, 1};
    for (std::uint32_t n = 0; n < 40; ++n) {
        const Duration whole = n < 8 ? 10ms * (1 << n) : 2s;
        Duration least = Duration::max();
        Duration most{};
        for (int k = 0; k < 200; ++k) {
            const Duration delay = budget.backoff(n);
            least = std::min(least, delay);
            most = std::max(most, delay);
        }
        BOOST_TEST((least >= whole / 2));
        BOOST_TEST((most <= whole * 3 / 2));
        BOOST_TEST((most - least > whole / 2));
    }
}

BOOST_AUTO_TEST_SUITE_END()
