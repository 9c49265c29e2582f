#include "rattandock/fleet/read_backoff.hpp"

#include <boost/test/unit_test.hpp>

using namespace rattandock;
using namespace rattandock::fleet;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(ReadBackoffTest)

// Guards against repeating full reads without a pause, and against pauses that grow without end.
BOOST_AUTO_TEST_CASE(growsFromTheFirstToTheLongestDelay)
{
    ReadBackoff backoff;
    TimePoint now{10s};
    BOOST_TEST((backoff.remaining(now) == 0ms));
    for (const Duration expected : {50ms, 100ms, 200ms, 400ms, 400ms, 400ms}) {
        backoff.recordFailure(now);
        BOOST_TEST((backoff.remaining(now) == expected));
        BOOST_TEST((backoff.remaining(now + expected / 2) == expected / 2));
        BOOST_TEST((backoff.remaining(now + expected) == 0ms));
        now += 5s;
        BOOST_TEST((backoff.remaining(now) == 0ms));
    }
}

// Guards against a long delay after a single failure, long after the failures before it.
BOOST_AUTO_TEST_CASE(beginsAgainAfterASuccess)
{
    ReadBackoff backoff;
    const TimePoint now{10s};
    backoff.recordFailure(now);
    backoff.recordFailure(now);
    backoff.recordSuccess();
    BOOST_TEST((backoff.remaining(now) == 0ms));
    backoff.recordFailure(now);
    BOOST_TEST((backoff.remaining(now) == 50ms));
}

BOOST_AUTO_TEST_SUITE_END()
