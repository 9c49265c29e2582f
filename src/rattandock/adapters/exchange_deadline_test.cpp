#include "rattandock/adapters/exchange_deadline.hpp"

#include <boost/test/unit_test.hpp>

using namespace rattandock;
using namespace rattandock::adapters;
using namespace std::chrono_literals;

namespace {

const ExchangeDeadline::Time start{1000s};
constexpr ExchangeLimits limits{1000ms, 700ms, 5000ms};

} // namespace

BOOST_AUTO_TEST_SUITE(ExchangeDeadlineTest)

// Guards against a connection that went silent and is kept for longer than its wait and silence.
BOOST_AUTO_TEST_CASE(endsWithoutAnAnswer)
{
    const ExchangeDeadline deadline{limits, start};
    BOOST_TEST(!deadline.hasPassed(start + 1699ms));
    BOOST_TEST(deadline.hasPassed(start + 1700ms));
}

// Guards against giving up an answer that keeps arriving, and against a pause in the middle of it
// that is longer than the silence.
BOOST_AUTO_TEST_CASE(movesOnWithEachArrival)
{
    ExchangeDeadline deadline{limits, start};
    deadline.recordArrival(start + 1500ms);
    deadline.recordArrival(start + 2100ms);
    BOOST_TEST(!deadline.hasPassed(start + 2799ms));
    BOOST_TEST(deadline.hasPassed(start + 2800ms));
}

// Guards against a head that is sent at once and shortens the wait for changes.
BOOST_AUTO_TEST_CASE(keepsTheWaitAfterAnEarlyArrival)
{
    ExchangeDeadline deadline{limits, start};
    deadline.recordArrival(start + 5ms);
    BOOST_TEST(!deadline.hasPassed(start + 1699ms));
    BOOST_TEST(deadline.hasPassed(start + 1700ms));
}

// Guards against an answer of one byte every 500 ms, which never ends by silence.
BOOST_AUTO_TEST_CASE(endsAnAnswerThatTrickles)
{
    ExchangeDeadline deadline{limits, start};
    for (Duration at = 500ms; at < 5000ms; at += 500ms) {
        BOOST_TEST(!deadline.hasPassed(start + at));
        deadline.recordArrival(start + at);
    }
    BOOST_TEST(!deadline.hasPassed(start + 4999ms));
    BOOST_TEST(deadline.hasPassed(start + 5000ms));
}

// Guards against a wait above the limit for the whole exchange, which would end before its answer
// can come.
BOOST_AUTO_TEST_CASE(allowsAWaitAboveTheTotal)
{
    const ExchangeDeadline deadline{{10s, 700ms, 5s}, start};
    BOOST_TEST(!deadline.hasPassed(start + 10'699ms));
    BOOST_TEST(deadline.hasPassed(start + 10'700ms));
}

// Guards against calls of upstreams that are prolonged by what arrives: the lease of a run counts
// from the start of its call.
BOOST_AUTO_TEST_CASE(neverProlongsOneLimitForAll)
{
    ExchangeDeadline deadline{ExchangeLimits::ofWhole(250ms), start};
    deadline.recordArrival(start + 200ms);
    BOOST_TEST(!deadline.hasPassed(start + 249ms));
    BOOST_TEST(deadline.hasPassed(start + 250ms));
}

BOOST_AUTO_TEST_SUITE_END()
