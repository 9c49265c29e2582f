#include "rattandock/adapters/http_server.hpp"

#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <mutex>
#include <vector>

using namespace rattandock;
using namespace rattandock::adapters;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::size_t bodyBytes = 100'000;

/// A server that answers each request with the size of its body.
struct Fixture
{
    explicit Fixture(HttpServerLimits with = {})
        : limits(with)
    {
    }
    ~Fixture() { server->stop(); }

    /// Waits until the server holds this many bodies, each a byte short.
    void waitForBodies(std::size_t n) const
    {
        // Parts of each body are not charged.
        while (server->bufferedBytes() < n * bodyBytes * 9 / 10) {
            std::this_thread::sleep_for(std::chrono::milliseconds{1});
        }
    }
    std::size_t seen(std::string_view reason)
    {
        const std::lock_guard lock{mutex};
        return static_cast<std::size_t>(std::ranges::count(reasons, reason));
    }

    HttpServerLimits limits;
    IoThreads threads{1};
    std::mutex mutex;
    std::vector<std::string> reasons;
    std::unique_ptr<HttpServer> server =
            std::move(HttpServer::listen(
                              threads, {asio::ip::make_address("127.0.0.1"), 0}, limits,
                              [](const HttpRequest &request) {
                                  return HttpResponse{200, std::to_string(request.body.size()), {}};
                              },
                              [this](std::string_view reason) {
                                  const std::lock_guard lock{mutex};
                                  reasons.emplace_back(reason);
                              })
                              .value());
};

class Client
{
public:
    explicit Client(const Fixture &of)
    {
        m_socket.connect({asio::ip::make_address("127.0.0.1"), of.server->port()});
    }

    void send(const std::string &text) { asio::write(m_socket, asio::buffer(text)); }
    /// What the server sends until it closes the connection.
    std::string receive()
    {
        std::string text;
        boost::system::error_code ec;
        asio::read(m_socket, asio::dynamic_buffer(text), ec);
        return text;
    }

private:
    asio::io_context m_io;
    tcp::socket m_socket{m_io};
};

std::string post(std::size_t announced, std::size_t sent)
{
    return "POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: "
           + std::to_string(announced) + "\r\n\r\n" + std::string(sent, 'x');
}

bool isAnswer(const std::string &text, unsigned status)
{
    return text.starts_with("HTTP/1.1 " + std::to_string(status));
}

/// Room for two incomplete bodies of `bodyBytes`.
HttpServerLimits smallBudget()
{
    HttpServerLimits limits;
    limits.maxBodyBytes = bodyBytes;
    limits.maxBufferedBytes = 2 * bodyBytes;
    return limits;
}

} // namespace

BOOST_AUTO_TEST_SUITE(HttpServerTest)

// Guards against incomplete requests that are bounded each alone and exhaust the memory together.
BOOST_AUTO_TEST_CASE(evictsTheRequestThatStalledFirst)
{
    Fixture fixture{smallBudget()};
    Client first{fixture};
    first.send(post(bodyBytes, bodyBytes - 1));
    fixture.waitForBodies(1);
    Client second{fixture};
    second.send(post(bodyBytes, bodyBytes - 1));
    fixture.waitForBodies(2);
    Client third{fixture};
    third.send(post(bodyBytes, bodyBytes - 1));
    const std::string refusal = first.receive();
    BOOST_TEST((refusal.empty() || isAnswer(refusal, 503)));
    third.send("x");
    BOOST_TEST(isAnswer(third.receive(), 200));
    BOOST_TEST(fixture.seen("evicted") >= 1U);
}

// Guards against a budget that is used up keeping out ordinary requests.
BOOST_AUTO_TEST_CASE(servesSmallRequestsBesideStalledOnes)
{
    Fixture fixture{smallBudget()};
    std::vector<std::unique_ptr<Client>> stalled;
    for (int n = 0; n < 10; ++n) {
        stalled.push_back(std::make_unique<Client>(fixture));
        stalled.back()->send(post(bodyBytes, bodyBytes - 1));
    }
    Client client{fixture};
    client.send(post(4000, 4000));
    BOOST_TEST(isAnswer(client.receive(), 200));
}

// Guards against a budget below the limit of one body, which would refuse it also in calm.
BOOST_AUTO_TEST_CASE(servesOneRequestOfTheLargestSize)
{
    HttpServerLimits limits = smallBudget();
    limits.maxBufferedBytes = bodyBytes / 10;
    Fixture fixture{limits};
    for (int n = 0; n < 3; ++n) {
        Client client{fixture};
        client.send(post(bodyBytes, bodyBytes));
        BOOST_TEST(isAnswer(client.receive(), 200));
    }
}

// Guards against idle clients that take all connections and keep others out.
BOOST_AUTO_TEST_CASE(closesTheConnectionThatIsIdleLongestForANewOne)
{
    HttpServerLimits limits;
    limits.maxConnections = 3;
    Fixture fixture{limits};
    std::vector<std::unique_ptr<Client>> idle;
    for (int n = 0; n < 20; ++n) {
        idle.push_back(std::make_unique<Client>(fixture));
    }
    Client client{fixture};
    client.send(post(10, 10));
    BOOST_TEST(isAnswer(client.receive(), 200));
    BOOST_TEST(idle.front()->receive().empty());
    BOOST_TEST(fixture.seen("evicted") >= 1U);
    BOOST_TEST(fixture.seen("too-many-connections") == 0U);
}

// Guards against limits that are replaced and not applied.
BOOST_AUTO_TEST_CASE(appliesNewLimitsToTheNextRequest)
{
    Fixture fixture;
    RequestLimits limits;
    limits.maxBodyBytes = 99;
    fixture.server->setRequestLimits(limits);
    Client large{fixture};
    large.send(post(100, 100));
    BOOST_TEST(isAnswer(large.receive(), 413));
    Client client{fixture};
    client.send(post(99, 99));
    BOOST_TEST(isAnswer(client.receive(), 200));
}

// Guards against many short header fields, which take a multiple of their size.
BOOST_AUTO_TEST_CASE(refusesTooManyHeaderFields)
{
    for (const int fields : {100, 1000}) {
        Fixture fixture;
        Client client{fixture};
        std::string text = "GET / HTTP/1.1\r\nConnection: close\r\n";
        for (int n = 0; n < fields; ++n) {
            text += "a:\r\n";
        }
        client.send(text + "\r\n");
        BOOST_TEST(isAnswer(client.receive(), fields == 100 ? 200 : 431));
    }
}

// Guards against a trailer, a chunk's line or chunk extensions that grow without a bound.
BOOST_AUTO_TEST_CASE(refusesPartsAboveTheHeaderLimit)
{
    const std::string head = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    std::string trailer = "1\r\nx\r\n0\r\n";
    std::string extensions;
    for (int n = 0; n < 5000; ++n) {
        trailer += "A: b\r\n";
        extensions += "1;abcd=ef\r\nx\r\n";
    }
    const std::string line = "1;" + std::string(20'000, 'a');
    for (const std::string &body : {trailer, extensions, line, std::string(20'000, '0')}) {
        Fixture fixture;
        Client client{fixture};
        client.send(head + body);
        BOOST_TEST(isAnswer(client.receive(), 431));
        BOOST_TEST(fixture.seen("header-too-large") == 1U);
    }
}

BOOST_AUTO_TEST_SUITE_END()
