#include "rattandock/app/daemon.hpp"

#include <boost/test/unit_test.hpp>

using namespace rattandock;

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

BOOST_AUTO_TEST_SUITE_END()
