#include "standins/upstream/standin_upstream.hpp"

#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <unistd.h>

#include "standins/upstream/upstream_settings.hpp"

using namespace rattandock;
using namespace rattandock::standins;
using adapters::HttpRequest;
using adapters::HttpResponse;

namespace {

struct Fixture
{
    Fixture()
    {
        file = (std::filesystem::temp_directory_path()
                / ("start-log-" + std::to_string(::getpid())))
                       .string();
        std::filesystem::remove(file);
        log = std::move(StartLog::open(file).value());
    }
    ~Fixture() { std::filesystem::remove(file); }

    static HttpRequest task(const std::string &id, const std::string &attempt,
                            const std::string &estimate = "0")
    {
        HttpRequest request;
        request.method = "POST";
        request.path = "/tasks";
        request.headers = {{"Rattandock-Task", id},
                           {"Rattandock-Attempt", attempt},
                           {"Rattandock-Estimate-Ms", estimate}};
        request.body = "p";
        return request;
    }

    HttpResponse faults(const std::string &body)
    {
        HttpRequest request;
        request.method = "POST";
        request.path = "/faults";
        request.body = body;
        return upstream.serve(request);
    }

    static std::string header(const HttpResponse &response, std::string_view name)
    {
        HttpRequest holder;
        holder.headers = response.headers;
        return holder.header(name);
    }

    /// The log's lines without their times.
    std::vector<std::string> started() const
    {
        std::vector<std::string> lines;
        std::ifstream in{file};
        for (std::string line; std::getline(in, line);) {
            lines.push_back(line.substr(line.find(' ') + 1));
        }
        return lines;
    }

    std::string file;
    StartLog log;
    StandinUpstream upstream{"u1", 2, {}, 1.0, log};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(StandinUpstreamTest, Fixture)

// Guards against a start without its line, or a reply without the echo that callers check.
BOOST_AUTO_TEST_CASE(runsATaskAndLogsItsStart)
{
    const HttpResponse response = upstream.serve(task("a%2Fb#3", "17"));
    BOOST_TEST(response.status == 200U);
    BOOST_TEST(response.body == "done:p");
    BOOST_TEST(header(response, "Rattandock-Attempt") == "17");
    BOOST_TEST(header(response, "Rattandock-Leaving").empty());
    BOOST_TEST(started() == std::vector<std::string>{"u1 a%2Fb#3 17"},
               boost::test_tools::per_element());
}

// Guards against a refusal over the slot limit that is logged as a start or keeps a slot.
BOOST_AUTO_TEST_CASE(refusesOverItsSlotsBeforeTheStart)
{
    faults(R"({"hang": true})");
    std::vector<boost::fibers::fiber> running;
    for (const std::string attempt : {"1", "2"}) {
        running.emplace_back([this, attempt] { upstream.serve(task("j#" + attempt, attempt)); });
    }
    while (started().size() < 2) {
        boost::this_fiber::yield();
    }
    for (const std::string attempt : {"3", "4"}) {
        const HttpResponse refused = upstream.serve(task("j#" + attempt, attempt));
        BOOST_TEST(refused.status == 503U);
        BOOST_TEST(header(refused, "Rattandock-Not-Started") == "true");
    }
    faults(R"({"hang": false})");
    for (auto &it : running) {
        it.join();
    }
    BOOST_TEST(started().size() == 2U);
    BOOST_TEST(upstream.serve(task("j#5", "5")).status == 200U);
}

// Guards against a refusal switch whose reply is not provably unstarted.
BOOST_AUTO_TEST_CASE(refuseSwitchStartsNothing)
{
    faults(R"({"refuse": true})");
    const HttpResponse refused = upstream.serve(task("j#0", "1"));
    BOOST_TEST(refused.status == 503U);
    BOOST_TEST(header(refused, "Rattandock-Not-Started") == "true");
    BOOST_TEST(started().empty());
}

// Guards against fault switches that do not start the task, which a dispatcher must assume.
BOOST_AUTO_TEST_CASE(resetAndFailAllStartTheTask)
{
    faults(R"({"reset": true})");
    BOOST_TEST(upstream.serve(task("j#0", "1")).resetConnection);
    faults(R"({"reset": false, "failAll": true})");
    const HttpResponse failed = upstream.serve(task("j#1", "2"));
    BOOST_TEST(failed.status == 500U);
    BOOST_TEST(header(failed, "Rattandock-Not-Started").empty());
    BOOST_TEST(started().size() == 2U);
}

// Guards against a hang that keeps the process from stopping.
BOOST_AUTO_TEST_CASE(stopReleasesAHangingTask)
{
    faults(R"({"hang": true})");
    boost::fibers::fiber running{
            [this] { BOOST_TEST(upstream.serve(task("j#0", "1")).resetConnection); }};
    while (started().empty()) {
        boost::this_fiber::yield();
    }
    upstream.stop();
    running.join();
    BOOST_TEST(started().size() == 1U);
}

// Guards against a leaving sign that is missing on a reply or has no recorded time.
BOOST_AUTO_TEST_CASE(showsItsLeavingOnEachReply)
{
    faults(R"({"leaving": true})");
    BOOST_TEST(faults("{}").body.find("\"leavingShownAtUs\":0") != std::string::npos);
    BOOST_TEST(header(upstream.serve(task("j#0", "1")), "Rattandock-Leaving") == "true");
    BOOST_TEST(faults("{}").body.find("\"leavingShownAtUs\":0") == std::string::npos);
}

// Guards against a crossed reply that carries the right attempt.
BOOST_AUTO_TEST_CASE(wrongEchoNamesAnotherAttempt)
{
    faults(R"({"wrongEcho": true})");
    BOOST_TEST(header(upstream.serve(task("j#0", "1")), "Rattandock-Attempt") == "2");
}

// Guards against a misspelt switch that is passed over, or a request that is half applied.
BOOST_AUTO_TEST_CASE(rejectsUnknownSwitchesWhole)
{
    const HttpResponse rejected = faults(R"({"refuse": true, "hangs": true})");
    BOOST_TEST(rejected.status == 400U);
    BOOST_TEST(rejected.body.find("$.hangs") != std::string::npos);
    BOOST_TEST(upstream.serve(task("j#0", "1")).status == 200U);
}

// Guards against a log line that cannot be split into its fields.
BOOST_AUTO_TEST_CASE(rejectsATaskNameWithSpaces)
{
    BOOST_TEST(upstream.serve(task("a b#0", "1")).status == 400U);
    BOOST_TEST(upstream.serve(task("j#0", "one")).status == 400U);
    BOOST_TEST(started().empty());
}

// Guards against run times that depend on the order of requests or leave the jitter's range.
BOOST_AUTO_TEST_CASE(runTimesFollowTheModel)
{
    const RunTimeModel model{2.0, 0.25, 0.0, 1.0, 4.0, 7};
    const Duration estimate = std::chrono::milliseconds{100};
    bool differ = false;
    for (int n = 0; n < 1000; ++n) {
        const std::string id = "j#" + std::to_string(n);
        const Duration run = runTimeOf(model, id, estimate);
        BOOST_TEST((run >= estimate * 3 / 2 && run <= estimate * 5 / 2));
        BOOST_TEST((run == runTimeOf(model, id, estimate)));
        differ = differ || run != runTimeOf(model, "j#0", estimate);
    }
    BOOST_TEST(differ);
    BOOST_TEST(slownessOf(model, 0, 50) == 1.0);
    BOOST_TEST(std::abs(slownessOf(model, 49, 50) - 4.0) < 1e-9);
}

// Guards against settings that bind outside the loopback or pass over a fault.
BOOST_AUTO_TEST_CASE(reportsEveryFindingOfTheSettings)
{
    const auto settings = parseUpstreamSettings(R"({
        // comment
        "address": "10.0.0.1", "firstPort": 65535, "count": 2, "runTime": {"jiter": 1},
    })",
                                                "a.json");
    BOOST_REQUIRE(!settings);
    BOOST_TEST(describe(settings.error())
               == "a.json: $.address: must be a loopback IP address, such as 127.0.0.1\n"
                  "a.json: $.runTime.jiter: is not a known key\n"
                  "a.json: $.count: must leave the last port at or below 65535\n");
}

// Guards against settings that a script hands from a scenario to the stand-in changed.
BOOST_AUTO_TEST_CASE(settingsSurviveTheirText)
{
    UpstreamStandinSettings settings;
    settings.firstPort = 7510;
    settings.startLog = "starts.log";
    settings.runTime = {2.5, 0.25, 0.125, 8.0, 4.0, 77};
    const auto read = parseUpstreamSettings(formatUpstreamSettings(settings), "text");
    BOOST_REQUIRE(read);
    BOOST_TEST(read.value().startLog == "starts.log");
    BOOST_TEST(formatUpstreamSettings(read.value()) == formatUpstreamSettings(settings));
}

BOOST_AUTO_TEST_SUITE_END()
