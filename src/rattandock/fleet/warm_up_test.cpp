#include "rattandock/fleet/warm_up.hpp"

#include <boost/test/unit_test.hpp>

using namespace rattandock;
using namespace rattandock::fleet;
using namespace std::chrono_literals;

namespace {

const UpstreamId upstream{"u"};
const UpstreamId other{"v"};

Resources cores(std::uint32_t n)
{
    return {MilliCores{n * 1000}, Megabytes{1024}, Accelerators{0}};
}

struct Fixture
{
    std::uint32_t usableCores(std::uint32_t used) const
    {
        return warmUp.usableRoom(upstream, cores(32), cores(32 - used), used > 0).cpu.value()
               / 1000;
    }
    /// Ends a run that was started just now and took `elapsed` of the expected 100 ms.
    WarmUp::Step run(Duration elapsed)
    {
        const TimePoint startedAt = now;
        now += elapsed;
        return warmUp.runEnded(upstream, startedAt, 100ms, elapsed, now);
    }

    TimePoint now{100s};
    WarmUp warmUp;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(WarmUpTest, Fixture)

// Guards against an upstream that counts as cold for ever or never, whatever its entry states.
BOOST_AUTO_TEST_CASE(endsColdnessAtTheStatedTime)
{
    BOOST_TEST(!warmUp.isCold(upstream));
    BOOST_TEST(!warmUp.setColdUntil(upstream, now, now));
    BOOST_TEST(!warmUp.setColdUntil(upstream, now - 5s, now));
    BOOST_TEST(!warmUp.hasColdUpstreams());
    BOOST_TEST(warmUp.setColdUntil(upstream, now + 3s, now));
    warmUp.expire(now + 2999ms);
    BOOST_TEST(warmUp.isCold(upstream));
    BOOST_TEST(!warmUp.isCold(other));
    warmUp.expire(now + 3s);
    BOOST_TEST(!warmUp.isCold(upstream));
    BOOST_TEST(warmUp.setColdUntil(upstream, now + 24h, now));
    warmUp.expire(now + 59s);
    BOOST_TEST(warmUp.isCold(upstream));
    warmUp.expire(now + 60s);
    BOOST_TEST(!warmUp.isCold(upstream));
    BOOST_TEST(!warmUp.hasColdUpstreams());
}

// Guards against a message to all VMs of the zone for each entry that is written, every 1.5 s.
BOOST_AUTO_TEST_CASE(reportsOnlyChanges)
{
    BOOST_TEST(warmUp.setColdUntil(upstream, now + 3s, now));
    // Later entries state the same end, give or take the time until they are read.
    BOOST_TEST(!warmUp.setColdUntil(upstream, now + 3800ms, now + 1500ms));
    BOOST_TEST(!warmUp.setColdUntil(upstream, now + 2700ms, now + 1500ms));
    BOOST_TEST((warmUp.coldUntil(upstream) == now + 2700ms));
    // The process was replaced.
    BOOST_TEST(warmUp.setColdUntil(upstream, now + 5s, now + 2s));
    // It is warm before the stated time.
    BOOST_TEST(warmUp.setColdUntil(upstream, now + 3s, now + 3s));
    BOOST_TEST(!warmUp.setColdUntil(upstream, now + 4s, now + 4s));
}

// Guards against run times on cold upstreams being predicted as on warm ones, and against one long
// run that keeps tasks from all cold upstreams.
BOOST_AUTO_TEST_CASE(measuresTheRatio)
{
    BOOST_TEST(warmUp.ratio() == 1);
    warmUp.addColdRun(100ms, 700ms);
    BOOST_TEST(warmUp.ratio() < 2);
    for (int n = 0; n < 100; ++n) {
        warmUp.addColdRun(100ms, n % 2 == 0 ? 300ms : 533ms);
    }
    BOOST_TEST(warmUp.ratio() == 4, boost::test_tools::tolerance(0.05));
    BOOST_TEST(warmUp.runTimeFactor(upstream) == 1);
    warmUp.setColdUntil(upstream, now + 1s, now);
    BOOST_TEST(warmUp.runTimeFactor(upstream) == warmUp.ratio());
    BOOST_TEST(warmUp.runTimeFactor(other) == 1);
    for (int n = 0; n < 1000; ++n) {
        warmUp.addColdRun(100ms, 1h);
        warmUp.addColdRun(0ms, 1h);
    }
    BOOST_TEST(warmUp.ratio() <= 16.01);
    for (int n = 0; n < 1000; ++n) {
        warmUp.addColdRun(100ms, 20ms);
    }
    BOOST_TEST(warmUp.ratio() == 1);
}

// Guards against a ratio of 1 that stays because each run on a cold upstream is stopped as overdue
// before it ends.
BOOST_AUTO_TEST_CASE(countsRunsThatWereStopped)
{
    for (int n = 0; n < 100; ++n) {
        warmUp.addUnfinishedColdRun(100ms, 310ms);
    }
    BOOST_TEST(warmUp.ratio() > 2.5);
    const double before = warmUp.ratio();
    warmUp.addUnfinishedColdRun(100ms, 150ms);
    warmUp.addUnfinishedColdRun(0ms, 150ms);
    BOOST_TEST(warmUp.ratio() == before);
}

// Guards against full load on an upstream of which no run has shown that it is warm.
BOOST_AUTO_TEST_CASE(raisesTheLimitWithRunsInTime)
{
    BOOST_TEST(usableCores(4) == 28);
    warmUp.limit(upstream, now);
    BOOST_TEST(warmUp.isLimited(upstream));
    // One task of any size, and further ones within a quarter.
    BOOST_TEST(usableCores(0) == 32);
    BOOST_TEST(usableCores(2) == 6);
    BOOST_TEST(usableCores(20) == 0);
    BOOST_TEST((run(151ms) == WarmUp::Step::None));
    BOOST_TEST(usableCores(2) == 6);
    const TimePoint before = now - 1ms;
    BOOST_TEST((run(150ms) == WarmUp::Step::Half));
    BOOST_TEST(usableCores(2) == 14);
    // A run that started under the former limit says nothing about the present one.
    BOOST_TEST((warmUp.runEnded(upstream, before, 100ms, 100ms, now) == WarmUp::Step::None));
    // A limit that exists is kept when the zone is evacuated again.
    warmUp.limit(upstream, now);
    BOOST_TEST(usableCores(2) == 14);
    BOOST_TEST((run(100ms) == WarmUp::Step::Full));
    BOOST_TEST(usableCores(2) == 30);
    BOOST_TEST((run(100ms) == WarmUp::Step::None));
    BOOST_TEST(warmUp.limitedCount() == 0);
}

// Guards against offers and admission that count room which the limit does not allow.
BOOST_AUTO_TEST_CASE(countsTheStartsThatTheLimitAllows)
{
    const auto starts = [&](std::uint32_t used, std::uint32_t need) {
        return warmUp.usableStarts(upstream, cores(32), cores(32 - used), used > 0,
                                   MilliCores{need * 1000});
    };
    BOOST_TEST(starts(0, 10) == 3);
    warmUp.limit(upstream, now);
    BOOST_TEST(starts(0, 33) == 0);
    BOOST_TEST(starts(0, 16) == 1);
    BOOST_TEST(starts(16, 16) == 0);
    BOOST_TEST(starts(0, 2) == 4);
    BOOST_TEST(starts(2, 2) == 3);
    BOOST_TEST(warmUp.reportedCpu(upstream, cores(32), cores(32), false) == 24'000);
    BOOST_TEST(warmUp.reportedCpu(upstream, cores(32), cores(30), true) == 6'000);
    BOOST_TEST(warmUp.reportedCpu(other, cores(32), cores(32), false) == 32'000);
}

// Guards against a limit that outlives its cause: no run ever ends in time, has no estimate, or
// the process was replaced.
BOOST_AUTO_TEST_CASE(dropsLimits)
{
    warmUp.limit(upstream, now);
    warmUp.unlimit(upstream);
    BOOST_TEST(!warmUp.isLimited(upstream));
    warmUp.limit(upstream, now);
    warmUp.expire(now + 59s);
    BOOST_TEST(warmUp.isLimited(upstream));
    warmUp.expire(now + 60s);
    BOOST_TEST(!warmUp.isLimited(upstream));
    warmUp.limit(upstream, now);
    BOOST_TEST((warmUp.runEnded(upstream, now, 0ms, 1h, now) == WarmUp::Step::Half));
}

BOOST_AUTO_TEST_SUITE_END()
