#include "rattandock/adapters/platform_client.hpp"

#include <atomic>
#include <boost/fiber/operations.hpp>
#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>
#include <future>
#include <map>

#include "rattandock/adapters/http_server.hpp"
#include "rattandock/adapters/system_clock.hpp"
#include "rattandock/adapters/vm_list_events.hpp"

using namespace rattandock;
using namespace rattandock::adapters;
namespace json = boost::json;

namespace {

/// A platform in this process; answers as its fields state. Each field is set before the calls.
class FakePlatform
{
public:
    FakePlatform()
        : m_server(HttpServer::listen(
                           m_threads, {boost::asio::ip::make_address("127.0.0.1"), 0}, {},
                           [this](const HttpRequest &request) { return serve(request); },
                           [](std::string_view) {})
                           .value())
    {
    }
    FakePlatform(const FakePlatform &) = delete;
    FakePlatform &operator=(const FakePlatform &) = delete;
    ~FakePlatform() { stop(); }

    void stop()
    {
        ended = true;
        if (m_server) {
            m_server->stop();
            m_server.reset();
        }
    }

    std::uint16_t port() const { return m_server->port(); }

    /// Replies that are held back after their request took effect, until the end.
    std::atomic<int> heldReplies = 0;
    /// Requests that are answered with 503 and have no effect.
    std::atomic<int> unavailableReplies = 0;
    /// A transaction waits for this before it takes effect.
    std::atomic<bool> mayStart = true;
    std::atomic<bool> ended = false;
    std::atomic<int> requests = 0;
    std::atomic<int> applied = 0;
    std::atomic<int> puts = 0;

private:
    static HttpResponse reply(unsigned status, std::string body)
    {
        HttpResponse response;
        response.status = status;
        response.body = std::move(body);
        return response;
    }

    HttpResponse serve(const HttpRequest &request)
    {
        ++requests;
        if (unavailableReplies > 0) {
            --unavailableReplies;
            return reply(503, "{}");
        }
        while (!mayStart && !ended) {
            boost::this_fiber::sleep_for(std::chrono::milliseconds{1});
        }
        HttpResponse response = route(request);
        if (heldReplies > 0) {
            --heldReplies;
            while (!ended) {
                boost::this_fiber::sleep_for(std::chrono::milliseconds{1});
            }
        }
        return response;
    }

    HttpResponse route(const HttpRequest &request)
    {
        if (request.path == "/table/transact") {
            const json::value body = json::parse(request.body);
            const std::string operation{body.at("operation").as_string()};
            const auto known = m_operations.find(operation);
            return known != m_operations.end() ? known->second
                                               : m_operations[operation] = transact(body);
        }
        if (request.path == "/table") {
            return reply(200, R"({"rows":[{"key":"a/1","value":"x","version":3}]})");
        }
        if (request.path == "/vms") {
            return reply(200, R"({"vms":[{"name":"u1","state":"live"},
                                         {"name":"u2","state":"leaving"}]})");
        }
        if (request.path.starts_with("/objects/")) {
            std::string &object = m_objects[request.path];
            if (request.method == "PUT") {
                ++puts;
                object = request.body;
            }
            return object.empty() ? reply(404, "{}") : reply(200, object);
        }
        if (request.path == "/table/broken") {
            return reply(200, R"({"key":"broken"})");
        }
        const auto row = m_rows.find(percentDecode(request.path.substr(7)));
        return row == m_rows.end()
                       ? reply(404, "{}")
                       : reply(200, json::serialize(json::object{{"key", row->first},
                                                                 {"value", row->second.first},
                                                                 {"version", row->second.second}}));
    }

    HttpResponse transact(const json::value &body)
    {
        json::array conflicts;
        for (const json::value &check : body.at("checks").as_array()) {
            const std::string key{check.at("key").as_string()};
            const auto row = m_rows.find(key);
            const std::uint64_t present = row == m_rows.end() ? 0 : row->second.second;
            if (check.at("version").to_number<std::uint64_t>() != present) {
                conflicts.push_back(json::object{{"key", key}, {"version", present}});
            }
        }
        if (!conflicts.empty()) {
            return reply(409, json::serialize(json::object{{"conflicts", conflicts}}));
        }
        ++applied;
        ++m_version;
        for (const json::value &write : body.at("writes").as_array()) {
            m_rows[std::string{write.at("key").as_string()}] = {
                    std::string{write.at("value").as_string()}, m_version};
        }
        return reply(200, json::serialize(json::object{{"version", m_version}}));
    }

    /// One thread, so that its fibers need no lock.
    IoThreads m_threads{1};
    std::uint64_t m_version = 0;
    std::map<std::string, std::pair<std::string, std::uint64_t>> m_rows;
    std::map<std::string, HttpResponse> m_operations;
    std::map<std::string, std::string> m_objects;
    std::unique_ptr<HttpServer> m_server;
};

PlatformClientOptions optionsFor(std::uint16_t port)
{
    PlatformClientOptions options;
    options.address = {boost::asio::ip::make_address("127.0.0.1"), port};
    options.tryTimeout = std::chrono::minutes{1};
    options.deadline = std::chrono::minutes{2};
    options.firstPause = std::chrono::milliseconds{1};
    options.seed = 20261204;
    return options;
}

struct Client
{
    explicit Client(const PlatformClientOptions &options)
        : platform(threads, clock, metrics, options)
    {
    }

    /// Runs the function on a fiber of an I/O thread and returns its result.
    template <typename Function>
    auto operator()(Function function)
    {
        std::promise<decltype(function(platform))> result;
        threads.spawn(0, [&] { result.set_value(function(platform)); });
        return result.get_future().get();
    }

    SystemClock clock;
    Metrics metrics;
    IoThreads threads{1};
    PlatformClient platform;
};

template <typename T>
T valueOf(PlatformResult<T> result)
{
    BOOST_REQUIRE(std::holds_alternative<PlatformDone<T>>(result));
    return std::get<PlatformDone<T>>(std::move(result)).value;
}

template <typename T>
std::string_view refusalOf(const PlatformResult<T> &result)
{
    BOOST_REQUIRE(std::holds_alternative<PlatformRefused>(result));
    return name(std::get<PlatformRefused>(result).reason);
}

PlatformTransaction writeOf(const std::string &operation, std::uint64_t expectedVersion)
{
    return {operation, {{"k /1", expectedVersion}}, {{"k /1", "value " + operation}}};
}

auto transacting(const PlatformTransaction &transaction)
{
    return [transaction](PlatformClient &it) { return it.transact(transaction); };
}

} // namespace

BOOST_AUTO_TEST_SUITE(PlatformClientTest)

// Guards against a request or a reply that is put together or taken apart wrongly.
BOOST_AUTO_TEST_CASE(readsAndWrites)
{
    FakePlatform fake;
    Client client{optionsFor(fake.port())};
    const auto read = [](PlatformClient &it) { return it.readRow("k /1"); };
    BOOST_TEST(!valueOf(client(read)).has_value());
    BOOST_TEST(valueOf(client(transacting(writeOf("o1", 0)))) == 1U);
    const auto row = valueOf(client(read));
    BOOST_REQUIRE(row.has_value());
    BOOST_TEST(row->key == "k /1");
    BOOST_TEST(row->value == "value o1");
    BOOST_TEST(row->version == 1U);
    const auto rows = valueOf(client([](PlatformClient &it) { return it.readPrefix("a/"); }));
    BOOST_REQUIRE(rows.size() == 1U);
    BOOST_TEST(rows[0].key == "a/1");
    const auto get = [](PlatformClient &it) { return it.getObject("snap 1"); };
    BOOST_TEST(!valueOf(client(get)).has_value());
    valueOf(client([](PlatformClient &it) { return it.putObject("snap 1", "body"); }));
    BOOST_TEST(valueOf(client(get)).value() == "body");
    BOOST_TEST(refusalOf(client([](PlatformClient &it) { return it.readRow("broken"); }))
               == "bad-reply");
}

// Guards against a conflict that is taken for a write, or without the present version.
BOOST_AUTO_TEST_CASE(tellsAConflict)
{
    FakePlatform fake;
    Client client{optionsFor(fake.port())};
    valueOf(client(transacting(writeOf("o1", 0))));
    const auto result = client(transacting(writeOf("o2", 7)));
    BOOST_REQUIRE(std::holds_alternative<PlatformConflict>(result));
    const auto &present = std::get<PlatformConflict>(result).present;
    BOOST_REQUIRE(present.size() == 1U);
    BOOST_TEST(present[0].key == "k /1");
    BOOST_TEST(present[0].version == 1U);
}

// Guards against a platform that is down and reported as in doubt, or called without end.
BOOST_AUTO_TEST_CASE(refusesWhileDownAndOpensTheCircuit)
{
    FakePlatform fake;
    PlatformClientOptions options = optionsFor(fake.port());
    fake.stop();
    options.maxRetries = 2;
    options.failuresToOpen = 4;
    options.openTime = std::chrono::hours{1};
    Client client{options};
    const auto write = transacting(writeOf("o1", 0));
    // One call and two retries; then there is no token left, and the fourth failure opens.
    BOOST_TEST(refusalOf(client(write)) == "unavailable");
    BOOST_TEST(refusalOf(client(write)) == "unavailable");
    BOOST_TEST(refusalOf(client(write)) == "circuit-open");
}

// Guards against a circuit that stays open after the platform came back.
BOOST_AUTO_TEST_CASE(closesTheCircuitAfterASuccess)
{
    FakePlatform fake;
    PlatformClientOptions options = optionsFor(fake.port());
    options.maxRetries = 0;
    options.failuresToOpen = 2;
    options.openTime = std::chrono::milliseconds{1};
    Client client{options};
    fake.unavailableReplies = 2;
    const auto read = [](PlatformClient &it) { return it.readRow("a"); };
    BOOST_TEST(refusalOf(client(read)) == "unavailable");
    BOOST_TEST(refusalOf(client(read)) == "unavailable");
    while (!std::holds_alternative<PlatformDone<std::optional<PlatformRow>>>(client(read))) {
        std::this_thread::yield();
    }
    BOOST_TEST(!valueOf(client(read)).has_value());
}

// Guards against a slow reply that is given up within its time.
BOOST_AUTO_TEST_CASE(waitsForASlowReply)
{
    FakePlatform fake;
    Client client{optionsFor(fake.port())};
    fake.mayStart = false;
    auto result =
            std::async(std::launch::async, [&] { return client(transacting(writeOf("o", 0))); });
    while (fake.requests == 0) {
        std::this_thread::yield();
    }
    fake.mayStart = true;
    BOOST_TEST(valueOf(result.get()) == 1U);
    BOOST_TEST(fake.requests == 1);
}

// Guards against a write that takes effect twice, or is given up, when its reply is lost.
BOOST_AUTO_TEST_CASE(readsBackATransactionAfterALostReply)
{
    FakePlatform fake;
    PlatformClientOptions options = optionsFor(fake.port());
    options.tryTimeout = std::chrono::milliseconds{500};
    Client client{options};
    fake.heldReplies = 1;
    BOOST_TEST(valueOf(client(transacting(writeOf("o1", 0)))) == 1U);
    BOOST_TEST(fake.applied == 1);
    BOOST_TEST(fake.requests == 2);
}

// Guards against "refused" for a write that took effect or may yet take effect.
BOOST_AUTO_TEST_CASE(tellsUnknownWhenTheDoubtStays)
{
    FakePlatform fake;
    PlatformClientOptions options = optionsFor(fake.port());
    options.tryTimeout = std::chrono::milliseconds{500};
    options.maxRetries = 1;
    options.failuresToOpen = 2;
    options.openTime = std::chrono::hours{1};
    Client client{options};
    fake.mayStart = false;
    const auto result = client(transacting(writeOf("o1", 0)));
    BOOST_TEST(std::holds_alternative<PlatformUnknown>(result));
    // The late requests take effect once; a write that came after that would get its result.
    fake.mayStart = true;
    while (fake.applied == 0) {
        std::this_thread::yield();
    }
    fake.stop();
    BOOST_TEST(fake.applied == 1);
}

// Guards against an object write that is repeated in doubt, or not read back.
BOOST_AUTO_TEST_CASE(readsBackAnObjectAfterALostReply)
{
    FakePlatform fake;
    PlatformClientOptions options = optionsFor(fake.port());
    options.tryTimeout = std::chrono::milliseconds{500};
    Client client{options};
    fake.heldReplies = 1;
    valueOf(client([](PlatformClient &it) { return it.putObject("s", "body"); }));
    BOOST_TEST(fake.requests == 2);
    BOOST_TEST(fake.puts == 1);
    fake.heldReplies = 2;
    options.maxRetries = 0;
    Client impatient{options};
    const auto doubtful = impatient([](PlatformClient &it) { return it.putObject("s", "new"); });
    BOOST_TEST(std::holds_alternative<PlatformUnknown>(doubtful));
    BOOST_TEST(fake.requests == 4);
}

// Guards against changes of the VM list that are missed, repeated or made up.
BOOST_AUTO_TEST_CASE(vmListBecomesEvents)
{
    struct Seen final : ports::EventSink
    {
        void post(core::Event event) override
        {
            const auto &it = std::get<core::UpstreamStateReported>(event);
            text += it.upstream.value() + ':' + std::to_string(static_cast<int>(it.life)) + ' ';
        }
        std::string text;
    } seen;
    FakePlatform fake;
    Client client{optionsFor(fake.port())};
    const auto list = valueOf(client([](PlatformClient &it) { return it.listVms(); }));
    VmListEvents events{seen};
    events.update(list);
    BOOST_TEST(seen.text == "u1:0 u2:1 ");
    events.update(list);
    events.update({{"u1", core::UpstreamLife::Leaving}});
    BOOST_TEST(seen.text == "u1:0 u2:1 u1:1 u2:2 ");
}

BOOST_AUTO_TEST_SUITE_END()
