// Cold upstreams and the return of an evacuated zone in a single FleetDispatcher. Events of
// upstreams, of the store and of other VMs are scripted.
#include <boost/test/unit_test.hpp>

#include "evacuation_fixture_test.hpp"

using namespace rattandock;
using namespace rattandock::fleet;
using namespace rattandock::fleet::test;
using namespace std::chrono_literals;

namespace {

struct Fixture : EvacuationFixture
{
    void readCold(Duration left)
    {
        send(UpstreamListRead{{}, {}, false, now, {{upstream, now + left}}});
    }
    /// Lets another VM of the own zone join that supports the messages of a revision.
    void joinZone(const VmId &vm, std::uint64_t revision)
    {
        send(MembersRead{std::vector{MemberRow{self, Incarnation{7}, zone, "127.0.0.1:1"},
                                     MemberRow{vm, Incarnation{9}, zone, "127.0.0.1:4"}},
                         zone});
        send(PeerLinkChanged{vm, true});
        send(PeerCapacityReported{vm, zone, false, {}, std::nullopt, revision});
    }
    std::uint32_t reportedPercent() { return dispatcher.roomReport(now).fastestPercent; }
    std::uint32_t reportedCpu()
    {
        const CapacityReport report = dispatcher.roomReport(now);
        return report.free.empty() ? 0 : report.free[0].cpu;
    }
    /// Runs single tasks to their end, each for `elapsed`.
    void runTasks(int count, Duration elapsed)
    {
        for (int n = 0; n < count; ++n) {
            const std::uint64_t request = ++lastRequest;
            submit(request, job("run-" + std::to_string(request), 1));
            confirmStarts();
            pass(elapsed);
            finishRuns();
        }
    }
    std::size_t countLogged(FleetLogRecordKind kind)
    {
        std::size_t n = 0;
        for (const FleetLogRecord &it : take<FleetLogRecord>()) {
            n += it.kind == kind ? 1U : 0U;
        }
        return n;
    }
    /// A job whose tasks need a sixteenth of the upstream.
    void submitSmall(std::uint32_t tasks)
    {
        const std::uint64_t request = ++lastRequest;
        FleetJob small = job("small-" + std::to_string(request), tasks);
        small.need.cpu = MilliCores{4'000};
        submit(request, small);
    }
    std::uint64_t lastRequest = 100;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(FleetDispatcherWarmUpTest, Fixture)

// Guards against run times on a cold upstream being predicted as on a warm one, and against slow
// runs that stay in the averages of the upstream after it has warmed up.
BOOST_AUTO_TEST_CASE(predictsRunsOnAColdUpstream)
{
    runTasks(5, 100ms);
    const std::uint32_t warm = reportedPercent();
    readCold(10s);
    BOOST_TEST(reportedPercent() == warm);
    runTasks(20, 300ms);
    BOOST_TEST(reportedPercent() >= 2 * warm);
    pass(10s);
    BOOST_TEST(reportedPercent() == warm);
}

// Guards against a VM that does not learn that an upstream is cold because another one reads the
// list, against a message with each entry that is written, and against links that close because a
// former build gets a message that it does not support.
BOOST_AUTO_TEST_CASE(tellsTheVmsOfTheZone)
{
    joinZone(VmId{"c"}, coldUpstreamsRevision);
    take<SendToVm>();
    readCold(4s);
    const auto sent = take<SendToVm>();
    BOOST_REQUIRE(sent.size() == 1);
    BOOST_TEST(sent[0].vm.value() == "c");
    const auto report = std::get<ColdUpstreams>(sent[0].message);
    BOOST_REQUIRE(report.upstreams.size() == 1);
    BOOST_TEST((report.upstreams[0].left == 4s));
    pass(1500ms);
    readCold(2500ms);
    BOOST_TEST(takeMessages<ColdUpstreams>().empty());
    // It is warm before the stated time.
    readCold(0ms);
    const auto last = takeMessages<ColdUpstreams>();
    BOOST_REQUIRE(last.size() == 1);
    BOOST_TEST((last[0].upstreams[0].left == 0ms));
    send(PeerCapacityReported{VmId{"c"}, zone, false, {}, std::nullopt, coldUpstreamsRevision - 1});
    readCold(4s);
    BOOST_TEST(takeMessages<ColdUpstreams>().empty());
}

// Guards against the same at the receiving VM, and against malformed or outdated messages.
BOOST_AUTO_TEST_CASE(takesFromAnotherVmWhichUpstreamsAreCold)
{
    const auto receive = [&](Duration left) {
        send(ColdUpstreamsReceived{peer, {{{upstream, left}}}});
        return countLogged(FleetLogRecordKind::UpstreamCold);
    };
    countLogged(FleetLogRecordKind::UpstreamCold);
    BOOST_TEST(receive(-5s) == 0);
    BOOST_TEST(receive(4s) == 1);
    BOOST_TEST(receive(4s) == 0);
    BOOST_TEST(receive(Duration::max()) == 1);
    BOOST_TEST(receive(0s) == 1);
    // A message on a link from before a pause.
    send(ProcessPaused{2s});
    BOOST_TEST(receive(4s) == 0);
}

// Guards against full load at once on the upstreams of a zone that returns, and against a limit
// that a slow run raises.
BOOST_AUTO_TEST_CASE(limitsUpstreamsOfAZoneThatReturns)
{
    runTasks(5, 100ms);
    read(2, {zone});
    pass(3s);
    take<FleetLogRecord>();
    read(3, {});
    BOOST_TEST(countLogged(FleetLogRecordKind::UpstreamsLimited) == 1);
    BOOST_TEST(dispatcher.status().limitedUpstreams == 1);
    BOOST_TEST(reportedCpu() == 48'000);
    // Four of 64 cores each: a quarter is 16.
    submitSmall(6);
    BOOST_TEST(take<StartOrder>().size() == 4);
    BOOST_TEST(reportedCpu() == 0);
    pass(1500ms);
    BOOST_TEST(take<StartOrder>().empty());
}

// Guards against the same: runs in time raise the limit step by step, and slow ones do not.
BOOST_AUTO_TEST_CASE(raisesTheLimitAfterRunsInTime)
{
    runTasks(10, 100ms);
    read(2, {zone});
    pass(3s);
    read(3, {});
    take<FleetLogRecord>();
    runTasks(1, 200ms);
    BOOST_TEST(countLogged(FleetLogRecordKind::UpstreamLimitRaised) == 0);
    // The slowness is expected by now, which does not make a slow run one in time.
    runTasks(5, 200ms);
    BOOST_TEST(countLogged(FleetLogRecordKind::UpstreamLimitRaised) == 0);
    runTasks(1, 100ms);
    BOOST_TEST(countLogged(FleetLogRecordKind::UpstreamLimitRaised) == 1);
    BOOST_TEST(dispatcher.status().limitedUpstreams == 1);
    runTasks(1, 100ms);
    BOOST_TEST(countLogged(FleetLogRecordKind::UpstreamLimitRaised) == 1);
    BOOST_TEST(dispatcher.status().limitedUpstreams == 0);
    submitSmall(12);
    BOOST_TEST(take<StartOrder>().size() == 12);
}

// Guards against a change for upstreams without an evacuation, that were not idle, whose process
// was replaced, or that this VM took over from another one.
BOOST_AUTO_TEST_CASE(limitsOnlyWhatStoodIdleInAnEvacuatedZone)
{
    const auto countStarts = [&] {
        submitSmall(10);
        const std::size_t n = take<StartOrder>().size();
        return n;
    };
    const auto finish = [&] {
        for (auto &[id, runs] : active) {
            runs.clear();
        }
        pass(2s);
        take<StartOrder>();
    };
    // Idle for long, but evacuated for less than two seconds.
    pass(10s);
    read(2, {zone});
    pass(1900ms);
    read(3, {});
    BOOST_TEST(countStarts() == 10);
    finish();
    // Another zone.
    read(4, {otherZone});
    pass(3s);
    read(5, {});
    BOOST_TEST(countStarts() == 10);
    finish();
    // Its process is replaced.
    read(6, {zone});
    pass(3s);
    read(7, {});
    BOOST_TEST(dispatcher.status().limitedUpstreams == 1);
    for (int n = 0; n < 200 && polls.empty(); ++n) {
        now += 5ms;
        send(TimerDue{});
    }
    BOOST_REQUIRE(!polls.empty());
    RunReport report;
    report.clock = UpstreamTime{now.time_since_epoch()};
    report.processStart = UpstreamProcessStart{2};
    const PollNumber number = polls.at(upstream);
    polls.clear();
    send(RunReportReceived{upstream, number, report});
    BOOST_TEST(dispatcher.status().limitedUpstreams == 0);
    // It gets another keeper.
    read(8, {zone});
    pass(3s);
    read(9, {});
    BOOST_TEST(dispatcher.status().limitedUpstreams == 1);
    send(KeepersRead{{KeeperRow{upstream, zone, VmId{"x"}, Incarnation{9}, 2, 9}}, false, zone});
    BOOST_TEST(dispatcher.status().keptUpstreams == 0);
    BOOST_TEST(dispatcher.status().limitedUpstreams == 0);
}

BOOST_AUTO_TEST_SUITE_END()
