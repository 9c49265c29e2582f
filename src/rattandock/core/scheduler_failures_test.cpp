#include <map>
#include <set>

#include <boost/test/unit_test.hpp>

#include "detail/scheduler_test_fixture.hpp"

using namespace rattandock;
using namespace rattandock::core;
using namespace std::chrono_literals;

BOOST_FIXTURE_TEST_SUITE(SchedulerFailuresTest, detail::SchedulerTestFixture)

// Guards against a retry storm when all upstreams of an availability zone refuse tasks, and against
// re-sends without a delay.
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
            if (requeue(it) == RequeueResult::BudgetEmpty) {
                scheduler.withdraw(it.task.job);
            }
        }
    }
    BOOST_TEST(starts > 400);
    BOOST_TEST(resends > 0);
    BOOST_TEST(resends <= starts / 10 + 10);
    BOOST_TEST(scheduler.runningTasks() == 0);
}

// Guards against a task that is lost during its backoff or started before the backoff has passed.
BOOST_AUTO_TEST_CASE(unstartedTaskStartsAgainAfterItsBackoff)
{
    configure(2, 1);
    submit(1, 1);
    const auto first = dispatch();
    BOOST_REQUIRE_EQUAL(first.size(), 1);
    end(first[0], AttemptNotStarted{NotStartedReason::UpstreamRefused});
    BOOST_TEST((requeue(first[0]) == RequeueResult::Requeued));
    BOOST_TEST(dispatch().empty());
    const auto due = scheduler.nextTimer();
    BOOST_REQUIRE(due.has_value());
    BOOST_TEST((*due >= now + 5ms));
    BOOST_TEST((*due <= now + 15ms));
    now = *due;
    BOOST_TEST(dispatch().size() == 1);
    BOOST_TEST(!scheduler.nextTimer().has_value());
}

// Guards against an upstream that keeps receiving tasks although all of them fail, and against one
// that receives no task again after it has recovered.
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
    BOOST_TEST(countNotes(NoteKind::UpstreamSetAside) == 1);
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
    BOOST_TEST(countNotes(NoteKind::UpstreamRestored) == 1);
}

// Guards against counting attempts that the dispatcher itself aborted as upstream failures.
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
    BOOST_TEST(countNotes(NoteKind::UpstreamSetAside) == 0);
}

// Guards against a hanging upstream that is never ejected. Its jobs reach their deadline before the
// upstream returns a result, so only aborted attempts reveal the fault.
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
    BOOST_TEST(countNotes(NoteKind::UpstreamSetAside) == 1);
}

// Guards against a leaving upstream that receives queued tasks or tasks of a new job.
BOOST_AUTO_TEST_CASE(leavingUpstreamGetsNoNewWork)
{
    configure(1, 1);
    submit(1, 2);
    const auto first = dispatch();
    BOOST_REQUIRE_EQUAL(first.size(), 1);
    scheduler.setUpstreamLife(first[0].upstream, UpstreamLife::Leaving, now, actions);
    BOOST_TEST(countNotes(NoteKind::UpstreamLeaving) == 1);
    end(first[0]);
    BOOST_TEST(dispatch().empty());
    JobSpec job;
    job.deadline = 10s;
    job.tasks.resize(1, TaskSpec{"payload", 100ms, {}});
    const auto refusal = scheduler.refusalFor(job, now);
    BOOST_REQUIRE(refusal);
    BOOST_TEST((refusal->reason == RefusalReason::NoUpstreams));
}

// Guards against jobs that stay queued until their deadline after the last fitting upstream left.
BOOST_AUTO_TEST_CASE(queuedJobsWithoutAnUpstreamAreReportedUnplaceable)
{
    configure(2, 1);
    submit(1, 3);
    submit(2, 1);
    BOOST_TEST(dispatch().size() == 2);
    BOOST_TEST(scheduler.unplaceableJobs().empty());
    scheduler.setUpstreamLife(UpstreamId{"0"}, UpstreamLife::Leaving, now, actions);
    BOOST_TEST(scheduler.unplaceableJobs().empty());
    scheduler.setUpstreamLife(UpstreamId{"1"}, UpstreamLife::Gone, now, actions);
    const auto stranded = scheduler.unplaceableJobs();
    BOOST_REQUIRE(!stranded.empty());
    for (const JobHandle &it : stranded) {
        scheduler.withdraw(it);
    }
    BOOST_TEST(scheduler.queuedTasks() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
