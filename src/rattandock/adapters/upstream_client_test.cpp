#include "rattandock/adapters/upstream_client.hpp"

#include <boost/fiber/operations.hpp>
#include <boost/test/unit_test.hpp>
#include <condition_variable>
#include <mutex>

#include "rattandock/adapters/http_server.hpp"
#include "rattandock/adapters/system_clock.hpp"

using namespace rattandock;
using namespace rattandock::adapters;
using namespace std::chrono_literals;

namespace {

/// Keeps the ends of attempts and lets a test wait for them.
class EndedAttempts final : public ports::EventSink
{
public:
    void post(core::Event event) override
    {
        const std::lock_guard lock{m_mutex};
        m_ended.push_back(std::get<core::AttemptEnded>(std::move(event)));
        m_changed.notify_all();
    }

    core::AttemptEnded waitForOne()
    {
        std::unique_lock lock{m_mutex};
        m_changed.wait(lock, [this] { return !m_ended.empty(); });
        core::AttemptEnded ended = std::move(m_ended.front());
        m_ended.erase(m_ended.begin());
        return ended;
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<core::AttemptEnded> m_ended;
};

/// One upstream that answers on request of the test, and a client for it.
struct Fixture
{
    Fixture()
        : server(std::move(HttpServer::listen(
                                   threads, {boost::asio::ip::make_address("127.0.0.1"), 0}, {},
                                   [this](const HttpRequest &request) { return serve(request); },
                                   [](std::string_view) {})
                                   .value()))
        , client(threads, clock, ended, {},
                 {{UpstreamId{"u1"}, {boost::asio::ip::make_address("127.0.0.1"), server->port()}}})
    {
    }

    ~Fixture()
    {
        mayAnswer = true;
        client.shutDown();
        server->stop();
    }

    HttpResponse serve(const HttpRequest &request)
    {
        ++started;
        while (!mayAnswer) {
            boost::this_fiber::sleep_for(1ms);
        }
        const std::string &attempt = request.header("Rattandock-Attempt");
        return {200, request.body, {{"Rattandock-Attempt", crossReplies ? "0" : attempt}}};
    }

    core::StartTask task(std::uint64_t attempt) const
    {
        const TimePoint now = clock.now();
        return {AttemptId{attempt}, JobId{"job"}, TaskIndex{0}, UpstreamId{"u1"}, 1ms,
                "payload",          now + 60s,    now + 60s};
    }

    SystemClock clock;
    EndedAttempts ended;
    IoThreads threads{2};
    std::atomic<int> started = 0;
    std::atomic<bool> mayAnswer = false;
    std::atomic<bool> crossReplies = false;
    std::unique_ptr<HttpServer> server;
    UpstreamClient client;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(UpstreamClientTest, Fixture)

// Guards against freeing the slot of a task that the upstream still runs after its job has ended:
// the next task there would be refused.
BOOST_AUTO_TEST_CASE(stoppedAttemptEndsWithTheReply)
{
    client.start(task(1));
    while (started == 0) {
        std::this_thread::yield();
    }
    client.stop({AttemptId{1}, UpstreamId{"u1"}});
    mayAnswer = true;
    BOOST_TEST(std::holds_alternative<core::AttemptCompleted>(ended.waitForOne().result));
}

// Guards against a request that is sent although its time has passed.
BOOST_AUTO_TEST_CASE(lateAttemptIsNotSent)
{
    core::StartTask late = task(1);
    late.sendBy = clock.now() - 1ms;
    client.start(std::move(late));
    BOOST_TEST(std::holds_alternative<core::AttemptNotStarted>(ended.waitForOne().result));
    BOOST_TEST(started == 0);
}

// Guards against taking the reply to another attempt as this attempt's result.
BOOST_AUTO_TEST_CASE(crossedReplyIsNoResult)
{
    mayAnswer = true;
    crossReplies = true;
    client.start(task(1));
    const auto result = ended.waitForOne().result;
    BOOST_REQUIRE(std::holds_alternative<core::AttemptFailed>(result));
    BOOST_TEST(
            (std::get<core::AttemptFailed>(result).reason == core::AttemptFailure::CrossedReply));
}

BOOST_AUTO_TEST_SUITE_END()
