#include <boost/json/parse.hpp>
#include <boost/test/unit_test.hpp>

#include "detail/test_client.hpp"
#include "rattandock/app/daemon.hpp"

using namespace rattandock;
using namespace rattandock::app::test;

namespace {

struct Case
{
    std::string name;
    std::string bytes;
    unsigned status;
    /// Label of the counter.
    std::string reason;
    /// Text that the answer must have: the field or the limit.
    std::string named;
    bool endSending = false;
};

std::string job(std::string_view tasks, std::string_view more = {})
{
    return R"({"id":"k","deadlineMs":1000,"tasks":)" + std::string{tasks} + std::string{more} + '}';
}

std::string post(std::string_view body)
{
    return request("POST", "/v1/jobs", body);
}

std::string repeated(std::string_view text, std::size_t n)
{
    std::string all;
    for (std::size_t k = 0; k < n; ++k) {
        all += text;
    }
    return all;
}

std::string manyTasks(std::size_t n)
{
    std::string tasks = "[";
    for (std::size_t k = 0; k < n; ++k) {
        tasks += R"({"payload":"p"},)";
    }
    tasks.back() = ']';
    return tasks;
}

std::string chunked(std::size_t chunks)
{
    return "POST /v1/jobs HTTP/1.1\r\nHost: t\r\nTransfer-Encoding: chunked\r\n\r\n"
           + repeated("400\r\n" + std::string(1024, 'x') + "\r\n", chunks) + "0\r\n\r\n";
}

std::vector<Case> jsonCases()
{
    const auto bad = [](std::string name, const std::string &body, std::string named) {
        return Case{std::move(name), post(body), 400, "bad-job", std::move(named)};
    };
    return {
            bad("no body", "", "$"),
            bad("malformed JSON", R"({"id":"k",)", "is not valid JSON at byte"),
            bad("text after the document", job("[{\"payload\":\"\"}]") + "x", "$"),
            bad("not an object", "[]", "must be an object"),
            bad("deep nesting", repeated("[", 10'000), "deeper than 8 levels"),
            bad("too many values", job('[' + repeated("1,", 10'000) + "1]"),
                "has more than 3264 values"),
            bad("wrong type of id", R"({"id":1,"deadlineMs":1,"tasks":[{"payload":""}]})", "$.id"),
            bad("wrong type of tasks", job("7"), "$.tasks"),
            bad("wrong type of a task", job("[7]"), "$.tasks[0]"),
            bad("wrong type of payload", job(R"([{"payload":[]}])"), "$.tasks[0].payload"),
            bad("wrong type of estimateMs", job(R"([{"payload":"","estimateMs":1.5}])"),
                "$.tasks[0].estimateMs"),
            bad("negative cores", job(R"([{"payload":"","cores":-1}])"), "$.tasks[0].cores"),
            bad("number out of range",
                R"({"id":"k","deadlineMs":99999999999999999999,"tasks":[{"payload":""}]})",
                "$.deadlineMs"),
            bad("deadline over the bound",
                R"({"id":"k","deadlineMs":60001,"tasks":[{"payload":""}]})", "from 1 to 60000"),
            bad("missing keys", "{}", "$.deadlineMs"),
            bad("unknown key", job(R"([{"payload":""}])", R"(,"priority":1)"), "$.priority"),
            bad("unknown key of a task", job(R"([{"payload":"","x":1}])"), "$.tasks[0].x"),
            bad("long unknown key",
                job(R"([{"payload":""}])", ",\"" + std::string(100'000, 'k') + "\":1"),
                std::string(64, 'k') + "..."),
            bad("no tasks", job("[]"), "$.tasks"),
            bad("too many tasks", job(manyTasks(201)), "from 1 to 200 items"),
            bad("oversize payload", job("[{\"payload\":\"" + std::string(65'537, 'p') + "\"}]"),
                "from 0 to 65536 bytes"),
            bad("duplicate key", job(R"([{"payload":""}])", R"(,"id":"k2")"), "$.id"),
            bad("duplicate key with an escape", job(R"([{"payload":"","p\u0061yload":""}])"),
                "$.tasks[0].payload"),
            bad("invalid UTF-8 in a value", job("[{\"payload\":\"\xff\"}]"), "is not valid JSON"),
            bad("overlong UTF-8", job("[{\"payload\":\"\xc0\x80\"}]"), "is not valid JSON"),
            bad("lone surrogate escape", job(R"([{"payload":"\ud800"}])"), "is not valid JSON"),
            bad("invalid UTF-8 in a key", job("[{\"payload\":\"\",\"\xfe\":1}]"),
                "is not valid JSON"),
            bad("long id",
                R"({"id":")" + std::string(301, 'i')
                        + R"(","deadlineMs":1,"tasks":[{"payload":""}]})",
                "from 1 to 300 bytes"),
    };
}

std::vector<Case> httpCases()
{
    return {
            {"unknown route", request("GET", "/v1/nothing"), 404, "unknown-route", "path"},
            {"wrong method", request("PUT", "/v1/jobs", "{}"), 405, "method-not-allowed", "POST"},
            {"unheard-of method", request("BREW", "/v1/tokens"), 405, "method-not-allowed", "POST"},
            {"job without id", request("GET", "/v1/jobs/"), 404, "unknown-route", "path"},
            {"escape without digits", request("GET", "/v1/jobs/a%zz"), 400, "bad-escape", "id"},
            {"escape cut short", request("GET", "/v1/jobs/a%2"), 400, "bad-escape", "id"},
            {"escape that is not UTF-8", request("DELETE", "/v1/jobs/%ff"), 400, "bad-escape",
             "id"},
            {"unknown job", request("GET", "/v1/jobs/none"), 404, "unknown-job", "id"},
            {"no HTTP at all", "\x16\x03\x01 hello\r\n\r\n", 400, "malformed", "HTTP/1.1"},
            {"no version", "GET /v1/jobs\r\n\r\n", 400, "malformed", "HTTP/1.1"},
            {"unknown version", "GET / HTTP/9.9\r\n\r\n", 400, "malformed", "HTTP/1.1"},
            {"bad header line", "GET / HTTP/1.1\r\nno colon\r\n\r\n", 400, "malformed", "HTTP/1.1"},
            {"bad content length", "POST /v1/jobs HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400,
             "malformed", "HTTP/1.1"},
            {"two content lengths",
             "POST /v1/jobs HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400,
             "malformed", "HTTP/1.1"},
            {"bad chunk size", "POST /v1/jobs HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
             400, "malformed", "HTTP/1.1"},
            {"large headers", "GET / HTTP/1.1\r\nX: " + std::string(20'000, 'x') + "\r\n\r\n", 431,
             "header-too-large", "16384"},
            {"long request line", "GET /" + std::string(20'000, 'x') + " HTTP/1.1\r\n\r\n", 431,
             "header-too-large", "16384"},
            {"many headers", "GET / HTTP/1.1\r\n" + repeated("X: 1\r\n", 4'000) + "\r\n", 431,
             "header-too-large", "16384"},
            {"large body", post(std::string(70'000, 'x')), 413, "body-too-large", "65536"},
            {"large chunked body", chunked(80), 413, "body-too-large", "65536"},
            {"large declared body", "POST /v1/jobs HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n",
             413, "body-too-large", "65536"},
            {"truncated headers", "POST /v1/jobs HTTP/1.1\r\nHo", 400, "truncated", "ended before",
             true},
            {"truncated body", "POST /v1/jobs HTTP/1.1\r\nContent-Length: 9\r\n\r\n{}", 400,
             "truncated", "ended before", true},
            {"slow sender", "POST /v1/jobs HTTP/1.1\r\nContent-Length: 9\r\n\r\n{}", 408,
             "slow-sender", "300 ms"},
    };
}

/// Sends each case on a connection of its own and checks the answer and the counter.
void checkAll(const std::vector<Case> &cases, const adapters::Settings &settings)
{
    auto daemon = app::Daemon::start(settings);
    BOOST_REQUIRE(daemon);
    const auto port = daemon.value()->callerPort();
    const auto operatorPort = daemon.value()->operatorPort();
    BOOST_REQUIRE(!cases.empty());
    for (const Case &it : cases) {
        BOOST_TEST_CONTEXT(it.name)
        {
            const std::string sample =
                    "rattandock_bad_requests_total{reason=\"" + it.reason + "\"}";
            const double before = std::max(0.0, metric(operatorPort, sample));
            TestClient client{port};
            client.send(it.bytes);
            if (it.endSending) {
                client.endSending();
            }
            const auto answer = client.read();
            BOOST_TEST(answer.result_int() == it.status);
            BOOST_TEST(answer.body().find(it.named) != std::string::npos, answer.body());
            BOOST_TEST(answer.body().size() < 8192U);
            boost::json::error_code ec;
            const auto body = boost::json::parse(answer.body(), ec);
            BOOST_REQUIRE(!ec);
            BOOST_TEST(body.at("error").as_string() == it.reason);
            BOOST_TEST(metric(operatorPort, sample) == before + 1);
        }
    }
    daemon.value()->stop();
}

} // namespace

BOOST_AUTO_TEST_SUITE(BadInputTest)

// Guards against a bad job that is accepted, or refused without the field or the limit.
BOOST_AUTO_TEST_CASE(refusesBadJobs)
{
    checkAll(jsonCases(), testSettings());
}

// Guards against a bad request that is answered late, unclearly or not at all, or not counted.
BOOST_AUTO_TEST_CASE(refusesBadRequests)
{
    auto settings = testSettings();
    settings.http.requestTimeout = std::chrono::milliseconds{300};
    settings.http.maxBodyBytes = 64U << 10U;
    checkAll(httpCases(), settings);
}

// Guards against an answer that grows with the number of faults in the body.
BOOST_AUTO_TEST_CASE(boundsTheFindings)
{
    auto daemon = app::Daemon::start(testSettings());
    BOOST_REQUIRE(daemon);
    const auto answer = ask(daemon.value()->callerPort(), "POST", "/v1/jobs",
                            job('[' + repeated("{},", 199) + "{}]"));
    BOOST_TEST(answer.result_int() == 400U);
    const auto body = boost::json::parse(answer.body());
    BOOST_TEST(body.at("findings").as_array().size() == 20U);
    BOOST_TEST(body.at("findingsOmitted").to_number<int>() == 180);
    daemon.value()->stop();
}

// Guards against a team that is refused only after the decision thread has seen the job, and
// against refusing jobs without a team.
BOOST_AUTO_TEST_CASE(refusesUnknownTeams)
{
    auto settings = testSettings();
    settings.teams.push_back({TeamId{"known"}});
    const std::vector<Case> cases{{"unknown team",
                                   post(job(R"([{"payload":""}])", R"(,"team":"other")")), 400,
                                   "unknown-team", "$.team"}};
    checkAll(cases, settings);
    auto daemon = app::Daemon::start(settings);
    BOOST_REQUIRE(daemon);
    const auto port = daemon.value()->callerPort();
    const std::string task = R"([{"payload":""}])";
    for (const auto *team : {R"(,"team":"known")", R"(,"team":"")", ""}) {
        BOOST_TEST(ask(port, "POST", "/v1/jobs", job(task, team)).result_int() != 400U);
    }
    daemon.value()->stop();
}

// Guards against a wrong method without the methods that are right.
BOOST_AUTO_TEST_CASE(namesTheAllowedMethods)
{
    auto daemon = app::Daemon::start(testSettings());
    BOOST_REQUIRE(daemon);
    const auto answer = ask(daemon.value()->callerPort(), "POST", "/v1/jobs/k");
    BOOST_TEST(answer["Allow"] == "GET, DELETE");
    daemon.value()->stop();
}

BOOST_AUTO_TEST_SUITE_END()
