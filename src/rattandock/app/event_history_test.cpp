#include "rattandock/app/event_history.hpp"

#include <boost/json/parse.hpp>
#include <boost/test/unit_test.hpp>

#include "detail/test_upstream.hpp"
#include "rattandock/app/daemon.hpp"

using namespace rattandock;
using namespace rattandock::app::test;

BOOST_AUTO_TEST_SUITE(EventHistoryTest)

// Guards against a history that grows, or whose index disagrees with its entries.
BOOST_AUTO_TEST_CASE(keepsTheLastEntriesOfEachJob)
{
    adapters::Metrics metrics;
    app::EventHistory history{metrics, 10};
    for (int n = 0; n < 25; ++n) {
        const JobId job{n % 2 == 0 ? "even" : "odd"};
        history.note({core::NoteKind::JobAccepted, "key-form", job, std::to_string(n)}, {});
    }
    history.note({core::NoteKind::ConfigurationInForce, "accepted", {}, {}}, {});
    BOOST_TEST(history.size() == 10U);
    const auto even = history.about(JobId{"even"});
    BOOST_REQUIRE(even.size() == 5U);
    BOOST_TEST(even.front().detail == "16");
    BOOST_TEST(even.back().detail == "24");
    BOOST_TEST(history.about(JobId{"odd"}).size() == 4U);
    BOOST_TEST(history.about(JobId{"none"}).empty());
    BOOST_TEST(history.counts().at(0).count == 25U);
}

// Guards against an explanation without the upstream of a task, the reason, or the wait.
BOOST_AUTO_TEST_CASE(explainsPlacementsAndWaits)
{
    TestUpstream upstream{[](const std::string &it) { return it; }, true};
    auto settings = testSettings();
    settings.upstreams.push_back(upstream.settings(1));
    auto daemon = app::Daemon::start(settings);
    BOOST_REQUIRE(daemon);
    TestClient caller{daemon.value()->callerPort()};
    caller.send(request("POST", "/v1/jobs", jobBody("j", 2)));
    while (upstream.started() == 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds{1});
    }
    const auto explain = [&] {
        return boost::json::parse(
                ask(daemon.value()->operatorPort(), "GET", "/v1/explain/j").body());
    };
    const auto running = explain();
    BOOST_TEST(running.at("state").as_string() == "running");
    BOOST_TEST(running.at("waitingFor").as_string() == "free-slot");
    BOOST_TEST(running.at("tasksWaiting").to_number<int>() == 1);
    // Longer than the resolution of waitedMs.
    std::this_thread::sleep_for(std::chrono::milliseconds{20});
    upstream.release();
    BOOST_TEST(caller.read().result_int() == 200U);
    const auto ended = explain();
    BOOST_TEST(ended.at("state").as_string() == "complete");
    BOOST_REQUIRE(ended.at("tasks").as_array().size() == 2U);
    const auto &first = ended.at("tasks").at(0);
    BOOST_TEST(first.at("upstream").as_string() == "u1");
    BOOST_TEST(!first.at("placement").as_string().empty());
    BOOST_TEST(first.at("waitedFor").as_string() == "nothing");
    BOOST_TEST(ended.at("tasks").at(1).at("waitedFor").as_string() == "free-slot");
    const auto status =
            boost::json::parse(ask(daemon.value()->operatorPort(), "GET", "/v1/status").body());
    BOOST_TEST(!status.at("decisions").as_array().empty());
    daemon.value()->stop();
}

BOOST_AUTO_TEST_SUITE_END()
