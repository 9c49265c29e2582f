#include "rattandock/app/fleet_api.hpp"

#include <boost/fiber/fiber.hpp>
#include <boost/json/parse.hpp>
#include <boost/test/unit_test.hpp>

#include "rattandock/adapters/system_clock.hpp"
#include "rattandock/app/configuration_json.hpp"

using namespace rattandock;
using namespace rattandock::app;

namespace {

/// No upstream can be reached.
class NoUpstreams final : public ports::UpstreamOrders
{
public:
    ports::StartReply start(const boost::asio::ip::tcp::endpoint & /*upstream*/,
                            const fleet::StartOrder & /*order*/) override
    {
        return {fleet::OrderResult::NotSent, std::nullopt};
    }
    fleet::OrderResult stop(const boost::asio::ip::tcp::endpoint & /*upstream*/,
                            const fleet::StopOrder & /*order*/) override
    {
        return fleet::OrderResult::NotSent;
    }
    ports::LookReply look(const boost::asio::ip::tcp::endpoint & /*upstream*/,
                          const fleet::PollOrder & /*order*/) override
    {
        return fleet::OrderResult::NotSent;
    }
    bool isReachable(const boost::asio::ip::tcp::endpoint & /*upstream*/) override { return false; }
    void release(const boost::asio::ip::tcp::endpoint & /*upstream*/) override { }
};

struct Fixture
{
    static CallerFormat format()
    {
        const auto withStatus = [](unsigned status) {
            return [status](const auto &...) { return adapters::HttpResponse{status, {}, {}}; };
        };
        CallerFormat format;
        format.encodeNoConfiguration = withStatus(503);
        format.encodeUnknownQueue = withStatus(404);
        format.encodeWaiting = withStatus(200);
        format.encodeBadSubmission = withStatus(400);
        return format;
    }
    void configure(std::uint64_t version, const std::string &prefix)
    {
        fleet::QueueSpec queue;
        queue.host = "h";
        queue.pathPrefix = prefix;
        api.configure({ConfigurationVersion{version}, {queue}});
    }
    unsigned statusOf(const std::string &path)
    {
        adapters::HttpRequest request;
        request.method = "GET";
        request.path = path;
        request.headers.emplace_back("Host", "h:80");
        return api.serveCaller(request).status;
    }
    std::int64_t versionInForce()
    {
        adapters::HttpRequest request;
        request.method = "GET";
        request.path = "/v1/status";
        const auto status = boost::json::parse(api.serveOperator(request).body);
        return status.at("configurationVersion").to_number<std::int64_t>();
    }

    adapters::IoThreads threads{1};
    adapters::SystemClock clock;
    adapters::Metrics metrics;
    EventHistory history{metrics};
    NoUpstreams orders;
    FleetLoop loop{threads, clock, {}, orders, history};
    FleetApi api{loop, history, metrics, format(), VmId{"a"}, std::chrono::seconds{5}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(FleetApiTest, Fixture)

// Guards against a configuration that goes back to an older version, because the whole table was
// read again after its history was lost, or because a stale read arrived after a newer one.
BOOST_AUTO_TEST_CASE(neverGoesBackToAnOlderConfiguration)
{
    BOOST_TEST(statusOf("/new/") == 503U);
    configure(18, "/new/");
    BOOST_TEST(versionInForce() == 18);
    BOOST_TEST(statusOf("/new/") == 200U);
    for (const std::uint64_t version : {1U, 15U, 17U, 18U}) {
        configure(version, "/old/");
        BOOST_TEST(versionInForce() == 18);
        BOOST_TEST(statusOf("/new/") == 200U);
        BOOST_TEST(statusOf("/old/") == 404U);
    }
    configure(19, "/newest/");
    BOOST_TEST(versionInForce() == 19);
    BOOST_TEST(statusOf("/newest/") == 200U);
    BOOST_TEST(statusOf("/new/") == 404U);
}

// Guards against ids of any length, which the history of decisions keeps after the jobs.
BOOST_AUTO_TEST_CASE(refusesLongJobIds)
{
    configure(1, "/jobs/");
    adapters::HttpRequest request;
    request.method = "POST";
    request.path = "/jobs/" + std::string(65, 'i');
    request.headers.emplace_back("Host", "h");
    BOOST_TEST(api.serveCaller(request).status == 400U);
}

// Guards against an operator who compares with something else than what is in force: an answer
// before there is a configuration, or one that mixes two versions because the second came into
// force while the first was written.
BOOST_AUTO_TEST_CASE(answersTheConfigurationInForce)
{
    const auto answer = [&] {
        adapters::HttpRequest request;
        request.method = "GET";
        request.path = "/v1/configuration";
        return api.serveOperator(request);
    };
    BOOST_TEST(answer().status == 404U);
    fleet::FleetConfig first{ConfigurationVersion{3}, {}};
    for (std::uint32_t n = 0; n < 1'000; ++n) {
        fleet::QueueSpec &queue = first.queues.emplace_back();
        queue.id = fleet::QueueId{std::to_string(n)};
        queue.priority = n;
    }
    api.configure(first);
    bool isReplaced = false;
    boost::fibers::fiber replacing{[&] {
        configure(4, "/new/");
        isReplaced = true;
    }};
    const auto body = answer().body;
    // The writer was suspended in between.
    BOOST_TEST(isReplaced);
    replacing.join();
    const auto read = parseConfiguration(body);
    BOOST_REQUIRE(read);
    BOOST_TEST((read.value().version == first.version));
    BOOST_TEST((read.value().queues == first.queues));
    BOOST_TEST(parseConfiguration(answer().body).value().queues.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
