#include "rattandock/app/fleet_loop.hpp"

#include <boost/test/unit_test.hpp>
#include <future>

#include "fleet_fakes_test.hpp"
#include "rattandock/adapters/system_clock.hpp"

using namespace rattandock;
using namespace rattandock::app;
using namespace rattandock::app::test;

namespace {

fleet::FleetOptions options()
{
    fleet::FleetOptions options;
    options.vm = VmId{"a"};
    options.zone = ZoneId{"z"};
    return options;
}

struct Fixture
{
    Fixture()
    {
        onThread([&] { loop.start(peers, {}); });
    }
    Fixture(const Fixture &) = delete;
    Fixture &operator=(const Fixture &) = delete;
    ~Fixture()
    {
        onThread([&] { loop.stop(); });
        threads.stop();
    }
    /// Runs the function on the I/O thread and waits until it and what it has posted are done.
    void onThread(const std::function<void()> &function)
    {
        std::promise<void> done;
        threads.spawn(0, [&] {
            function();
            boost::asio::post(threads.io(0), [&done] { done.set_value(); });
        });
        done.get_future().wait();
    }

    adapters::IoThreads threads{1};
    adapters::SystemClock clock;
    adapters::Metrics metrics;
    NoUpstreams orders;
    EventHistory history{metrics};
    RecordedPeers peers;
    FleetLoop loop{threads, clock, options(), orders, history};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(FleetLoopTest, Fixture)

// Guards against an offer that is handled after the end of the connection that it came on, so that
// nothing ends it: here its refusal would be sent to the next process of the other VM.
BOOST_AUTO_TEST_CASE(handlesTheMessagesOfAConnectionBeforeItsEnd)
{
    const VmId b{"b"};
    const auto answers = [&] { return peers.all<fleet::TaskOfferEnded>().size(); };
    const auto offer = [&](std::uint64_t number) {
        fleet::FleetJob job;
        job.id = JobId{"offered"};
        job.taskCount = 1;
        return core::PeerMessageReceived{b, fleet::TaskOffer{number, job, {0}, 1}};
    };
    onThread([&] {
        loop.post(core::Event{offer(1)});
        loop.post(core::Event{core::PeerLinkChanged{b, true}});
    });
    BOOST_TEST(answers() == 1);
    onThread([&] {
        loop.post(core::Event{core::PeerLinkChanged{b, false}});
        loop.post(core::Event{offer(2)});
        loop.postInputClosed(b);
        loop.post(core::Event{core::PeerLinkChanged{b, true}});
    });
    BOOST_TEST(answers() == 1);
}

BOOST_AUTO_TEST_SUITE_END()
