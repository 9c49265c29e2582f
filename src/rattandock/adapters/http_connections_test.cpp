#include "rattandock/adapters/http_connections.hpp"

#include <atomic>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/test/unit_test.hpp>
#include <future>
#include <memory>
#include <thread>

#include "rattandock/adapters/http_server.hpp"
#include "rattandock/adapters/io_threads.hpp"

using namespace rattandock::adapters;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(HttpConnectionsTest)

// Guards against the fiber that ends exchanges after their deadline touching connections that were
// destroyed after the last exchange. The fault soak's stand-in ended so once (seed 119); the
// address sanitizer finds each such access.
BOOST_AUTO_TEST_CASE(mayBeDestroyedAfterTheLastExchange)
{
    IoThreads threads{1};
    auto server = HttpServer::listen(
            threads, {boost::asio::ip::make_address("127.0.0.1"), 0}, {},
            [](const HttpRequest &) {
                return HttpResponse{200, "done", {}};
            },
            [](auto) {});
    BOOST_REQUIRE(server.has_value());
    const boost::asio::ip::tcp::endpoint address{boost::asio::ip::make_address("127.0.0.1"),
                                                 server.value()->port()};
    std::promise<unsigned> status;
    threads.spawn(0, [&] {
        auto connections = std::make_unique<HttpConnections>(4);
        const auto reply = connections->exchange(address, {"GET", "/", {}, {}, {}, {}, {}},
                                                 ExchangeLimits::ofWhole(1s));
        connections.reset();
        // Longer than the interval at which deadlines are looked for.
        boost::this_fiber::sleep_for(100ms);
        status.set_value(reply ? reply.value().status : 0);
    });
    BOOST_TEST(status.get_future().get() == 200U);
    server.value()->stop();
}

// Guards against an answer whose trailer never ends, which was kept whole.
BOOST_AUTO_TEST_CASE(endsAnAnswerWithAnEndlessTrailer)
{
    boost::asio::io_context io;
    boost::asio::ip::tcp::acceptor acceptor{io, {boost::asio::ip::make_address("127.0.0.1"), 0}};
    std::thread server{[&] {
        boost::asio::ip::tcp::socket socket = acceptor.accept();
        boost::system::error_code ec;
        std::string text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n";
        // More than any answer may have, so that the loop ends also without the bound.
        for (int n = 0; n < 3000 && !ec; ++n) {
            boost::asio::write(socket, boost::asio::buffer(text), ec);
            text = "A: " + std::string(4000, 'b') + "\r\n";
        }
    }};
    IoThreads threads{1};
    std::promise<boost::system::error_code> end;
    threads.spawn(0, [&] {
        HttpConnections connections{4};
        const auto reply =
                connections.exchange(acceptor.local_endpoint(), {"GET", "/", {}, {}, {}, {}, {}},
                                     ExchangeLimits::ofWhole(60s));
        end.set_value(reply ? boost::system::error_code{} : reply.error().ec);
    });
    BOOST_TEST((end.get_future().get() == boost::beast::http::error::header_limit));
    server.join();
}

// Guards against a server without a free connection, because clients that need it no longer keep
// theirs.
BOOST_AUTO_TEST_CASE(closesTheIdleConnectionsToAServer)
{
    boost::asio::io_context io;
    boost::asio::ip::tcp::acceptor acceptor{io, {boost::asio::ip::make_address("127.0.0.1"), 0}};
    std::atomic<bool> isClosed = false;
    std::thread server{[&] {
        boost::asio::ip::tcp::socket socket = acceptor.accept();
        std::string text(1000, ' ');
        socket.read_some(boost::asio::buffer(text));
        boost::asio::write(socket, boost::asio::buffer(std::string{
                                           "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"}));
        boost::system::error_code ec;
        socket.read_some(boost::asio::buffer(text), ec);
        isClosed = ec == boost::asio::error::eof;
    }};
    IoThreads threads{1};
    std::promise<bool> done;
    threads.spawn(0, [&] {
        HttpConnections connections{4};
        const auto address = acceptor.local_endpoint();
        const auto reply = connections.exchange(address, {"GET", "/", {}, {}, {}, {}, {}},
                                                ExchangeLimits::ofWhole(10s));
        connections.closeIdle(address);
        // The connection has to end before this object does.
        for (int n = 0; n < 1000 && !isClosed; ++n) {
            boost::this_fiber::sleep_for(10ms);
        }
        done.set_value(reply.has_value() && isClosed);
    });
    BOOST_TEST(done.get_future().get());
    server.join();
}

BOOST_AUTO_TEST_SUITE_END()
