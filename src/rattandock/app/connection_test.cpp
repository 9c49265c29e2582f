#include <boost/json/parse.hpp>
#include <boost/test/unit_test.hpp>
#include <thread>

#include "detail/test_upstream.hpp"
#include "rattandock/app/daemon.hpp"

using namespace rattandock;
using namespace rattandock::app::test;

namespace {

std::string echo(const std::string &payload)
{
    return "done:" + payload;
}

std::unique_ptr<app::Daemon> startWith(const TestUpstream &upstream)
{
    auto settings = testSettings();
    settings.upstreams.push_back(upstream.settings(8));
    return std::move(app::Daemon::start(settings).value());
}

void waitUntil(const std::function<bool()> &condition)
{
    while (!condition()) {
        std::this_thread::sleep_for(std::chrono::milliseconds{1});
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(ConnectionTest)

// Guards against pipelined requests that are lost, or answered in another order.
BOOST_AUTO_TEST_CASE(answersPipelinedRequestsInOrder)
{
    TestUpstream upstream{echo};
    const auto daemon = startWith(upstream);
    TestClient client{daemon->callerPort()};
    client.send(request("POST", "/v1/jobs", jobBody("a")) + request("GET", "/v1/jobs/none")
                + request("HEAD", "/v1/jobs/a") + request("POST", "/v1/tokens")
                + request("POST", "/v1/jobs", jobBody("b", 3)));
    const auto first = client.read();
    BOOST_TEST(first.result_int() == 200U);
    BOOST_TEST(boost::json::parse(first.body()).at("id").as_string() == "a");
    BOOST_TEST(client.read().result_int() == 404U);
    BOOST_TEST(client.read().result_int() == 405U);
    BOOST_TEST(boost::json::parse(client.read().body()).at("lifetimeMs").to_number<int>() == 60000);
    BOOST_TEST(boost::json::parse(client.read().body()).at("results").as_array().size() == 3U);
    daemon->stop();
}

// Guards against a sender that waits for leave to send its body and never gets it.
BOOST_AUTO_TEST_CASE(answersExpectContinue)
{
    TestUpstream upstream{echo};
    const auto daemon = startWith(upstream);
    TestClient client{daemon->callerPort()};
    const std::string body = jobBody("a");
    client.send("POST /v1/jobs HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: "
                + std::to_string(body.size()) + "\r\n\r\n");
    BOOST_TEST(client.read().result_int() == 100U);
    client.send(body);
    BOOST_TEST(client.read().result_int() == 200U);
    daemon->stop();
}

// Guards against an answer that is not JSON because an upstream's result is not UTF-8.
BOOST_AUTO_TEST_CASE(encodesResultsThatAreNotUtf8)
{
    TestUpstream upstream{[](const std::string &payload) {
        return payload == "raw" ? std::string{"\xff\x00\"\n", 4} : "caf\xc3\xa9 \"\n";
    }};
    const auto daemon = startWith(upstream);
    const auto raw = ask(daemon->callerPort(), "POST", "/v1/jobs", jobBody("a", 1, "raw"));
    boost::json::error_code ec;
    const auto answer = boost::json::parse(raw.body(), ec);
    BOOST_REQUIRE(!ec);
    BOOST_TEST(answer.at("results").at(0).at("base64").as_string() == "/wAiCg==");
    const auto text = ask(daemon->callerPort(), "POST", "/v1/jobs", jobBody("b", 1, "text"));
    BOOST_TEST(boost::json::parse(text.body()).at("results").at(0).as_string()
               == "caf\xc3\xa9 \"\n");
    daemon->stop();
}

// Guards against a server that is harmed by callers that reset their connection at any stage.
BOOST_AUTO_TEST_CASE(survivesResetsAtEachStage)
{
    TestUpstream upstream{echo, true};
    const auto daemon = startWith(upstream);
    const std::string whole = request("POST", "/v1/jobs", jobBody("waiting"));
    for (const std::string &sent :
         {std::string{}, std::string{"POST /v1/j"}, whole.substr(0, whole.size() - 5),
          std::string{"bad\r\n\r\n"}, whole + "GET"}) {
        for (int n = 0; n < 5; ++n) {
            TestClient client{daemon->callerPort()};
            client.send(sent);
            client.reset();
        }
    }
    TestClient waiting{daemon->callerPort()};
    waiting.send(request("POST", "/v1/jobs", jobBody("b")));
    waitUntil([&] { return upstream.started() >= 2; });
    upstream.release();
    BOOST_TEST(waiting.read().result_int() == 200U);
    BOOST_TEST(ask(daemon->callerPort(), "POST", "/v1/jobs", jobBody("waiting")).result_int()
               == 200U);
    BOOST_TEST(upstream.started() == 2U);
    daemon->stop();
}

// Guards against a stop that waits for callers that send nothing, or half a request.
BOOST_AUTO_TEST_CASE(stopsWithUnfinishedConnections)
{
    auto settings = testSettings();
    settings.http.requestTimeout = std::chrono::hours{1};
    settings.http.idleTimeout = std::chrono::hours{1};
    auto daemon = app::Daemon::start(settings);
    BOOST_REQUIRE(daemon);
    const auto port = daemon.value()->callerPort();
    TestClient idle{port};
    TestClient kept{port};
    kept.send(request("POST", "/v1/tokens"));
    BOOST_TEST(kept.read().result_int() == 200U);
    TestClient halfHeader{port};
    halfHeader.send("POST /v1/jobs HT");
    TestClient halfBody{port};
    halfBody.send("POST /v1/jobs HTTP/1.1\r\nContent-Length: 100\r\n\r\n{");
    std::atomic<bool> stopped = false;
    TestClient slow{port};
    std::thread sender{[&] {
        slow.send("POST /v1/jobs HTTP/1.1\r\nContent-Length: 1000000\r\n\r\n");
        while (!stopped) {
            slow.send(" ");
            std::this_thread::sleep_for(std::chrono::milliseconds{1});
        }
    }};
    daemon.value()->stop();
    stopped = true;
    sender.join();
    BOOST_TEST(idle.ended());
    BOOST_TEST(kept.ended());
    BOOST_TEST(halfHeader.ended());
    BOOST_TEST(halfBody.ended());
}

// Guards against a stop that waits for a running job, and against a caller without an answer.
BOOST_AUTO_TEST_CASE(answersWaitingCallersOnAStopWithoutDrain)
{
    TestUpstream upstream{echo, true};
    const auto daemon = startWith(upstream);
    TestClient caller{daemon->callerPort()};
    caller.send(request("POST", "/v1/jobs", jobBody("a")));
    waitUntil([&] { return upstream.started() == 1; });
    daemon->stop();
    const auto answer = caller.read();
    BOOST_TEST(answer.result_int() == 504U);
    BOOST_TEST(answer["Connection"] == "close");
    BOOST_TEST(boost::json::parse(answer.body()).at("reason").as_string() == "home-lost");
}

BOOST_AUTO_TEST_SUITE_END()
