#include <map>
#include <set>

#include <boost/test/unit_test.hpp>

#include "detail/scheduler_test_fixture.hpp"

using namespace rattandock;
using namespace rattandock::core;
using namespace std::chrono_literals;

BOOST_FIXTURE_TEST_SUITE(SchedulerFailuresTest, detail::SchedulerTestFixture)

// Guards against a storm of re-sends when a whole zone refuses, and against re-sends at once.
BOOST_AUTO_TEST_CASE(refusingZoneCausesFewResends)
{
    configure(30, 8);
    std::size_t starts = 0;
    std::size_t resends = 0;
    std::set<TaskRef> seen;
    for (std::uint64_t job = 1; job <= 400; ++job) {
        submit(job, 5);
        now += 2ms;
        for (const PlacedTask &it : dispatch()) {
            (seen.insert(it.task).second ? starts : resends) += 1;
            end(it, AttemptNotStarted{NotStartedReason::ConnectionRefused});
            if (sendAgain(it) == RetryVerdict::BudgetEmpty) {
                scheduler.withdraw(it.task.job);
            }
        }
    }
    BOOST_TEST(starts > 400);
    BOOST_TEST(resends > 0);
    BOOST_TEST(resends <= starts / 10 + 10);
    BOOST_TEST(scheduler.runningTasks() == 0);
}

// Guards against a delayed task that is forgotten, or that starts before its backoff is over.
BOOST_AUTO_TEST_CASE(unstartedTaskStartsAgainAfterItsBackoff)
{
    configure(2, 1);
    submit(1, 1);
    const auto first = dispatch();
    BOOST_REQUIRE_EQUAL(first.size(), 1);
    end(first[0], AttemptNotStarted{NotStartedReason::UpstreamRefused});
    BOOST_TEST((sendAgain(first[0]) == RetryVerdict::Requeued));
    BOOST_TEST(dispatch().empty());
    const auto due = scheduler.nextTimer();
    BOOST_REQUIRE(due.has_value());
    BOOST_TEST((*due >= now + 5ms));
    BOOST_TEST((*due <= now + 15ms));
    now = *due;
    BOOST_TEST(dispatch().size() == 1);
    BOOST_TEST(!scheduler.nextTimer().has_value());
}

// Guards against an upstream that fails everything and goes on getting tasks, or never again.
BOOST_AUTO_TEST_CASE(failingUpstreamIsSetAsideAndRestoredByOneTask)
{
    configure(3, 1);
    std::map<UpstreamId, std::size_t> failures;
    const UpstreamId broken{"0"};
    for (std::uint64_t job = 1; job <= 60; ++job) {
        submit(job, 1);
        for (const PlacedTask &it : dispatch()) {
            if (it.upstream == broken) {
                end(it, AttemptFailed{AttemptFailure::BadStatus});
                ++failures[it.upstream];
            } else {
                end(it);
            }
        }
        now += 10ms;
    }
    BOOST_TEST(failures[broken] == 5);
    BOOST_TEST(notes(NoteKind::UpstreamSetAside) == 1);
    now += 2s;
    submit(100, 6);
    std::size_t onProbe = 0;
    for (const PlacedTask &it : dispatch()) {
        onProbe += it.upstream == broken ? 1 : 0;
        if (it.upstream == broken) {
            BOOST_TEST(it.reason == "probe");
        }
        end(it);
    }
    BOOST_TEST(onProbe == 1);
    BOOST_TEST(notes(NoteKind::UpstreamRestored) == 1);
}

// Guards against upstreams that are blamed for attempts which the dispatcher itself stopped.
BOOST_AUTO_TEST_CASE(stoppedAttemptsDoNotCountAsFailures)
{
    configure(3, 1);
    for (std::uint64_t job = 1; job <= 30; ++job) {
        submit(job, 1);
        for (const PlacedTask &it : dispatch()) {
            scheduler.withdraw(it.task.job);
            end(it, AttemptFailed{AttemptFailure::ConnectionLost});
        }
    }
    BOOST_TEST(notes(NoteKind::UpstreamSetAside) == 0);
}

// Guards against an upstream that hangs and is never blamed, because its jobs are given up first.
BOOST_AUTO_TEST_CASE(hangingUpstreamIsSetAside)
{
    configure(3, 1);
    std::size_t onHanging = 0;
    for (std::uint64_t job = 1; job <= 40; ++job) {
        submit(job, 3);
        for (const PlacedTask &it : dispatch()) {
            if (it.upstream != UpstreamId{"0"}) {
                end(it);
                continue;
            }
            ++onHanging;
            scheduler.withdraw(it.task.job);
            scheduler.attemptEnded(it.task, it.upstream, AttemptFailed{AttemptFailure::TimedOut},
                                   10s, now, actions);
        }
    }
    BOOST_TEST(onHanging == 5);
    BOOST_TEST(notes(NoteKind::UpstreamSetAside) == 1);
}

// Guards against a leaving upstream that gets work again through a re-send or a new job.
BOOST_AUTO_TEST_CASE(leavingUpstreamGetsNoNewWork)
{
    configure(1, 1);
    submit(1, 2);
    const auto first = dispatch();
    BOOST_REQUIRE_EQUAL(first.size(), 1);
    scheduler.seeUpstream(first[0].upstream, UpstreamLife::Leaving, now, actions);
    BOOST_TEST(notes(NoteKind::UpstreamLeaving) == 1);
    end(first[0]);
    BOOST_TEST(dispatch().empty());
    JobSpec job;
    job.deadline = 10s;
    job.tasks.resize(1, TaskSpec{"payload", 100ms, {}});
    const auto refusal = scheduler.refusalFor(job, now);
    BOOST_REQUIRE(refusal);
    BOOST_TEST((refusal->reason == RefusalReason::NoUpstreams));
}

// Guards against jobs that are held until their deadline after the last upstream that fits left.
BOOST_AUTO_TEST_CASE(jobsWithoutAnUpstreamAreReportedAsStranded)
{
    configure(2, 1);
    submit(1, 3);
    submit(2, 1);
    BOOST_TEST(dispatch().size() == 2);
    BOOST_TEST(scheduler.strandedJobs().empty());
    scheduler.seeUpstream(UpstreamId{"0"}, UpstreamLife::Leaving, now, actions);
    BOOST_TEST(scheduler.strandedJobs().empty());
    scheduler.seeUpstream(UpstreamId{"1"}, UpstreamLife::Gone, now, actions);
    const auto stranded = scheduler.strandedJobs();
    BOOST_REQUIRE(!stranded.empty());
    for (const JobHandle &it : stranded) {
        scheduler.withdraw(it);
    }
    BOOST_TEST(scheduler.queuedTasks() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
