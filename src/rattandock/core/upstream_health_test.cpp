#include "rattandock/core/upstream_health.hpp"

#include <boost/test/unit_test.hpp>

using namespace rattandock;
using namespace rattandock::core;
using namespace std::chrono_literals;

using Change = UpstreamHealth::Change;

namespace {

constexpr UpstreamIndex upstream{0};

struct Fixture
{
    Change fail(std::uint64_t job, UpstreamIndex on = upstream, bool mayEject = true)
    {
        return health.recordFailure(on, JobHandle{job}, mayEject, now);
    }

    void ejectNow()
    {
        for (std::uint64_t n = 0; n < 5; ++n) {
            fail(100 + n);
        }
        BOOST_REQUIRE(health.state(upstream) == HealthState::Ejected);
    }

    /// Advances time to the end of the pause and returns the pause's duration.
    Duration waitForProbe()
    {
        const TimePoint end = health.nextPauseEnd().value();
        std::vector<UpstreamIndex> due;
        health.endExpiredPauses(end - 1us, due);
        BOOST_TEST(due.empty());
        health.endExpiredPauses(end, due);
        BOOST_TEST(due.size() == 1);
        BOOST_REQUIRE(health.state(upstream) == HealthState::ProbeDue);
        const Duration pause = end - now;
        now = end;
        return pause;
    }

    UpstreamHealth health;
    TimePoint now{1s};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(UpstreamHealthTest, Fixture)

// Guards against ejection after too few failures or after non-consecutive ones.
BOOST_AUTO_TEST_CASE(ejectsAfterFiveConsecutiveFailures)
{
    for (std::uint64_t n = 0; n < 4; ++n) {
        BOOST_TEST((fail(n % 2) == Change::None));
    }
    health.recordSuccess(upstream, JobHandle{9});
    for (std::uint64_t n = 0; n < 4; ++n) {
        BOOST_TEST((fail(n % 2) == Change::None));
    }
    BOOST_TEST((fail(1) == Change::Ejected));
}

// Guards against ejection because of the failures of a single job.
BOOST_AUTO_TEST_CASE(oneJobAloneDoesNotEject)
{
    for (int n = 0; n < 20; ++n) {
        BOOST_TEST((fail(1) == Change::None));
    }
    BOOST_TEST((fail(2) == Change::Ejected));
}

// Guards against a job that fails on every upstream and thereby causes the ejection of upstreams
// with one other failure.
BOOST_AUTO_TEST_CASE(aJobThatFailsEverywhereDoesNotEjectUpstreams)
{
    for (std::uint32_t n = 0; n < 4; ++n) {
        for (int k = 0; k < 6; ++k) {
            fail(1, UpstreamIndex{n});
        }
    }
    for (std::uint32_t n = 0; n < 4; ++n) {
        BOOST_TEST((fail(2, UpstreamIndex{n}) == Change::None));
    }
}

// Guards against a faulty upstream that is never ejected because each of its failed jobs also
// failed on other upstreams and is considered at fault.
BOOST_AUTO_TEST_CASE(failuresOfFiveDifferentJobsEject)
{
    for (std::uint64_t job = 0; job < 5; ++job) {
        for (std::uint32_t n = 0; n < 3; ++n) {
            const Change change = fail(job, UpstreamIndex{n});
            BOOST_TEST((change == (job == 4 ? Change::Ejected : Change::None)));
        }
    }
}

// Guards against an ejection beyond the limit of the availability zone.
BOOST_AUTO_TEST_CASE(isNotEjectedAtTheZoneLimit)
{
    for (std::uint64_t n = 0; n < 30; ++n) {
        BOOST_TEST((fail(n, upstream, false) == Change::None));
    }
    BOOST_TEST((health.state(upstream) == HealthState::Healthy));
    BOOST_TEST((fail(31) == Change::Ejected));
}

// Guards against probing a faulty upstream at a constant rate, and against unbounded pauses.
BOOST_AUTO_TEST_CASE(pausesGrowWithEachFailedProbeUpToABound)
{
    ejectNow();
    Duration last = waitForProbe();
    for (int n = 0; n < 4; ++n) {
        health.probeStarted(upstream);
        BOOST_TEST((health.state(upstream) == HealthState::Probing));
        fail(200);
        const Duration pause = waitForProbe();
        BOOST_TEST((pause == last * 2));
        last = pause;
    }
    for (int n = 0; n < 20; ++n) {
        health.probeStarted(upstream);
        fail(200);
        last = waitForProbe();
    }
    BOOST_TEST((last == 60s));
}

// Guards against a recovered upstream that is never restored or whose next pause isn't reset to the
// initial duration.
BOOST_AUTO_TEST_CASE(oneCompletedProbeRestores)
{
    ejectNow();
    const Duration first = waitForProbe();
    health.probeStarted(upstream);
    fail(200);
    waitForProbe();
    health.probeStarted(upstream);
    health.recordInconclusive(upstream);
    BOOST_TEST((health.state(upstream) == HealthState::ProbeDue));
    health.probeStarted(upstream);
    BOOST_TEST((health.recordSuccess(upstream, JobHandle{3}) == Change::Restored));
    BOOST_TEST((health.state(upstream) == HealthState::Healthy));
    ejectNow();
    BOOST_TEST((waitForProbe() == first));
}

BOOST_AUTO_TEST_SUITE_END()
