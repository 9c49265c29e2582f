#include "rattandock/app/fleet_loop.hpp"

#include <algorithm>
#include <boost/fiber/operations.hpp>
#include <boost/test/unit_test.hpp>
#include <future>
#include <thread>

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
    options.incarnation = Incarnation{1};
    return options;
}

/// One upstream that runs each task until it is stopped. Used by fibers of one thread.
class OneUpstream final : public ports::UpstreamOrders
{
public:
    ports::StartReply start(const boost::asio::ip::tcp::endpoint & /*address*/,
                            const fleet::StartOrder &order) override
    {
        active.push_back({order.name, order.number});
        return {fleet::OrderResult::Done, clock()};
    }
    fleet::OrderResult stop(const boost::asio::ip::tcp::endpoint & /*address*/,
                            const fleet::StopOrder &order) override
    {
        mostOpenStops = std::max(mostOpenStops, ++openStops);
        boost::this_fiber::sleep_for(std::chrono::milliseconds{2});
        --openStops;
        if (std::erase(active, fleet::ActiveRun{order.name, order.number}) > 0) {
            ended.push_back({fleet::EndNumber{++lastEnd}, order.name, order.number,
                             fleet::RunEndKind::Stopped});
        }
        return fleet::OrderResult::Done;
    }
    ports::LookReply look(const boost::asio::ip::tcp::endpoint & /*address*/,
                          const fleet::PollOrder &order) override
    {
        std::erase_if(ended, [&](const auto &it) { return it.position <= order.acknowledged; });
        const auto until = std::chrono::steady_clock::now() + order.wait;
        while (ended.empty() && std::chrono::steady_clock::now() < until) {
            boost::this_fiber::sleep_for(std::chrono::milliseconds{1});
        }
        return fleet::RunReport{clock(), fleet::UpstreamProcessStart{1}, active, ended};
    }
    bool isReachable(const boost::asio::ip::tcp::endpoint & /*address*/) override { return true; }
    void release(const boost::asio::ip::tcp::endpoint & /*address*/) override { ++releases; }

    static fleet::UpstreamTime clock()
    {
        return fleet::UpstreamTime{std::chrono::duration_cast<rattandock::Duration>(
                std::chrono::steady_clock::now().time_since_epoch())};
    }

    std::vector<fleet::ActiveRun> active;
    std::vector<fleet::EndedRun> ended;
    std::uint64_t lastEnd = 0;
    int releases = 0;
    int openStops = 0;
    int mostOpenStops = 0;
};

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

    /// Runs the check on the I/O thread until it holds; false if it does not within the limit.
    bool holdsWithin(rattandock::Duration limit, const std::function<bool()> &check)
    {
        const TimePoint end = clock.now() + limit;
        bool holds = false;
        do {
            onThread([&] { holds = check(); });
            std::this_thread::sleep_for(std::chrono::milliseconds{2});
        } while (!holds && clock.now() < end);
        return holds;
    }
    /// Makes the loop's VM the keeper of one upstream, with room for `places` tasks.
    void keepOneUpstream(std::uint32_t places)
    {
        const fleet::UpstreamEntry entry{UpstreamId{"u"},
                                         fleet::ServiceId{"s"},
                                         ZoneId{"z"},
                                         "127.0.0.1:1",
                                         false,
                                         fleet::Resources{fleet::MilliCores{100 * places},
                                                          Megabytes{places}, Accelerators{0}},
                                         {}};
        const fleet::MemberRow self{VmId{"a"}, Incarnation{1}, ZoneId{"z"}, "127.0.0.1:2",
                                    1,         false,          1,           1};
        onThread([&] {
            loop.post(fleet::UpstreamListRead{{entry}, {}, true, clock.now()});
            loop.post(fleet::MembersRead{std::vector{self}, std::nullopt, clock.now()});
            loop.post(fleet::KeepersRead{
                    {fleet::KeeperRow{entry.id, entry.zone, VmId{"a"}, Incarnation{1}, 1, 1}},
                    true});
        });
    }
    /// Submits a job of `tasks` tasks on a fiber of its own, and records how to disconnect it.
    void submit(const std::string &id, std::uint32_t tasks)
    {
        fleet::FleetJob job;
        job.id = JobId{id};
        job.service = fleet::ServiceId{"s"};
        job.taskCount = tasks;
        job.need = {fleet::MilliCores{100}, Megabytes{1}, Accelerators{0}};
        job.estimate = job.objective = std::chrono::seconds{8};
        job.deadline = std::chrono::seconds{20};
        adapters::spawnFiber([this, job] {
            const auto end =
                    loop.submit(job, [this](auto disconnect) { callers.push_back(disconnect); });
            if (end) {
                ends.push_back(*end);
            }
        });
    }

    adapters::IoThreads threads{1};
    adapters::SystemClock clock;
    adapters::Metrics metrics;
    OneUpstream orders;
    EventHistory history{metrics};
    RecordedPeers peers;
    FleetLoop loop{threads, clock, options(), orders, history};
    /// Each ends the connection of the caller of a job.
    std::vector<std::function<void()>> callers;
    /// Answers to the callers.
    std::vector<fleet::JobEnd> ends;
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

// Guards against runs that are still at work when their callers come back, 1,300 ms after their
// connections were reset: all but 32 of their stop orders waited for each next report.
BOOST_AUTO_TEST_CASE(stopsHundredsOfRunsBeforeTheirJobsComeBack)
{
    constexpr std::uint32_t jobs = 5;
    constexpr std::uint32_t tasks = 100;
    constexpr std::uint32_t allTasks = jobs * tasks;
    keepOneUpstream(allTasks);
    onThread([&] {
        for (std::uint32_t n = 0; n < jobs; ++n) {
            submit("job-" + std::to_string(n), tasks);
        }
    });
    BOOST_REQUIRE(holdsWithin(std::chrono::seconds{10},
                              [&] { return orders.active.size() == allTasks; }));
    onThread([&] {
        // The caller of the last job stays, so the lease is renewed.
        for (std::uint32_t n = 0; n + 1 < jobs; ++n) {
            callers[n]();
        }
    });
    BOOST_TEST(
            holdsWithin(fleet::callerResubmitDelay, [&] { return orders.active.size() == tasks; }));
    // Upstreams accept 64 connections; the poll takes one, and jobs of other callers start.
    BOOST_TEST(orders.mostOpenStops < 48);
    BOOST_TEST(holdsWithin(fleet::callerResubmitDelay,
                           [&] { return loop.dispatcher().status().runs == tasks; }));
    onThread([&] { callers.back()(); });
}

// Guards against a keeper that finds too few of an upstream's 64 connections free: former keepers
// kept theirs open.
BOOST_AUTO_TEST_CASE(releasesTheConnectionsToAnUpstreamThatAnotherVmKeeps)
{
    keepOneUpstream(10);
    BOOST_REQUIRE(holdsWithin(fleet::callerResubmitDelay,
                              [&] { return loop.dispatcher().status().keptUpstreams == 1; }));
    BOOST_TEST(orders.releases == 0);
    onThread([&] {
        loop.post(fleet::KeepersRead{
                {fleet::KeeperRow{UpstreamId{"u"}, ZoneId{"z"}, VmId{"b"}, Incarnation{2}, 2, 2}},
                true});
    });
    BOOST_TEST(holdsWithin(fleet::callerResubmitDelay, [&] { return orders.releases > 0; }));
}

// Guards against tasks that run on after the cancelling of their job was acknowledged, and against
// an acknowledgement for a job that this VM does not have.
BOOST_AUTO_TEST_CASE(stopsTheRunsOfACancelledJob)
{
    constexpr std::uint32_t tasks = 100;
    keepOneUpstream(tasks);
    onThread([&] { submit("job", tasks); });
    BOOST_REQUIRE(
            holdsWithin(std::chrono::seconds{10}, [&] { return orders.active.size() == tasks; }));
    onThread([&] {
        BOOST_TEST(!loop.cancel(JobId{"other"}));
        BOOST_TEST(loop.cancel(JobId{"job"}));
        BOOST_TEST(!loop.cancel(JobId{"job"}));
    });
    BOOST_TEST(holdsWithin(fleet::callerResubmitDelay, [&] {
        return orders.active.empty() && loop.dispatcher().status().runs == 0;
    }));
    onThread([&] {
        BOOST_REQUIRE(ends.size() == 1);
        const auto *const failed = std::get_if<fleet::JobFailed>(&ends[0]);
        BOOST_REQUIRE(failed != nullptr);
        BOOST_TEST((failed->reason == fleet::FailureReason::Cancelled));
    });
}

BOOST_AUTO_TEST_SUITE_END()
