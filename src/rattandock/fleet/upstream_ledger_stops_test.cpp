// Stops of runs, and the lease of an upstream while runs are being stopped.
#include <boost/test/unit_test.hpp>

#include "upstream_ledger_fixture_test.hpp"

using namespace rattandock;
using namespace rattandock::fleet;
using namespace rattandock::fleet::test;

BOOST_FIXTURE_TEST_SUITE(UpstreamLedgerStopsTest, LedgerFixture)

// Guards against counting the room of a previous keeper's runs as free, or leaving them running.
BOOST_AUTO_TEST_CASE(stopsRunsThatItDidNotStart)
{
    now += 600ms;
    ledger.step(now, out);
    answerPoll({{}, {}, {{name(5), RunNumber{2}}}, {}});
    BOOST_REQUIRE(all<StopOrder>().size() == 1);
    BOOST_TEST((all<StopOrder>()[0].name == name(5)));
    BOOST_TEST(!ledger.takesOrders());
    answerPoll({{}, {}, {}, {{EndNumber{1}, name(5), RunNumber{2}, RunEndKind::Stopped}}});
    BOOST_TEST(ledger.takesOrders());
}

// Guards against a lost stop order that leaves a task running after its caller has disconnected.
BOOST_AUTO_TEST_CASE(repeatsAStopThatDidNotTakeEffect)
{
    start(0);
    startAnswered(0, OrderResult::Done);
    ledger.stop({JobNumber{1}, TaskIndex{0}}, now + 1s, now, out);
    ledger.stopAnswered(name(0), RunNumber{1}, OrderResult::NoAnswer, now, out);
    BOOST_TEST(all<StopOrder>().size() == 1);
    ledger.step(now, out);
    now += 250ms;
    answerPoll({{}, {}, {{name(0), RunNumber{1}}}, {}});
    BOOST_TEST(all<StopOrder>().size() == 2);
    // The room stays reserved until a report lists the end of the run.
    BOOST_TEST(ledger.freeRoom().cpu.value() == 37'000);
}

// Guards against a run that is renewed for as long as its stop orders are lost. Another VM may have
// started the task again meanwhile.
BOOST_AUTO_TEST_CASE(letsTheLeaseOfStoppedRunsExpire)
{
    start(0);
    start(1);
    startAnswered(0, OrderResult::Done);
    startAnswered(1, OrderResult::Done);
    const RunReport both{{}, {}, {{name(0), RunNumber{1}}, {name(1), RunNumber{1}}}, {}};
    now += 500ms;
    ledger.step(now, out);
    answerPoll(both);
    ledger.stop({JobNumber{1}, TaskIndex{0}}, now + 1s, now, out);
    now += 10ms;
    answerPoll(both);
    // The other run still needs its lease.
    BOOST_TEST(lastPoll().leaseUntil.has_value());
    ledger.stop({JobNumber{1}, TaskIndex{1}}, now + 1s, now, out);
    const TimePoint stopped = now;
    while (all<RunEnded>().empty() && now < stopped + 2s) {
        now += 10ms;
        answerPoll(both);
        BOOST_TEST(!lastPoll().leaseUntil.has_value());
    }
    BOOST_TEST(all<RunEnded>().size() == 2);
    BOOST_TEST((now - stopped <= 650ms));
}

// Guards against two runs of one task at a time: while the stop orders of a run failed, its lease
// was renewed for the other runs of the upstream, and the resubmitted job started the task.
BOOST_AUTO_TEST_CASE(endsTheLeaseInTimeForARunWhoseStopOrdersFail)
{
    const RunReport both{{}, {}, {{name(0), RunNumber{1}}, {name(1), RunNumber{1}}}, {}};
    start(0);
    start(1);
    startAnswered(0, OrderResult::Done);
    startAnswered(1, OrderResult::Done);
    ledger.step(now, out);
    answerPoll(both);
    const TimePoint limit = now + 1s;
    // The clock of the upstream is 1 s ahead and loses up to 2%.
    const UpstreamTime latestLease{limit.time_since_epoch() + 1s - LeaseTimes{}.expiryDelay()};
    ledger.stop({JobNumber{1}, TaskIndex{0}}, limit, now, out);
    while (all<RunEnded>().empty() && now < limit + 1s) {
        ledger.stopAnswered(name(0), RunNumber{1}, OrderResult::Unhealthy, now, out);
        now += 20ms;
        answerPoll(both);
        BOOST_TEST((lastPoll().leaseUntil.value_or(latestLease) <= latestLease));
        if (all<RunEnded>().empty()) {
            const Duration left = limit - LeaseTimes{}.expiryDelay() - now;
            BOOST_TEST(ledger.mayStart(now) == (left >= LeaseTimes{}.shortestStartLease));
        }
    }
    BOOST_TEST(all<RunEnded>().size() == 2);
    BOOST_TEST((now <= limit + 40ms));
    BOOST_TEST(all<StopOrder>().size() >= 5);
}

// Guards against runs of callers who stay that end with the lease after all runs to be stopped have
// ended.
BOOST_AUTO_TEST_CASE(renewsTheLeaseInFullOnceTheStoppedRunHasEnded)
{
    start(0);
    start(1);
    startAnswered(0, OrderResult::Done);
    startAnswered(1, OrderResult::Done);
    ledger.step(now, out);
    ledger.stop({JobNumber{1}, TaskIndex{0}}, now + 637ms, now, out);
    ledger.stopAnswered(name(0), RunNumber{1}, OrderResult::Done, now, out);
    now += 100ms;
    answerPoll({{},
                {},
                {{name(1), RunNumber{1}}},
                {{EndNumber{1}, name(0), RunNumber{1}, RunEndKind::Stopped}}});
    BOOST_TEST(ledger.mayStart(now));
    BOOST_REQUIRE(lastPoll().leaseUntil.has_value());
    BOOST_TEST((lastPoll().leaseUntil->value() >= now.time_since_epoch() + 1s + 590ms));
}

// Guards against a run without a limit that outlives its job: it was stopped as overdue before the
// caller left.
BOOST_AUTO_TEST_CASE(takesTheLimitOfAJobThatEndsWhileItsRunIsBeingStopped)
{
    start(0);
    start(1);
    startAnswered(0, OrderResult::Done);
    startAnswered(1, OrderResult::Done);
    ledger.step(now, out);
    ledger.stop({JobNumber{1}, TaskIndex{0}}, TimePoint::max(), now, out);
    BOOST_TEST((ledger.leaseUntil(now).value() >= now.time_since_epoch() + 1s + 590ms));
    ledger.stop({JobNumber{1}, TaskIndex{0}}, now + 400ms, now, out);
    BOOST_TEST(all<StopOrder>().size() == 1);
    BOOST_TEST((ledger.leaseUntil(now).value() < now.time_since_epoch() + 1s + 400ms));
}

BOOST_AUTO_TEST_SUITE_END()
