#include <boost/test/unit_test.hpp>
#include <sstream>

#include "load/report.hpp"
#include "load/run_checks.hpp"

using namespace rattandock;
using namespace rattandock::load;
using namespace std::chrono_literals;

namespace {

/// Two jobs of two tasks: the first complete, the second refused.
struct Fixture
{
    Fixture()
    {
        for (const std::string key : {"j0", "j1"}) {
            PlannedJob job;
            job.key = key;
            job.estimates = {100ms, 50ms};
            result.plan.push_back(job);
        }
        result.jobs.resize(2);
        for (std::size_t n = 0; n < 2; ++n) {
            result.jobs[n].id = "t/j" + std::to_string(n);
            result.jobs[n].plan = n;
            result.jobs[n].tasks = 2;
        }
        result.jobs[0].outcome = "complete";
        result.jobs[1].outcome = "not-run";
        result.jobs[1].reason = "queue-full";
        starts = {{"t%2Fj0#0", 1}, {"t%2Fj0#1", 1}};
    }

    std::vector<std::string> violations() const { return checkRun(scenario, result, starts); }

    static Exchange reply(const std::string &body)
    {
        Exchange exchange;
        exchange.end = ExchangeEnd::Answered;
        exchange.status = 200;
        exchange.body = body;
        return exchange;
    }

    Scenario scenario;
    LoadResult result;
    Starts starts;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(LoadTest, Fixture)

// Guards against a check that finds a violation in a right run.
BOOST_AUTO_TEST_CASE(aRightRunHasNoViolation)
{
    BOOST_TEST(violations().empty());
}

// Guards against a check that misses a task that started twice.
BOOST_AUTO_TEST_CASE(findsADoubleStart)
{
    starts["t%2Fj0#1"] = 2;
    BOOST_TEST(violations() == std::vector<std::string>{"task started 2 times: t%2Fj0#1"},
               boost::test_tools::per_element());
}

// Guards against a check that misses a start behind a refusal, or a missing start behind an answer.
BOOST_AUTO_TEST_CASE(findsAnswersThatContradictTheStartLog)
{
    starts.erase("t%2Fj0#1");
    starts["t%2Fj1#0"] = 1;
    const std::vector<std::string> expected{"complete job with 1 of 2 tasks started: t/j0",
                                            "not-run job with 1 starts: t/j1"};
    BOOST_TEST(violations() == expected, boost::test_tools::per_element());
}

// Guards against a run without its subject that passes.
BOOST_AUTO_TEST_CASE(anEmptyRunIsAViolation)
{
    result.jobs.clear();
    starts.clear();
    const std::vector<std::string> expected{"no job was submitted", "no task started"};
    BOOST_TEST(violations() == expected, boost::test_tools::per_element());
}

// Guards against lost answers that are passed over, except where the scenario expects them.
BOOST_AUTO_TEST_CASE(findsLostAnswers)
{
    result.jobs[1].outcome = "lost";
    BOOST_TEST(violations().size() == 1U);
    scenario.lostAnswersExpected = true;
    BOOST_TEST(violations().empty());
}

// Guards against partial and crossed answers that pass as complete.
BOOST_AUTO_TEST_CASE(judgesResultsByTask)
{
    const auto judge = [this](const std::string &body) {
        JobRecord record;
        record.id = "t/j0";
        judgeAnswer(result.plan[0], reply(body), record);
        return record;
    };
    const std::string head = R"({"id":"t/j0","outcome":"complete","results":)";
    const JobRecord whole = judge(head + R"(["done:j0/0","done:j0/1"]})");
    BOOST_TEST((!whole.partial && !whole.crossed));
    BOOST_TEST(judge(head + R"(["done:j0/0"]})").partial);
    BOOST_TEST(judge(head + R"(["done:j0/1","done:j0/0"]})").crossed);
    BOOST_TEST(judge(R"({"id":"t/j1","outcome":"failed"})").crossed);
    BOOST_TEST(judge("{}").outcome == "error");
}

// Guards against a refused id that later runs, which breaks "not run" as an answer.
BOOST_AUTO_TEST_CASE(findsALaterAnswerThatContradictsTheFirst)
{
    JobRecord record;
    record.id = "t/j0";
    judgeAnswer(result.plan[0], reply(R"({"id":"t/j0","outcome":"not-run"})"), record);
    judgeAnswer(result.plan[0], reply(R"({"id":"t/j0","outcome":"not-run"})"), record);
    BOOST_TEST(record.contradictions.empty());
    judgeAnswer(result.plan[0], reply(R"({"id":"t/j0","outcome":"failed"})"), record);
    BOOST_TEST(record.contradictions.size() == 1U);
}

// Guards against a damaged start log that is read as one with fewer starts.
BOOST_AUTO_TEST_CASE(rejectsADamagedStartLog)
{
    std::istringstream right{"1 u a#0 1\n2 u a#0 2\n"};
    const auto read = readStartLog(right);
    BOOST_REQUIRE(read);
    BOOST_TEST(read.value().at("a#0") == 2U);
    std::istringstream damaged{"1 u a#0\n"};
    BOOST_TEST(!readStartLog(damaged));
}

// Guards against an ideal that overfills the fast upstream or ignores the speeds.
BOOST_AUTO_TEST_CASE(idealUsesSpeedsAndSlots)
{
    scenario.upstreams.count = 2;
    scenario.upstreams.slots = 1;
    scenario.upstreams.runTime.speedSpread = 3.0;
    // 100 ms on the fast one and 50 ms on the slow one (150 ms) ties with both on the fast one.
    BOOST_TEST(idealResponse(scenario.upstreams, result.plan[0], "t/j0").count() == 150'000);
    scenario.upstreams.slots = 2;
    BOOST_TEST(idealResponse(scenario.upstreams, result.plan[0], "t/j0").count() == 100'000);
}

// Guards against runs that cannot be repeated, and arrivals outside the run.
BOOST_AUTO_TEST_CASE(theSameSeedGivesTheSamePlan)
{
    scenario.jobsPerSecond = 50.0;
    scenario.burstEvery = 4s;
    scenario.burstJobs = 30;
    scenario.tasksPerJob = {1.0, 200.0};
    const auto plan = planJobs(scenario);
    const auto again = planJobs(scenario);
    BOOST_REQUIRE(plan.size() == again.size());
    BOOST_TEST((plan.size() > 400 && plan.size() < 700));
    for (std::size_t n = 0; n < plan.size(); ++n) {
        BOOST_TEST((plan[n].at == again[n].at && plan[n].estimates == again[n].estimates));
        BOOST_TEST((plan[n].at < scenario.length && plan[n].estimates.size() <= 200));
    }
}

// Guards against a percentile beside its rank.
BOOST_AUTO_TEST_CASE(percentilesAreNearestRanks)
{
    std::vector<double> values;
    for (int n = 100; n > 0; --n) {
        values.push_back(n);
    }
    BOOST_TEST(percentile(values, 0.5) == 50.0);
    BOOST_TEST(percentile(values, 0.99) == 99.0);
    BOOST_TEST(percentile({7.0}, 0.99) == 7.0);
}

// Guards against scenario keys that are passed over.
BOOST_AUTO_TEST_CASE(reportsEveryFindingOfAScenario)
{
    const auto parsed = parseScenario(R"({
        "entries": [{"port": 0}], "upstreams": {"count": 2}, "jobPerSecond": 3,
        "faults": [{"atMs": 1, "firstUpstream": 2, "switches": {}}] })",
                                      "a.json");
    BOOST_REQUIRE(!parsed);
    BOOST_TEST(describe(parsed.error())
               == "a.json: $.entries[0].port: must be from 1 to 65535\n"
                  "a.json: $.faults[0].count: must name upstreams of the settings only\n"
                  "a.json: $.jobPerSecond: is not a known key\n");
}

BOOST_AUTO_TEST_SUITE_END()
