#include "rattandock/app/daemon.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>
#include <sstream>
#include <thread>

using namespace rattandock;

namespace {

/// Different ports that are free now, so that test programs may run at the same time.
std::vector<std::uint16_t> freePorts(std::size_t count)
{
    using boost::asio::ip::tcp;
    boost::asio::io_context io;
    std::vector<tcp::acceptor> acceptors;
    std::vector<std::uint16_t> ports;
    for (std::size_t n = 0; n < count; ++n) {
        const tcp::endpoint anyPort{boost::asio::ip::make_address("127.0.0.1"), 0};
        ports.push_back(acceptors.emplace_back(io, anyPort).local_endpoint().port());
    }
    return ports;
}

std::string fetchMetrics(const app::Daemon &daemon)
{
    boost::asio::ip::tcp::iostream stream;
    stream.connect("127.0.0.1", std::to_string(daemon.operatorPort()));
    stream << "GET /metrics HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n" << std::flush;
    std::stringstream text;
    text << stream.rdbuf();
    return text.str();
}

} // namespace

BOOST_AUTO_TEST_SUITE(DaemonTest)

// Guards against a daemon that cannot stop while it has no work.
BOOST_AUTO_TEST_CASE(startsAndStops)
{
    adapters::Settings settings;
    settings.dispatcher.vm = VmId{"vm-1"};
    settings.callerAddress = {boost::asio::ip::make_address("127.0.0.1"), 0};
    settings.operatorAddress = settings.callerAddress;
    auto daemon = app::Daemon::start(settings);
    BOOST_REQUIRE(daemon);
    BOOST_TEST(daemon.value()->callerPort() != daemon.value()->operatorPort());
    daemon.value()->drain();
    while (!daemon.value()->isDrained()) {
        std::this_thread::yield();
    }
    daemon.value()->stop();
}

// Guards against daemons that do not link up, keep a link to a stopped one or cannot stop.
BOOST_AUTO_TEST_CASE(threeDaemonsLinkUp)
{
    constexpr std::size_t count = 3;
    const std::vector<std::uint16_t> ports = freePorts(count);
    std::vector<adapters::Settings> all(count);
    for (std::size_t n = 0; n < count; ++n) {
        all[n].dispatcher.vm = VmId{"vm-" + std::to_string(n)};
        all[n].callerAddress = {boost::asio::ip::make_address("127.0.0.1"), 0};
        all[n].operatorAddress = all[n].callerAddress;
        all[n].peerAddress = {all[n].callerAddress.address(), ports[n]};
        all[n].peerStreams.heartbeatInterval = std::chrono::milliseconds{20};
        all[n].peerStreams.lastPause = std::chrono::milliseconds{50};
        for (std::size_t m = 0; m < count; ++m) {
            if (m != n) {
                all[n].peers.push_back({VmId{"vm-" + std::to_string(m)},
                                        ZoneId{"z1"},
                                        {all[n].callerAddress.address(), ports[m]}});
            }
        }
    }
    std::vector<std::unique_ptr<app::Daemon>> daemons;
    for (const auto &settings : all) {
        auto daemon = app::Daemon::start(settings);
        BOOST_REQUIRE(daemon);
        daemons.push_back(std::move(daemon.value()));
    }
    const auto metricsOf = [&](std::size_t n) { return fetchMetrics(*daemons[n]); };
    // Each daemon has had heartbeats of both others: at least one is theirs alone.
    for (std::size_t n = 0; n < count; ++n) {
        while (metricsOf(n).find("rattandock_peer_messages_received_total{reason=\"heartbeat\"}")
               == std::string::npos) {
            std::this_thread::yield();
        }
    }
    daemons[0]->stop();
    while (metricsOf(1).find("rattandock_peer_links_closed_total{reason=\"closed\"} 1")
           == std::string::npos) {
        std::this_thread::yield();
    }
    daemons[1]->stop();
    daemons[2]->stop();
}

BOOST_AUTO_TEST_SUITE_END()
