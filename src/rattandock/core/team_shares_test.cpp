#include "rattandock/core/team_shares.hpp"

#include <boost/test/unit_test.hpp>

using namespace rattandock;
using namespace rattandock::core;
using namespace std::chrono_literals;

namespace {

TeamSpec team(const char *id, std::uint32_t weight, std::uint32_t quota = 0)
{
    return {TeamId{id}, weight, quota};
}

/// Returns the team that gets the next slot.
TeamIndex next(const TeamShares &shares)
{
    return (shares.teamsBelowQuota().empty() ? shares.teamsAtQuota() : shares.teamsBelowQuota())
            .begin()
            ->second;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TeamSharesTest)

// Guards against starts that are not in proportion to the weights of the teams.
BOOST_AUTO_TEST_CASE(startsFollowTheWeights)
{
    TeamShares shares;
    shares.configure({team("a", 3), team("b", 1)});
    const TeamIndex a = shares.indexOf(TeamId{"a"});
    const TeamIndex b = shares.indexOf(TeamId{"b"});
    shares.setWaiting(a, true);
    shares.setWaiting(b, true);
    int startsOfA = 0;
    for (int n = 0; n < 400; ++n) {
        const TeamIndex it = next(shares);
        startsOfA += it == a ? 1 : 0;
        shares.recordStart(it, 100ms);
    }
    BOOST_TEST(startsOfA == 300);
}

// Guards against a team that gets more slot time by declaring estimates that are too low.
BOOST_AUTO_TEST_CASE(lowEstimatesAreCorrectedByMeasuredTime)
{
    TeamShares shares;
    const TeamIndex honest = shares.indexOf(TeamId{"honest"});
    const TeamIndex low = shares.indexOf(TeamId{"low"});
    shares.setWaiting(honest, true);
    shares.setWaiting(low, true);
    int startsOfLow = 0;
    for (int n = 0; n < 300; ++n) {
        const TeamIndex it = next(shares);
        const Duration expected = it == low ? 50ms : 100ms;
        startsOfLow += it == low ? 1 : 0;
        shares.recordStart(it, expected);
        shares.recordEnd(it, expected, 100ms);
    }
    BOOST_TEST(startsOfLow == 150);
}

// Guards against a team that accumulates credit while it is idle.
BOOST_AUTO_TEST_CASE(idleTimeGivesNoCredit)
{
    TeamShares shares;
    const TeamIndex busy = shares.indexOf(TeamId{"busy"});
    const TeamIndex idle = shares.indexOf(TeamId{"idle"});
    shares.setWaiting(busy, true);
    for (int n = 0; n < 100; ++n) {
        shares.recordStart(busy, 100ms);
    }
    shares.setWaiting(idle, true);
    int startsOfIdle = 0;
    for (int n = 0; n < 20; ++n) {
        const TeamIndex it = next(shares);
        startsOfIdle += it == idle ? 1 : 0;
        shares.recordStart(it, 100ms);
    }
    BOOST_TEST(startsOfIdle <= 11);
    BOOST_TEST(startsOfIdle >= 9);
}

// Guards against serving a team above its quota before one below, and against unused slots that are
// not lent to a team above its quota or not returned when another team waits.
BOOST_AUTO_TEST_CASE(quotaLimitsATeamOnlyWhileOtherTeamsWait)
{
    TeamShares shares;
    shares.configure({team("small", 1, 2), team("other", 1)});
    const TeamIndex small = shares.indexOf(TeamId{"small"});
    const TeamIndex other = shares.indexOf(TeamId{"other"});
    shares.setWaiting(small, true);
    for (int n = 0; n < 5; ++n) {
        BOOST_TEST(next(shares) == small);
        shares.recordStart(small, 1ms);
    }
    shares.setWaiting(other, true);
    for (int n = 0; n < 5; ++n) {
        BOOST_TEST(next(shares) == other);
        shares.recordStart(other, 1000ms);
    }
    for (int n = 0; n < 4; ++n) {
        BOOST_TEST(next(shares) == other);
        shares.recordEnd(small, 1ms, 1ms);
    }
    BOOST_TEST(next(shares) == small);
}

BOOST_AUTO_TEST_SUITE_END()
