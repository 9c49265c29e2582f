#include "rattandock/adapters/http_connections.hpp"

#include <boost/fiber/operations.hpp>
#include <boost/test/unit_test.hpp>
#include <future>
#include <memory>

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

BOOST_AUTO_TEST_SUITE_END()
