#include <boost/test/unit_test.hpp>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>
#include <thread>

#include "detail/test_upstream.hpp"
#include "rattandock/adapters/metrics.hpp"
#include "rattandock/app/daemon.hpp"

using namespace rattandock;
using namespace rattandock::app::test;

namespace {

std::set<std::string> matches(const std::string &text, const char *pattern)
{
    const std::regex regex{pattern};
    std::set<std::string> found;
    for (std::sregex_iterator it{text.begin(), text.end(), regex}, end; it != end; ++it) {
        found.insert((*it)[1].str() + (it->size() > 2 ? ' ' + (*it)[2].str() : ""));
    }
    return found;
}

/// `NAME REASON` for each reason of docs/metrics.md, whose rows are
/// `| NAME | kind | REASON, REASON | meaning |` with names in backticks.
std::set<std::string> documentedReasons(const std::string &page)
{
    std::set<std::string> found;
    std::stringstream in{page};
    for (std::string line; std::getline(in, line);) {
        std::smatch row;
        if (std::regex_match(line, row, std::regex{R"(\| `(\S+)` \| \w+ \| (.*?) \| .*)"})) {
            for (const std::string &reason : matches(row[2].str(), "`([^`]+)`")) {
                found.insert(row[1].str() + ' ' + reason);
            }
        }
    }
    return found;
}

std::string textOf(const std::string &file)
{
    std::ifstream in{file};
    std::stringstream text;
    text << in.rdbuf();
    return text.str();
}

} // namespace

BOOST_AUTO_TEST_SUITE(MetricsTest)

// Guards against a metric that is exposed and not documented, or documented and not exposed.
BOOST_AUTO_TEST_CASE(agreesWithThePage)
{
    TestUpstream upstream{[](const std::string &it) { return it; }};
    auto settings = testSettings();
    settings.upstreams.push_back(upstream.settings(8));
    auto daemon = app::Daemon::start(settings);
    BOOST_REQUIRE(daemon);
    const auto operatorPort = daemon.value()->operatorPort();
    ask(daemon.value()->callerPort(), "POST", "/v1/jobs", jobBody("a"));
    const std::string exposed = ask(operatorPort, "GET", "/metrics").body();
    const std::string page = textOf(RATTANDOCK_SOURCE_DIR "/docs/metrics.md");
    const auto names = matches(exposed, "# TYPE (rattandock_\\w+)");
    const auto documented = matches(page, R"(\n\| `(rattandock_\w+)`)");
    BOOST_REQUIRE(!names.empty());
    BOOST_TEST(names == documented, boost::test_tools::per_element());
    const auto reasons = matches(exposed, R"rx((rattandock_\w+)\{reason="([^"]+)"\})rx");
    BOOST_TEST(reasons == documentedReasons(page), boost::test_tools::per_element());
    daemon.value()->stop();
}

// Guards against counters that appear only once they have counted, and against a missing help.
BOOST_AUTO_TEST_CASE(exposesReasonsFromTheStart)
{
    auto daemon = app::Daemon::start(testSettings());
    BOOST_REQUIRE(daemon);
    const auto port = daemon.value()->operatorPort();
    for (const auto *it : {"rattandock_answers_not_run_total{reason=\"draining\"}",
                           "rattandock_answers_failed_total{reason=\"answer-evicted\"}",
                           "rattandock_answers_unknown_total{reason=\"home-lost\"}",
                           "rattandock_task_resent_total{reason=\"no-connection\"}",
                           "rattandock_task_placed_total{reason=\"least-outstanding\"}",
                           "rattandock_bad_requests_total{reason=\"slow-sender\"}"}) {
        BOOST_TEST(metric(port, it) == 0.0, it);
    }
    const std::string text = ask(port, "GET", "/metrics").body();
    BOOST_TEST(matches(text, "# TYPE (rattandock_\\w+)").size()
               == matches(text, "# HELP (rattandock_\\w+) [A-Z]").size());
    BOOST_TEST(metric(port, "rattandock_resident_memory_bytes") > 1e6);
    BOOST_TEST(metric(port, "rattandock_operator_connections") >= 1.0);
    daemon.value()->stop();
}

// Guards against counts that are lost between threads, and against a reason that is in no table.
BOOST_AUTO_TEST_CASE(countsFromManyThreads)
{
    adapters::Metrics metrics;
    std::vector<std::thread> threads;
    for (int n = 0; n < 4; ++n) {
        threads.emplace_back([&metrics] {
            for (int k = 0; k < 10'000; ++k) {
                metrics.count("job_ended", "complete");
                metrics.count("task_placed", "a-new-reason");
            }
        });
    }
    for (auto &it : threads) {
        it.join();
    }
    const std::string text = metrics.text();
    BOOST_TEST(text.find("rattandock_job_ended_total{reason=\"complete\"} 40000")
               != std::string::npos);
    BOOST_TEST(text.find("rattandock_task_placed_total{reason=\"a-new-reason\"} 40000")
               != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
