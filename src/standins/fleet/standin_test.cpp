#include <boost/test/unit_test.hpp>

#include "platform/upstream_client.hpp"
#include "standins/fleet/standin_runner.hpp"
#include "standins/fleet/standin_store.hpp"

using namespace rattandock;
using standins::RunWatch;
using standins::StandinRunner;
using standins::StandinStore;

namespace {

adapters::HttpRequest post(const std::string &path, const std::string &body)
{
    adapters::HttpRequest request;
    request.method = "POST";
    request.path = path;
    request.body = body;
    request.headers.emplace_back("Expect-Instance", "i-1");
    return request;
}

} // namespace

BOOST_AUTO_TEST_SUITE(FleetStandinTest)

// Guards against a stand-in that carries out what the platform refuses.
BOOST_AUTO_TEST_CASE(refusesFencedLateAndOldOrders)
{
    RunWatch watch;
    StandinRunner runner{"i-1", 64'000, {}, watch, 1};
    const auto start = [&](int run, int token, int until) {
        return runner.serve(
                post("/api/run-start",
                     R"({"task":"j.0.0.1","run":)" + std::to_string(run)
                             + R"(,"spec":"{\"cpu\":27000,\"ms\":100000}","deadline_ms":)"
                             + std::to_string(until) + R"(,"fencing_token":)"
                             + std::to_string(token) + '}'));
    };
    BOOST_TEST(start(1, 5, 900'000).status == 200);
    BOOST_TEST(start(1, 5, 900'000).status == 200);
    BOOST_TEST(watch.starts() == 1);
    BOOST_TEST(start(2, 4, 900'000).body.find("fence") != std::string::npos);
    BOOST_TEST(start(2, 6, 1).body.find("late") != std::string::npos);
    BOOST_TEST(
            runner.serve(post("/api/run-stop", R"({"task":"j.0.0.1","run":1,"fencing_token":6})"))
                    .status
            == 200);
    BOOST_TEST(start(1, 6, 900'000).body.find("old") != std::string::npos);
    const auto report = platform::decodeRunReport(
            runner.serve(post("/api/hold", R"({"fencing_token":6,"last_seen":0})")).body);
    BOOST_REQUIRE(report);
    BOOST_REQUIRE(report->ended.size() == 1);
    BOOST_TEST((report->ended[0].kind == fleet::RunEndKind::Stopped));
}

// Guards against a stand-in that does not see a breach.
BOOST_AUTO_TEST_CASE(countsDoubleRunsAndStartsOverTheRoom)
{
    RunWatch watch;
    StandinRunner one{"i-1", 30'000, {}, watch, 1};
    StandinRunner two{"i-1", 30'000, {}, watch, 2};
    const auto body = [](int task) {
        return R"({"task":"j.0.0.)" + std::to_string(task)
               + R"(","run":1,"spec":"{\"cpu\":27000,\"ms\":100000}","deadline_ms":900000})";
    };
    one.serve(post("/api/run-start", body(1)));
    two.serve(post("/api/run-start", body(1)));
    BOOST_TEST(watch.doubleRuns() == 1);
    one.serve(post("/api/run-start", body(2)));
    BOOST_TEST(watch.startsOverRoom() == 1);
}

// Guards against conditional writes that take effect although the row has changed.
BOOST_AUTO_TEST_CASE(writesRowsUnderTheirConditions)
{
    StandinStore store;
    const auto write = [&](int version) {
        return store.serve(post(
                "/api/rows-tx",
                R"({"expect":[{"table":"t","part":"p","key":"k","ver":)" + std::to_string(version)
                        + R"(}],"writes":[{"table":"t","part":"p","key":"k","value":"eA=="}]})"));
    };
    BOOST_TEST(write(0).status == 200);
    BOOST_TEST(write(0).status == 412);
    BOOST_TEST(write(1).status == 200);
    store.setDown(true);
    BOOST_TEST(write(2).status == 503);
}

// Guards against a soak that does not see a start after all callers were refused.
BOOST_AUTO_TEST_CASE(countsStartsAfterARefusal)
{
    RunWatch watch;
    watch.refused("00ff");
    watch.begin("00aa.0.0.1");
    BOOST_TEST(watch.startsAfterRefusal() == 0);
    watch.begin("00ff.0.0.1");
    BOOST_TEST(watch.startsAfterRefusal() == 1);
}

BOOST_AUTO_TEST_SUITE_END()
