#include "rattandock/core/admission.hpp"

#include <boost/test/unit_test.hpp>

using namespace rattandock;
using namespace rattandock::core;
using namespace std::chrono_literals;

namespace {

struct Fixture
{
    Fixture()
        : admission({1000, 1000})
    {
        capacity.slots = 10;
    }

    static Admission::Request request(Duration deadline, std::size_t tasks, Duration each)
    {
        Admission::Request it;
        it.deadline = deadline;
        it.tasks = tasks;
        it.work = each * static_cast<Duration::rep>(tasks);
        it.longest = each;
        return it;
    }

    std::optional<NotRun> refusal(const Admission::Request &it) const
    {
        return admission.refusalFor(it, queue, capacity, shares, now);
    }

    bool refused(const Admission::Request &it, RefusalReason reason) const
    {
        const auto result = refusal(it);
        return result && result->reason == reason;
    }

    Admission admission;
    Admission::Queue queue;
    Admission::Capacity capacity;
    TeamShares shares;
    TimePoint now{100s};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AdmissionTest, Fixture)

// Guards against admitting a job that could not meet its deadline even on an idle fleet. The
// refusal has no time to retry after, since a retry would be refused again.
BOOST_AUTO_TEST_CASE(refusesJobsThatAnIdleFleetCannotCompleteWithoutRetryAfter)
{
    BOOST_TEST(!refusal(request(2s, 10, 1s)));
    const auto tooLong = refusal(request(500ms, 1, 1s));
    BOOST_REQUIRE(tooLong);
    BOOST_TEST((*tooLong == NotRun{RefusalReason::DeadlineTooShort, std::nullopt}));
    const auto tooMuch = refusal(request(5s, 100, 1s));
    BOOST_REQUIRE(tooMuch);
    BOOST_TEST((*tooMuch == NotRun{RefusalReason::DeadlineTooShort, std::nullopt}));
}

// Guards against a retry-after time that does not match the backlog: a caller that retries too
// early is refused again, and one that retries too late leaves capacity unused.
BOOST_AUTO_TEST_CASE(retryAfterIsTheTimeUntilTheQueueHasDrainedEnough)
{
    const TeamIndex team = shares.indexOf(TeamId{"a"});
    Admission::Request it = request(10s, 10, 1s);
    it.team = team;
    admission.add(team, now + 9s, 90s, now);
    const auto first = refusal(it);
    BOOST_REQUIRE(first);
    BOOST_TEST((first->reason == RefusalReason::DeadlineTooShort));
    BOOST_REQUIRE(first->retryAfter);
    BOOST_TEST((*first->retryAfter > 1s));
    BOOST_TEST((*first->retryAfter < 9s));
    // The fleet completes 10 s of work per second.
    const Duration wait = *first->retryAfter;
    admission.remove(team, now + 9s, wait * 10);
    now += wait + 1ms;
    BOOST_TEST(!refusal(it));
}

// Guards against admitting an urgent job that makes a job admitted earlier miss its deadline.
BOOST_AUTO_TEST_CASE(refusesJobsThatWouldDelayAdmittedJobs)
{
    const TeamIndex team = shares.indexOf(TeamId{"a"});
    admission.add(team, now + 10s, 80s, now);
    Admission::Request it = request(2s, 10, 1s);
    it.team = team;
    BOOST_TEST(refused(it, RefusalReason::DeadlineTooShort));
    admission.remove(team, now + 10s, 20s);
    BOOST_TEST(!refusal(it));
}

// Guards against a queue that exceeds its limits of tasks, bytes or waiting time.
BOOST_AUTO_TEST_CASE(limitsTasksBytesAndQueueWait)
{
    Admission::Request it = request(60s, 10, 100ms);
    it.bytes = 100;
    queue = {990, 900};
    BOOST_TEST(!refusal(it));
    queue = {991, 0};
    BOOST_TEST(refused(it, RefusalReason::QueueFull));
    BOOST_TEST(refusal(it)->retryAfter.has_value());
    queue = {0, 901};
    BOOST_TEST(refused(it, RefusalReason::QueueFull));
    queue = {};
    const TeamIndex team = shares.indexOf(TeamId{"a"});
    admission.add(team, now + 59s, 310s, now);
    it.team = team;
    BOOST_TEST(refused(it, RefusalReason::QueueFull));
    BOOST_TEST((*refusal(it)->retryAfter == 1s));
}

// Guards against admitting work of a team that uses the slot time to which other teams are entitled
// by their weight.
BOOST_AUTO_TEST_CASE(aTeamBeyondItsShareIsRefusedWhileOthersAreActive)
{
    shares.configure({{TeamId{"a"}, 1, 0}, {TeamId{"b"}, 3, 0}});
    const TeamIndex a = shares.indexOf(TeamId{"a"});
    const TeamIndex b = shares.indexOf(TeamId{"b"});
    Admission::Request it = request(10s, 40, 1s);
    it.team = a;
    BOOST_TEST(!refusal(it));
    admission.add(b, now + 60s, 200s, now);
    BOOST_TEST(refused(it, RefusalReason::QuotaExceeded));
    it = request(10s, 15, 1s);
    it.team = a;
    BOOST_TEST(!refusal(it));
    // A team that needs less than its share leaves the rest.
    admission.remove(b, now + 60s, 199s);
    now += 60s;
    it = request(10s, 60, 1s);
    it.team = a;
    BOOST_TEST(!refusal(it));
}

// Guards against a team that exceeds its quota while others are active, and against a quota that
// leaves slots idle when no other team is.
BOOST_AUTO_TEST_CASE(quotaLimitsAdmittedWorkWhileOtherTeamsAreActive)
{
    shares.configure({{TeamId{"a"}, 1, 2}});
    const TeamIndex a = shares.indexOf(TeamId{"a"});
    Admission::Request it = request(10s, 30, 1s);
    it.team = a;
    BOOST_TEST(!refusal(it));
    admission.add(shares.indexOf(TeamId{"b"}), now + 30s, 1s, now);
    BOOST_TEST(refused(it, RefusalReason::QuotaExceeded));
    it = request(10s, 15, 1s);
    it.team = a;
    BOOST_TEST(!refusal(it));
}

// Guards against predictions that ignore that measured run times exceed the estimates.
BOOST_AUTO_TEST_CASE(correctsPredictionsByMeasuredRunTimes)
{
    const Admission::Request it = request(4s, 20, 1s);
    BOOST_TEST(!refusal(it));
    for (int n = 0; n < 500; ++n) {
        admission.observeRunTime(1s, 3s);
    }
    BOOST_TEST(refused(it, RefusalReason::DeadlineTooShort));
}

BOOST_AUTO_TEST_SUITE_END()
