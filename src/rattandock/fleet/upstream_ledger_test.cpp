#include <boost/test/unit_test.hpp>

#include "upstream_ledger_fixture_test.hpp"

using namespace rattandock;
using namespace rattandock::fleet;
using namespace rattandock::fleet::test;

BOOST_FIXTURE_TEST_SUITE(UpstreamLedgerTest, LedgerFixture)

// Guards against orders to an upstream before its first report, when its clock and runs are
// unknown.
BOOST_AUTO_TEST_CASE(takesOrdersOnlyAfterAReport)
{
    const UpstreamLedger fresh{entry(), 1, {}};
    BOOST_TEST(!fresh.takesOrders());
    BOOST_TEST(ledger.takesOrders());
}

// Guards against exceeding the capacity of an upstream that may still execute a start order whose
// reply was lost.
BOOST_AUTO_TEST_CASE(keepsTheRoomOfAnUnansweredStart)
{
    start(0);
    start(1);
    BOOST_TEST(ledger.freeRoom().cpu.value() == 10'000);
    const FencingToken before = ledger.token();
    startAnswered(0, OrderResult::NoAnswer);
    BOOST_TEST(ledger.freeRoom().cpu.value() == 10'000);
    BOOST_TEST((before < ledger.token()));
}

// Guards against more tasks of a step on an upstream than the job allows: runs of another offer or
// attempt of the job, of the previous keeper, or without an answer were not counted for it.
BOOST_AUTO_TEST_CASE(countsTheRunsOfAStepWhoeverStartedThem)
{
    start(0);
    ledger.startSent({JobNumber{2}, TaskIndex{0}}, name(1), RunNumber{1}, taskNeed, now);
    startAnswered(1, OrderResult::NoAnswer);
    BOOST_TEST(ledger.runCountOfStep(name(2)) == 2);
    ledger.step(now, out);
    RunReport report;
    report.active = {{name(0), RunNumber{1}}, {name(1), RunNumber{1}}, {name(5), RunNumber{1}}};
    answerPoll(report);
    BOOST_TEST(ledger.runCountOfStep(name(2)) == 3);
    BOOST_TEST(ledger.runCountOfStep({"other", 0, 0, 0}) == 0);
    BOOST_TEST(ledger.runCountOfStep({"job", 1, 0, 0}) == 0);
    BOOST_TEST(ledger.runCountOfStep({"job", 0, 1, 0}) == 0);
}

// Guards against starts beyond the capacity of an upstream that shrinks while it runs tasks.
BOOST_AUTO_TEST_CASE(followsACapacityThatShrinksAndGrows)
{
    start(0);
    UpstreamEntry smaller = entry();
    smaller.capacity.cpu = MilliCores{20'000};
    ledger.update(smaller);
    BOOST_TEST(ledger.freeRoom().cpu.value() == 0);
    BOOST_TEST(!ledger.freeRoom().covers(taskNeed));
    smaller.capacity.cpu = MilliCores{50'000};
    ledger.update(smaller);
    BOOST_TEST(ledger.freeRoom().cpu.value() == 23'000);
    ledger.update(entry());
    BOOST_TEST(ledger.freeRoom().cpu.value() == 37'000);
}

// Guards against running a task twice: a start order without a reply may be executed late, so it
// must be fenced off before the task is started again.
BOOST_AUTO_TEST_CASE(repeatsAnUnansweredStartOnlyAfterAPollWithAHigherToken)
{
    start(0);
    startAnswered(0, OrderResult::Done);
    ledger.step(now, out);
    start(1);
    startAnswered(1, OrderResult::NoAnswer);
    // This poll was sent before the token was raised.
    out.erase(out.begin(), out.end() - 1);
    answerPoll({{}, {}, {{name(0), RunNumber{1}}}, {}});
    BOOST_TEST(all<RunNeverStarted>().empty());
    BOOST_TEST((lastPoll().token == ledger.token()));
    answerPoll({{}, {}, {{name(0), RunNumber{1}}}, {}});
    BOOST_REQUIRE(all<RunNeverStarted>().size() == 1);
    BOOST_TEST(all<RunNeverStarted>()[0].task.task.value() == 1);
    BOOST_TEST(ledger.freeRoom().cpu.value() == 37'000);
}

// Guards against reporting a run as not started when it has started and only the reply was lost.
BOOST_AUTO_TEST_CASE(findsAnUnansweredStartInTheReport)
{
    start(0);
    startAnswered(0, OrderResult::NoAnswer);
    ledger.step(now, out);
    answerPoll({{}, {}, {{name(0), RunNumber{1}}}, {}});
    BOOST_TEST(all<RunNeverStarted>().empty());
    BOOST_TEST(ledger.runCount() == 1);
    answerPoll({{}, {}, {}, {{EndNumber{1}, name(0), RunNumber{1}, RunEndKind::Done}}});
    BOOST_REQUIRE(all<RunEnded>().size() == 1);
    BOOST_TEST((all<RunEnded>()[0].kind == RunEndKind::Done));
    BOOST_TEST(lastPoll().acknowledged.value() == 1);
}

// Guards against starting a task elsewhere while its lease on an unresponsive upstream is still
// valid.
BOOST_AUTO_TEST_CASE(endsRunsOfASilentUpstreamOnlyAfterTheLease)
{
    start(0);
    startAnswered(0, OrderResult::Done);
    ledger.step(now, out);
    const TimePoint pollSent = now;
    BOOST_TEST(lastPoll().leaseUntil.has_value());
    now += 400ms;
    failPoll();
    BOOST_TEST(!ledger.takesOrders());
    now += 50ms;
    ledger.step(now, out);
    // If polls without a reply renewed the lease, the ledger could not determine when it expires.
    BOOST_TEST(!lastPoll().leaseUntil.has_value());
    now = pollSent + 600ms;
    ledger.step(now, out);
    BOOST_TEST(all<RunEnded>().empty());
    now = pollSent + 640ms;
    ledger.step(now, out);
    BOOST_REQUIRE(all<RunEnded>().size() == 1);
    BOOST_TEST((all<RunEnded>()[0].kind == RunEndKind::Lapsed));
}

// Guards against starting a task elsewhere while it still runs on an upstream that is cut off with
// resets: refused connections do not show that the upstream's process has ended.
BOOST_AUTO_TEST_CASE(keepsRunsUntilTheLeaseIfConnectionsAreRefused)
{
    start(0);
    startAnswered(0, OrderResult::Done);
    ledger.step(now, out);
    const TimePoint leaseEnd = now + LeaseTimes{}.lease;
    failPoll(OrderResult::NoAnswer);
    while (now < leaseEnd) {
        BOOST_TEST(all<RunEnded>().empty());
        BOOST_TEST(!ledger.takesOrders());
        now += 20ms;
        ledger.step(now, out);
        if (!all<PollOrder>().empty()) {
            failPoll(OrderResult::ConnectionRefused);
        }
    }
    now = leaseEnd + LeaseTimes{}.expiryDelay();
    ledger.step(now, out);
    BOOST_REQUIRE(all<RunEnded>().size() == 1);
    // The upstream may still be the same process.
    BOOST_TEST((all<RunEnded>()[0].kind == RunEndKind::Lapsed));
}

// Guards against blaming all tasks of a crashed upstream alike, so that healthy ones are given up.
BOOST_AUTO_TEST_CASE(suspectsTheRunsThatWereStartedLast)
{
    start(0);
    startAnswered(0, OrderResult::Done);
    now += 50ms;
    start(1);
    startAnswered(1, OrderResult::Done);
    ledger.step(now, out);
    failPoll(OrderResult::NoAnswer);
    now += 20ms;
    ledger.step(now, out);
    failPoll(OrderResult::ConnectionRefused);
    now += 700ms;
    ledger.step(now, out);
    BOOST_REQUIRE(all<RunEnded>().size() == 2);
    for (const RunEnded &it : all<RunEnded>()) {
        BOOST_TEST((it.kind == RunEndKind::Lapsed));
        BOOST_TEST(it.isCrashSuspect == (it.task.task.value() == 1));
    }
    processStart = UpstreamProcessStart{8};
    answerPoll({});
    BOOST_REQUIRE(all<LapsedRunCrashed>().size() == 2);
    for (const LapsedRunCrashed &it : all<LapsedRunCrashed>()) {
        BOOST_TEST(it.isCrashSuspect == (it.task.task.value() == 1));
    }
}

// Guards against a job that is answered as failed although no upstream has crashed under its tasks.
BOOST_AUTO_TEST_CASE(countsNoCrashIfTheSameProcessAnswersAgain)
{
    start(0);
    startAnswered(0, OrderResult::Done);
    ledger.step(now, out);
    failPoll(OrderResult::NoAnswer);
    now += 20ms;
    ledger.step(now, out);
    failPoll(OrderResult::ConnectionRefused);
    now += 700ms;
    ledger.step(now, out);
    answerPoll({});
    now += 1s;
    ledger.step(now, out);
    processStart = UpstreamProcessStart{8};
    answerPoll({});
    BOOST_TEST(all<LapsedRunCrashed>().empty());
}

// Guards against counting a crash against a task that may never have been started on the upstream.
BOOST_AUTO_TEST_CASE(countsNoCrashAgainstAnUnconfirmedRun)
{
    start(0);
    startAnswered(0, OrderResult::NoAnswer);
    ledger.step(now, out);
    processStart = UpstreamProcessStart{8};
    answerPoll({});
    answerPoll({});
    BOOST_TEST(all<LapsedRunCrashed>().empty());
    for (const RunEnded &it : all<RunEnded>()) {
        BOOST_TEST((it.kind == RunEndKind::Lapsed));
    }
    BOOST_TEST(ledger.runCount() == 0);
}

// Guards against starting tasks twice because a process at its limit of connections refuses one.
BOOST_AUTO_TEST_CASE(keepsRunsIfOnlyOneConnectionIsRefused)
{
    start(0);
    startAnswered(0, OrderResult::Done);
    ledger.step(now, out);
    failPoll(OrderResult::ConnectionRefused);
    BOOST_TEST(all<RunEnded>().empty());
    now += 20ms;
    ledger.step(now, out);
    answerPoll({{}, {}, {{name(0), RunNumber{1}}}, {}});
    BOOST_TEST(ledger.runCount() == 1);
    BOOST_TEST(ledger.takesOrders());
}

// Guards against blaming tasks for the announced end of an upstream.
BOOST_AUTO_TEST_CASE(doesNotTakeTheEndOfADrainingUpstreamForACrash)
{
    start(0);
    startAnswered(0, OrderResult::Done);
    ledger.step(now, out);
    UpstreamEntry draining = entry();
    draining.draining = true;
    ledger.update(draining);
    failPoll(OrderResult::NoAnswer);
    now += 20ms;
    ledger.step(now, out);
    failPoll(OrderResult::ConnectionRefused);
    now += 700ms;
    ledger.step(now, out);
    BOOST_REQUIRE(all<RunEnded>().size() == 1);
    BOOST_TEST((all<RunEnded>()[0].kind == RunEndKind::Lapsed));
    BOOST_TEST(!all<RunEnded>()[0].isCrashSuspect);
    processStart = UpstreamProcessStart{8};
    answerPoll({});
    BOOST_TEST(all<LapsedRunCrashed>().empty());
}

// Guards against further orders to an upstream that is now assigned to another VM.
BOOST_AUTO_TEST_CASE(reportsLossWhenAnotherKeeperHasAHigherToken)
{
    start(0);
    startAnswered(0, OrderResult::Fenced);
    BOOST_TEST(all<UpstreamLost>().size() == 1);
}

// Guards against giving up an upstream because this keeper's own raised token overtook an earlier
// order of it.
BOOST_AUTO_TEST_CASE(treatsItsOwnFencedOrderAsNotStarted)
{
    start(0);
    start(1);
    startAnswered(0, OrderResult::NoAnswer);
    startAnswered(1, OrderResult::Fenced);
    BOOST_TEST(all<UpstreamLost>().empty());
    BOOST_TEST(all<RunNeverStarted>().size() == 1);
}

// Guards against treating a restarted process with the same upstream id as the previous process.
BOOST_AUTO_TEST_CASE(endsAllRunsOfAFormerProcess)
{
    start(0);
    startAnswered(0, OrderResult::Done);
    now += 1ms;
    ledger.step(now, out);
    const FencingToken before = ledger.token();
    processStart = UpstreamProcessStart{8};
    answerPoll({});
    BOOST_REQUIRE(all<RunEnded>().size() == 1);
    BOOST_TEST((all<RunEnded>()[0].kind == RunEndKind::Crashed));
    BOOST_TEST((before < ledger.token()));
    BOOST_TEST(lastPoll().acknowledged.value() == 0);
}

// Guards against two runs of one task at a time: the first report of a new process was sent before
// that process started the run, and the run was taken for one of the former process.
BOOST_AUTO_TEST_CASE(keepsARunThatTheNewProcessStartedAfterItsReport)
{
    now += 600ms;
    ledger.step(now, out);
    now += 1ms;
    start(0);
    startAnswered(0, OrderResult::Done);
    processStart = UpstreamProcessStart{8};
    answerPoll({});
    BOOST_TEST(all<RunEnded>().empty());
    answerPoll({{}, {}, {{name(0), RunNumber{1}}}, {}});
    BOOST_TEST(ledger.runCount() == 1);
    answerPoll({{}, {}, {}, {{EndNumber{1}, name(0), RunNumber{1}, RunEndKind::Done}}});
    BOOST_REQUIRE(all<RunEnded>().size() == 1);
    BOOST_TEST((all<RunEnded>()[0].kind == RunEndKind::Done));
}

// Guards against repeating a task that the new process has completed before its first report.
BOOST_AUTO_TEST_CASE(takesTheEndThatTheFirstReportOfANewProcessLists)
{
    start(0);
    startAnswered(0, OrderResult::Done);
    now += 1ms;
    ledger.step(now, out);
    processStart = UpstreamProcessStart{8};
    answerPoll({{}, {}, {}, {{EndNumber{1}, name(0), RunNumber{1}, RunEndKind::Done}}});
    BOOST_REQUIRE(all<RunEnded>().size() == 1);
    BOOST_TEST((all<RunEnded>()[0].kind == RunEndKind::Done));
}

// Guards against two runs of one task at a time: an order whose lease was computed for the clock of
// a former process got the longest lease, and a later start shortened what the ledger had noted.
BOOST_AUTO_TEST_CASE(keepsTheLongestLeaseThatAnOrderMayHaveGot)
{
    start(0);
    ledger.startAnswered(name(0), RunNumber{1}, OrderResult::Done, UpstreamTime{1ms}, now, out);
    const TimePoint longestLeaseEnd = now + LeaseTimes{}.maxLease;
    now += 100ms;
    start(1);
    ledger.step(now, out);
    while (all<RunEnded>().empty() && now < longestLeaseEnd + 2s) {
        now += 10ms;
        ledger.step(now, out);
    }
    BOOST_REQUIRE(!all<RunEnded>().empty());
    BOOST_TEST((now >= longestLeaseEnd));
}

// Guards against two runs of one task at a time: a new process that no report has shown yet grants
// the longest lease to a start order, whose reply is lost like those of the polls.
BOOST_AUTO_TEST_CASE(keepsAnUnconfirmedRunForTheLongestLease)
{
    start(0);
    startAnswered(0, OrderResult::Done);
    start(1);
    startAnswered(1, OrderResult::NoAnswer);
    ledger.step(now, out);
    const TimePoint sent = now;
    const TimePoint longestLeaseEnd = sent + LeaseTimes{}.maxLease;
    failPoll();
    bool isRunOfOldProcessOver = false;
    while (now < longestLeaseEnd + LeaseTimes{}.expiryDelay()) {
        for (const RunEnded &it : all<RunEnded>()) {
            // The former process had confirmed the first run, so a new one does not have it.
            BOOST_TEST(it.task.task.value() == 0);
            isRunOfOldProcessOver = true;
        }
        BOOST_TEST(ledger.runCount() == (isRunOfOldProcessOver ? 1U : 2U));
        now += 10ms;
        ledger.step(now, out);
        if (!all<PollOrder>().empty()) {
            const PollNumber number = lastPoll().number;
            std::erase_if(out,
                          [](const auto &it) { return std::holds_alternative<PollOrder>(it); });
            ledger.pollFailed(number, OrderResult::NoAnswer, now, out);
        }
    }
    BOOST_TEST(isRunOfOldProcessOver);
    BOOST_TEST((now - sent > 900ms));
    now += 50ms;
    ledger.step(now, out);
    BOOST_TEST(ledger.runCount() == 0);
    BOOST_TEST(ledger.freeRoom().cpu.value() == 64'000);
}

// Guards against the same if the first sign of the new process is the reply to a start order, and
// the former process had run for less than a second.
BOOST_AUTO_TEST_CASE(extendsTheLeaseByAnyReadingBehindTheClock)
{
    start(0);
    // The clock of the former process read 11 s.
    const UpstreamTime behind{now.time_since_epoch() + 1s - 300ms};
    ledger.startAnswered(name(0), RunNumber{1}, OrderResult::Done, behind, now, out);
    const TimePoint leaseEnd = now + LeaseTimes{}.lease + 300ms;
    ledger.step(now, out);
    while (now < leaseEnd) {
        BOOST_TEST(all<RunEnded>().empty());
        now += 10ms;
        ledger.step(now, out);
    }
    now += 40ms;
    ledger.step(now, out);
    BOOST_TEST(all<RunEnded>().size() == 1);
}

// Guards against polling idle upstreams continuously, since each poll has a price.
BOOST_AUTO_TEST_CASE(pollsIdleUpstreamsRarely)
{
    out.clear();
    ledger.step(now, out);
    BOOST_TEST(all<PollOrder>().empty());
    BOOST_REQUIRE(ledger.nextTimer().has_value());
    BOOST_TEST((*ledger.nextTimer() - now > 400ms));
}

// Guards against starting a task again that is done: its run was taken for lapsed, as a report
// lists a limited number of ends and the run was among the next ones.
BOOST_AUTO_TEST_CASE(endsNoMissingRunByAReportThatMayGoOn)
{
    start(0);
    startAnswered(0, OrderResult::Done);
    start(1);
    startAnswered(1, OrderResult::NoAnswer);
    now += 1ms;
    ledger.step(now, out);
    answerPoll({{}, {}, {}, {}, true});
    answerPoll({{}, {}, {}, {}, true});
    BOOST_TEST(all<RunEnded>().empty());
    BOOST_TEST(all<RunNeverStarted>().empty());
    answerPoll({{}, {}, {}, {{EndNumber{501}, name(0), RunNumber{1}, RunEndKind::Done}}});
    BOOST_REQUIRE(all<RunEnded>().size() == 1);
    BOOST_TEST((all<RunEnded>()[0].kind == RunEndKind::Done));
    BOOST_TEST(all<RunNeverStarted>().size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()
