#include "standins/platform/standin_platform.hpp"

#include <boost/test/unit_test.hpp>

#include "standins/platform/platform_settings.hpp"

using namespace rattandock;
using namespace rattandock::standins;
using namespace std::chrono_literals;
using adapters::HttpRequest;
using adapters::HttpResponse;

namespace {

struct VirtualClock final : ports::Clock
{
    TimePoint now() const override { return time; }
    TimePoint time{1000s};
};

struct Fixture
{
    HttpResponse send(const std::string &method, const std::string &path,
                      const std::string &body = "", const std::string &query = "")
    {
        HttpRequest request;
        request.method = method;
        request.path = path;
        request.query = query;
        request.body = body;
        return platform.serve(request);
    }

    HttpResponse write(const std::string &operation, const std::string &key,
                       const std::string &value)
    {
        return send("POST", "/table/transact",
                    R"({"operation":")" + operation + R"(","writes":[{"key":")" + key
                            + R"(","value":")" + value + R"("}]})");
    }

    VirtualClock clock;
    StandinPlatform platform{{{4, 100, 3}, 20}, clock, "[]"};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(StandinPlatformTest, Fixture)

// Guards against a write that a reader does not see, or a version that is reused after a delete.
BOOST_AUTO_TEST_CASE(readsWhatWasWritten)
{
    BOOST_TEST(write("a", "k/1", "x").body == "{\"applied\":true,\"version\":1}\n");
    BOOST_TEST(send("GET", "/table/k%2F1").body
               == "{\"key\":\"k/1\",\"value\":\"x\",\"version\":1}\n");
    const std::string remove = R"({"operation":"b","writes":[{"key":"k/1","value":null}]})";
    BOOST_TEST(send("POST", "/table/transact", remove).status == 200U);
    BOOST_TEST(send("GET", "/table/k%2F1").status == 404U);
    BOOST_TEST(write("c", "k/1", "x").body == "{\"applied\":true,\"version\":3}\n");
}

// Guards against a prefix read with rows of another prefix.
BOOST_AUTO_TEST_CASE(readsByPrefix)
{
    write("a", "k/1", "x");
    write("b", "k/2", "y");
    write("c", "l/1", "z");
    BOOST_TEST(send("GET", "/table", "", "prefix=k%2F").body
               == "{\"rows\":[{\"key\":\"k/1\",\"value\":\"x\",\"version\":1},"
                  "{\"key\":\"k/2\",\"value\":\"y\",\"version\":2}]}\n");
}

// Guards against two racing transactions that both win, or a lost one that writes in part.
BOOST_AUTO_TEST_CASE(appliesNothingWhenACheckFails)
{
    const std::string body = R"(","checks":[{"key":"k","version":0}],
        "writes":[{"key":"k","value":"1"},{"key":"m","value":"1"}]})";
    BOOST_TEST(send("POST", "/table/transact", R"({"operation":"a)" + body).status == 200U);
    const HttpResponse lost = send("POST", "/table/transact", R"({"operation":"b)" + body);
    BOOST_TEST(lost.status == 409U);
    BOOST_TEST(lost.body == "{\"applied\":false,\"conflicts\":[{\"key\":\"k\",\"version\":1}]}\n");
    BOOST_TEST(send("GET", "/table/m").body.find("\"version\":1") != std::string::npos);
}

// Guards against a repeated operation that is applied twice, and a reused id that passes as one.
BOOST_AUTO_TEST_CASE(repeatsTheResultOfAnOperation)
{
    write("a", "k", "1");
    write("b", "k", "2");
    BOOST_TEST(write("a", "k", "1").body == "{\"applied\":true,\"version\":1}\n");
    BOOST_TEST(send("GET", "/table/k").body.find("\"value\":\"2\"") != std::string::npos);
    BOOST_TEST(write("a", "k", "3").status == 422U);
}

// Guards against memory that grows without bound.
BOOST_AUTO_TEST_CASE(keepsItsBounds)
{
    for (const std::string key : {"1", "2", "3", "4"}) {
        BOOST_TEST(write("o" + key, key, "x").status == 200U);
    }
    BOOST_TEST(write("o5", "5", "x").status == 507U);
    BOOST_TEST(write("o6", "4", std::string(100, 'x')).status == 507U);
    BOOST_TEST(send("GET", "/table/5").status == 404U);
    // Only three operation ids are kept, so the first is applied anew.
    BOOST_TEST(write("o1", "1", "x").body == "{\"applied\":true,\"version\":5}\n");
    BOOST_TEST(send("PUT", "/objects/a", std::string(19, 'x')).status == 200U);
    BOOST_TEST(send("PUT", "/objects/b", "x").status == 507U);
    BOOST_TEST(send("GET", "/objects/a").body == std::string(19, 'x'));
    BOOST_TEST(send("GET", "/objects/b").status == 404U);
}

// Guards against an outage during which writes take effect, or that cannot be ended.
BOOST_AUTO_TEST_CASE(downHasNoEffectAndNoReply)
{
    send("POST", "/faults", R"({"down": true})");
    BOOST_TEST(write("a", "k", "1").resetConnection);
    BOOST_TEST(send("GET", "/vms").resetConnection);
    const HttpResponse ended = send("POST", "/faults", R"({"down": false})");
    BOOST_TEST(!ended.resetConnection);
    BOOST_TEST(send("GET", "/table/k").status == 404U);
}

// Guards against a lost reply whose write had no effect, and against lost reads.
BOOST_AUTO_TEST_CASE(loseRepliesAppliesTheWrite)
{
    send("POST", "/faults", R"({"loseReplies": true})");
    BOOST_TEST(write("a", "k", "1").resetConnection);
    BOOST_TEST(send("PUT", "/objects/n", "body").resetConnection);
    BOOST_TEST(!send("GET", "/table/k").resetConnection);
    send("POST", "/faults", R"({"loseReplies": false})");
    BOOST_TEST(send("GET", "/table/k").status == 200U);
    BOOST_TEST(send("GET", "/objects/n").body == "body");
    BOOST_TEST(write("a", "k", "1").body == "{\"applied\":true,\"version\":1}\n");
}

// Guards against a delay that is not applied or that keeps the process from stopping.
BOOST_AUTO_TEST_CASE(slowWaitsUntilItStops)
{
    send("POST", "/faults", R"({"slowMs": 30})");
    const auto begin = std::chrono::steady_clock::now();
    BOOST_TEST(send("GET", "/vms").status == 200U);
    BOOST_TEST((std::chrono::steady_clock::now() - begin >= 30ms));
    send("POST", "/faults", R"({"slowMs": 60000})");
    platform.stop();
    BOOST_TEST(send("GET", "/vms").status == 200U);
}

// Guards against a list that does not lag, or that lags for ever.
BOOST_AUTO_TEST_CASE(listLagShowsThePast)
{
    send("PUT", "/vms", R"([{"name":"v1"}])");
    clock.time += 10s;
    send("PUT", "/vms", R"([{"name":"v2"}])");
    send("POST", "/faults", R"({"listLagMs": 3000})");
    clock.time += 2s;
    BOOST_TEST(send("GET", "/vms").body == "{\"vms\":[{\"name\":\"v1\"}]}\n");
    clock.time += 1s;
    BOOST_TEST(send("GET", "/vms").body == "{\"vms\":[{\"name\":\"v2\"}]}\n");
}

// Guards against input that is passed over or applied in part.
BOOST_AUTO_TEST_CASE(rejectsBadInputWhole)
{
    BOOST_TEST(send("POST", "/faults", R"({"down": true, "slow": 1})").status == 400U);
    BOOST_TEST(!send("GET", "/vms").resetConnection);
    const HttpResponse twice = send("POST", "/table/transact", R"({"operation":"a","writes":
        [{"key":"k","value":"1"},{"key":"k","value":"2"}]})");
    BOOST_TEST(twice.status == 400U);
    BOOST_TEST(twice.body.find("$.writes[1].key") != std::string::npos);
    BOOST_TEST(send("PUT", "/vms", "{}").status == 400U);
    const auto settings = parsePlatformSettings(R"({"address": "10.0.0.1", "prot": 1})", "a.json");
    BOOST_REQUIRE(!settings);
    BOOST_TEST(settings.error().items().size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
