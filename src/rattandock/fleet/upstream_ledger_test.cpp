#include "rattandock/fleet/upstream_ledger.hpp"

#include <boost/test/unit_test.hpp>

using namespace rattandock;
using namespace rattandock::fleet;

namespace {

const Resources taskNeed{MilliCores{27'000}, Megabytes{64}, Accelerators{0}};

struct Fixture
{
    Fixture()
    {
        ledger.step(now, out);
        answerLook({});
    }

    static UpstreamEntry entry()
    {
        return {UpstreamId{"u"},
                ServiceId{"s"},
                ZoneId{"z"},
                "127.0.0.1:1",
                false,
                {MilliCores{64'000}, Megabytes{131'072}, Accelerators{0}},
                {"a"}};
    }
    template <typename T>
    std::vector<T> all() const
    {
        std::vector<T> found;
        for (const LedgerOutput &it : out) {
            if (const auto *const one = std::get_if<T>(&it)) {
                found.push_back(*one);
            }
        }
        return found;
    }
    LookOrder lastLook() const { return all<LookOrder>().back(); }
    void answerLook(RunReport report)
    {
        report.clock = UpstreamTime{now.time_since_epoch() + 1s};
        report.life = life;
        const LookNumber number = lastLook().number;
        now += 1ms;
        ledger.lookAnswered(number, report, now, out);
    }
    void failLook(OrderResult result = OrderResult::NoAnswer)
    {
        const LookNumber number = lastLook().number;
        out.clear();
        ledger.lookFailed(number, result, now, out);
    }
    RunName name(std::uint32_t task) const { return {"job", 0, 0, task}; }
    void start(std::uint32_t task)
    {
        ledger.startSent({JobNumber{1}, TaskIndex{task}}, name(task), RunNumber{1}, taskNeed, now);
    }
    void startAnswered(std::uint32_t task, OrderResult result)
    {
        ledger.startAnswered(name(task), RunNumber{1}, result, std::nullopt, now, out);
    }

    TimePoint now{10s};
    UpstreamLifeStart life{7};
    LedgerOutputs out;
    UpstreamLedger ledger{entry(), 3, {}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(UpstreamLedgerTest, Fixture)

// Guards against orders to an upstream whose clock and runs are not known yet.
BOOST_AUTO_TEST_CASE(takesOrdersOnlyAfterAReport)
{
    const UpstreamLedger fresh{entry(), 1, {}};
    BOOST_TEST(!fresh.takesOrders());
    BOOST_TEST(ledger.takesOrders());
}

// Guards against a start over the room while an order without an answer may still be carried out.
BOOST_AUTO_TEST_CASE(keepsTheRoomOfAnUnansweredStart)
{
    start(0);
    start(1);
    BOOST_TEST(ledger.free().cpu.value() == 10'000);
    const FencingToken before = ledger.token();
    startAnswered(0, OrderResult::NoAnswer);
    BOOST_TEST(ledger.free().cpu.value() == 10'000);
    BOOST_TEST((before < ledger.token()));
}

// Guards against repeating a task whose start was carried out late: it must be fenced first.
BOOST_AUTO_TEST_CASE(repeatsAnUnansweredStartOnlyAfterALookUnderAHigherToken)
{
    start(0);
    startAnswered(0, OrderResult::Done);
    ledger.step(now, out);
    start(1);
    startAnswered(1, OrderResult::NoAnswer);
    // This look was sent before the token was raised.
    out.erase(out.begin(), out.end() - 1);
    answerLook({{}, {}, {{name(0), RunNumber{1}}}, {}});
    BOOST_TEST(all<RunNeverStarted>().empty());
    BOOST_TEST((lastLook().token == ledger.token()));
    answerLook({{}, {}, {{name(0), RunNumber{1}}}, {}});
    BOOST_REQUIRE(all<RunNeverStarted>().size() == 1);
    BOOST_TEST(all<RunNeverStarted>()[0].task.task.value() == 1);
    BOOST_TEST(ledger.free().cpu.value() == 37'000);
}

// Guards against a run that began although its answer was lost being taken for not started.
BOOST_AUTO_TEST_CASE(findsAnUnansweredStartInTheReport)
{
    start(0);
    startAnswered(0, OrderResult::NoAnswer);
    ledger.step(now, out);
    answerLook({{}, {}, {{name(0), RunNumber{1}}}, {}});
    BOOST_TEST(all<RunNeverStarted>().empty());
    BOOST_TEST(ledger.runCount() == 1);
    answerLook({{}, {}, {}, {{EndNumber{1}, name(0), RunNumber{1}, RunEndKind::Done}}});
    BOOST_REQUIRE(all<RunOver>().size() == 1);
    BOOST_TEST((all<RunOver>()[0].how == RunEndKind::Done));
    BOOST_TEST(lastLook().acknowledged.value() == 1);
}

// Guards against starting a task elsewhere while its lease at a silent upstream still runs.
BOOST_AUTO_TEST_CASE(endsRunsOfASilentUpstreamOnlyAfterTheLease)
{
    start(0);
    startAnswered(0, OrderResult::Done);
    ledger.step(now, out);
    const TimePoint lookSent = now;
    BOOST_TEST(lastLook().leaseUntil.has_value());
    now += 400ms;
    failLook();
    BOOST_TEST(!ledger.takesOrders());
    now += 50ms;
    ledger.step(now, out);
    // A lease that is renewed without an answer would never be known to have run out.
    BOOST_TEST(!lastLook().leaseUntil.has_value());
    now = lookSent + 600ms;
    ledger.step(now, out);
    BOOST_TEST(all<RunOver>().empty());
    now = lookSent + 640ms;
    ledger.step(now, out);
    BOOST_REQUIRE(all<RunOver>().size() == 1);
    BOOST_TEST((all<RunOver>()[0].how == RunEndKind::Lapsed));
}

// Guards against taking runs of a former keeper for free room, or leaving them running.
BOOST_AUTO_TEST_CASE(stopsRunsThatItDidNotStart)
{
    now += 600ms;
    ledger.step(now, out);
    answerLook({{}, {}, {{name(5), RunNumber{2}}}, {}});
    BOOST_REQUIRE(all<StopOrder>().size() == 1);
    BOOST_TEST((all<StopOrder>()[0].name == name(5)));
    BOOST_TEST(!ledger.takesOrders());
    answerLook({{}, {}, {}, {{EndNumber{1}, name(5), RunNumber{2}, RunEndKind::Stopped}}});
    BOOST_TEST(ledger.takesOrders());
}

// Guards against going on with an upstream that another VM keeps now.
BOOST_AUTO_TEST_CASE(givesUpWhenAnotherKeeperHasAHigherToken)
{
    start(0);
    startAnswered(0, OrderResult::Fenced);
    BOOST_TEST(all<UpstreamLost>().size() == 1);
}

// Guards against losing an upstream because an own, older order was overtaken by a raised token.
BOOST_AUTO_TEST_CASE(takesAFencedOrderOfItsOwnForNotStarted)
{
    start(0);
    start(1);
    startAnswered(0, OrderResult::NoAnswer);
    startAnswered(1, OrderResult::Fenced);
    BOOST_TEST(all<UpstreamLost>().empty());
    BOOST_TEST(all<RunNeverStarted>().size() == 1);
}

// Guards against a process that started anew under the same id being taken for the former one.
BOOST_AUTO_TEST_CASE(endsAllRunsOfAFormerLife)
{
    start(0);
    startAnswered(0, OrderResult::Done);
    ledger.step(now, out);
    const FencingToken before = ledger.token();
    life = UpstreamLifeStart{8};
    answerLook({});
    BOOST_REQUIRE(all<RunOver>().size() == 1);
    BOOST_TEST((all<RunOver>()[0].how == RunEndKind::Lapsed));
    BOOST_TEST((before < ledger.token()));
    BOOST_TEST(lastLook().acknowledged.value() == 0);
}

// Guards against a stop that got lost leaving a task running for a caller that has gone.
BOOST_AUTO_TEST_CASE(repeatsAStopThatDidNotTakeEffect)
{
    start(0);
    startAnswered(0, OrderResult::Done);
    ledger.stop({JobNumber{1}, TaskIndex{0}}, now, out);
    ledger.stopAnswered(name(0), RunNumber{1}, OrderResult::NoAnswer, now, out);
    BOOST_TEST(all<StopOrder>().size() == 1);
    ledger.step(now, out);
    now += 250ms;
    answerLook({{}, {}, {{name(0), RunNumber{1}}}, {}});
    BOOST_TEST(all<StopOrder>().size() == 2);
    // Its room is taken until the end is listed.
    BOOST_TEST(ledger.free().cpu.value() == 37'000);
}

// Guards against idle upstreams being looked at all the time, as each look is priced.
BOOST_AUTO_TEST_CASE(looksSeldomAtIdleUpstreams)
{
    out.clear();
    ledger.step(now, out);
    BOOST_TEST(all<LookOrder>().empty());
    BOOST_REQUIRE(ledger.nextTimer().has_value());
    BOOST_TEST((*ledger.nextTimer() - now > 400ms));
}

BOOST_AUTO_TEST_SUITE_END()
