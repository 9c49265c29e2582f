#include "rattandock/fleet/fast_reserve.hpp"

#include <boost/test/unit_test.hpp>

using namespace rattandock::fleet;

BOOST_AUTO_TEST_SUITE(FastReserveTest)

// Guards against capacity that stays idle where all upstreams are equally fast.
BOOST_AUTO_TEST_CASE(reservesNothingWithoutFasterUpstreams)
{
    BOOST_TEST(!fastFactorLimit(1.0, 1.05));
    const auto limit = fastFactorLimit(0.8, 1.0);
    BOOST_REQUIRE(limit.has_value());
    BOOST_TEST((*limit > 0.8));
    BOOST_TEST((*limit < 1.0));
}

// Guards against short jobs that take the last room on fast upstreams.
BOOST_AUTO_TEST_CASE(keepsRoomOnFastUpstreamsFree)
{
    BOOST_TEST(leavesFastReserve({300'000, 1'000'000}, 16'000));
    BOOST_TEST(!leavesFastReserve({70'000, 1'000'000}, 16'000));
}

BOOST_AUTO_TEST_SUITE_END()
