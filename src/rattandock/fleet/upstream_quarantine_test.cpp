#include "rattandock/fleet/upstream_quarantine.hpp"

#include <boost/test/unit_test.hpp>

using namespace rattandock;
using namespace rattandock::fleet;
using namespace std::chrono_literals;

namespace {

struct Fixture
{
    using Change = UpstreamQuarantine::Change;

    TaskRef runOf(std::uint64_t job, std::uint32_t task = 0)
    {
        return {JobNumber{job}, TaskIndex{task}};
    }
    /// Two runs of different jobs fail, which were started while the upstream was trusted.
    void quarantineUpstream()
    {
        watch.failed(upstream, JobNumber{nextJob++}, now);
        BOOST_TEST((watch.failed(upstream, JobNumber{nextJob++}, now) == Change::Quarantined));
    }
    /// Advances the clock until a probe may start, and returns the time that passed.
    Duration waitForProbe()
    {
        const TimePoint begin = now;
        while (!watch.mayStart(upstream, now) && now - begin < 60s) {
            now += 10ms;
        }
        return now - begin;
    }
    Change endRun(const TaskRef &run, bool hasSucceeded)
    {
        const Change change =
                hasSucceeded ? watch.succeeded(upstream) : watch.failed(upstream, run.job, now);
        watch.ended(upstream, run);
        return change;
    }
    Change probe(bool hasSucceeded)
    {
        waitForProbe();
        const TaskRef run = runOf(nextJob++);
        watch.started(upstream, run);
        return endRun(run, hasSucceeded);
    }

    UpstreamQuarantine watch;
    const UpstreamId upstream{"u"};
    TimePoint now{100s};
    std::uint64_t nextJob = 1;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(UpstreamQuarantineTest, Fixture)

// Guards against an upstream that passes one probe by chance and then fails as many runs as it has
// slots.
BOOST_AUTO_TEST_CASE(doublesTheRunsWithEachSuccess)
{
    quarantineUpstream();
    waitForProbe();
    BOOST_TEST(watch.startsLeft(upstream, now) == 1);
    BOOST_TEST((probe(true) == Change::Restored));
    for (const std::size_t limit : {2U, 4U}) {
        BOOST_TEST(watch.startsLeft(upstream, now) == limit);
        for (std::uint32_t n = 0; n < limit; ++n) {
            watch.started(upstream, runOf(50, n));
        }
        BOOST_TEST(!watch.mayStart(upstream, now));
        for (std::uint32_t n = 0; n < limit; ++n) {
            watch.ended(upstream, runOf(50, n));
        }
        watch.started(upstream, runOf(60));
        BOOST_TEST((endRun(runOf(60), true) == Change::None));
    }
    BOOST_TEST((watch.trust(upstream).level == TrustLevel::Trusted));
    BOOST_TEST(watch.startsLeft(upstream, now) > 100);
}

// Guards against counting the failures of runs that were started before the quarantine, or several
// runs of one job, as failed probes, which would prolong the pause of an upstream that has
// recovered.
BOOST_AUTO_TEST_CASE(countsOnlyTheProbe)
{
    quarantineUpstream();
    const Duration pause = watch.trust(upstream).pause;
    watch.failed(upstream, JobNumber{40}, now + 300ms);
    watch.ended(upstream, runOf(40));
    BOOST_TEST((watch.trust(upstream).pause == pause));
    BOOST_TEST((waitForProbe() == pause));
    watch.started(upstream, runOf(41, 0));
    // The end of an older run must not allow a second probe.
    watch.ended(upstream, runOf(42));
    BOOST_TEST(!watch.mayStart(upstream, now));
    endRun(runOf(41, 0), false);
    BOOST_TEST((watch.trust(upstream).pause == 2 * pause));
    endRun(runOf(41, 1), false);
    BOOST_TEST((watch.trust(upstream).pause == 2 * pause));
}

// Guards against several runs lost at once on an upstream that fails again after its probe.
BOOST_AUTO_TEST_CASE(quarantinesALimitedUpstreamAfterOneFailure)
{
    quarantineUpstream();
    probe(true);
    watch.started(upstream, runOf(50, 0));
    watch.started(upstream, runOf(51, 0));
    BOOST_TEST((endRun(runOf(50, 0), false) == Change::Quarantined));
    const Duration pause = watch.trust(upstream).pause;
    BOOST_TEST((endRun(runOf(51, 0), false) == Change::None));
    BOOST_TEST((watch.trust(upstream).pause == pause));
}

// Guards against an upstream that works and fails in turn and gets the shortest pause each time.
BOOST_AUTO_TEST_CASE(prolongsThePauseOfAnUpstreamThatFlaps)
{
    Duration last{};
    for (int n = 0; n < 6; ++n) {
        quarantineUpstream();
        const Duration pause = waitForProbe();
        BOOST_TEST((pause >= std::min(2 * last, Duration{4s})));
        BOOST_TEST((pause <= 4s));
        last = pause;
        for (int success = 0; success < 3; ++success) {
            BOOST_TEST(watch.mayStart(upstream, now));
            probe(true);
        }
        BOOST_TEST((watch.trust(upstream).level == TrustLevel::Trusted));
    }
    BOOST_TEST((last == 4s));
    // It is forgotten after 10 s without a failure.
    now += 10s;
    quarantineUpstream();
    BOOST_TEST((waitForProbe() == 700ms));
}

// Guards against long pauses of most of the capacity because of faulty jobs.
BOOST_AUTO_TEST_CASE(probesSoonIfMostUpstreamsAreQuarantined)
{
    BOOST_TEST(!UpstreamQuarantine::isWidespread(4, 8));
    BOOST_TEST(UpstreamQuarantine::isWidespread(5, 8));
    BOOST_TEST(!UpstreamQuarantine::isWidespread(4, 4));
    quarantineUpstream();
    watch.setWidespread(upstream, true);
    for (int n = 0; n < 5; ++n) {
        BOOST_TEST((waitForProbe() <= 100ms));
        BOOST_TEST(watch.startsLeft(upstream, now) == 1);
        probe(false);
        BOOST_TEST(!watch.mayStart(upstream, now));
    }
    // The pauses have not grown meanwhile.
    watch.setWidespread(upstream, false);
    BOOST_TEST((waitForProbe() == 700ms));
}

// Guards against a new keeper that starts as many runs as fit on an upstream that the previous
// keeper had quarantined, and against values that no keeper sends.
BOOST_AUTO_TEST_CASE(startsFromWhatThePreviousKeeperKnew)
{
    BOOST_TEST(watch.adopt(upstream, {TrustLevel::Quarantined, 0, 1400ms}, now - 400ms));
    BOOST_TEST(!watch.adopt(upstream, {}, now));
    BOOST_TEST((waitForProbe() == 1000ms));
    probe(false);
    BOOST_TEST((waitForProbe() == 2800ms));

    const UpstreamId other{"other"};
    watch.adopt(other, {TrustLevel::Limited, 0, 24h}, now);
    BOOST_TEST(watch.startsLeft(other, now) == 2);
    BOOST_TEST((watch.trust(other).pause == 4s));
}

BOOST_AUTO_TEST_SUITE_END()
