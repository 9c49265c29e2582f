#include "rattandock/core/dispatcher.hpp"

#include <boost/test/unit_test.hpp>

using namespace rattandock;
using namespace rattandock::core;
using namespace std::chrono_literals;

namespace {

struct Fixture
{
    Fixture()
        : dispatcher(options(), 1)
    {
        UpstreamSpec upstream;
        upstream.id = UpstreamId{"u1"};
        upstream.slots = Slots{2};
        send(ConfigurationAccepted{ConfigurationVersion{1}, {upstream}, {}});
        actions.clear();
    }

    static DispatcherOptions options()
    {
        DispatcherOptions options;
        options.vm = VmId{"vm-1"};
        options.incarnation = Incarnation{7};
        return options;
    }

    void send(const Event &event) { dispatcher.handle(event, now, actions); }

    JobSpec job(const std::string &key, std::size_t tasks) const
    {
        JobSpec job;
        job.id = JobId{format(dispatcher.issueToken(now)) + '/' + key};
        job.deadline = 10s;
        job.tasks.resize(tasks, TaskSpec{"payload", 100ms, {}});
        return job;
    }

    template <typename T>
    std::vector<T> actionsOfType()
    {
        std::vector<T> found;
        for (const Action &it : actions) {
            if (const auto *action = std::get_if<T>(&it)) {
                found.push_back(*action);
            }
        }
        return found;
    }

    Dispatcher dispatcher;
    TimePoint now{1s};
    Actions actions;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(DispatcherTest, Fixture)

// Guards against an answer with missing results or results in the wrong order.
BOOST_AUTO_TEST_CASE(answersOnceAllTasksAreDone)
{
    send(JobSubmitted{CallerRequestId{1}, job("a", 2)});
    const auto starts = actionsOfType<StartTask>();
    BOOST_REQUIRE_EQUAL(starts.size(), 2);
    send(AttemptEnded{starts[1].attempt, AttemptCompleted{"second"}, 100ms, false});
    BOOST_TEST(actionsOfType<AnswerCaller>().empty());
    send(AttemptEnded{starts[0].attempt, AttemptCompleted{"first"}, 100ms, false});
    const auto answers = actionsOfType<AnswerCaller>();
    BOOST_REQUIRE_EQUAL(answers.size(), 1);
    const JobOutcome expected = Complete{{"first", "second"}};
    BOOST_TEST((answers[0].outcome == expected));
}

// Guards against a task that is started twice when a caller resubmits its job.
BOOST_AUTO_TEST_CASE(resubmissionJoinsAndThenGetsTheStoredAnswer)
{
    const JobSpec submitted = job("a", 1);
    send(JobSubmitted{CallerRequestId{1}, submitted});
    send(JobSubmitted{CallerRequestId{2}, submitted});
    const auto starts = actionsOfType<StartTask>();
    BOOST_REQUIRE_EQUAL(starts.size(), 1);
    send(AttemptEnded{starts[0].attempt, AttemptCompleted{"x"}, 100ms, false});
    send(JobSubmitted{CallerRequestId{3}, submitted});
    BOOST_TEST(actionsOfType<AnswerCaller>().size() == 3);
    BOOST_TEST(actionsOfType<StartTask>().size() == 1);
}

// Guards against a refused submission that runs when a delayed copy of it arrives.
BOOST_AUTO_TEST_CASE(refusedIdNeverRuns)
{
    JobSpec submitted = job("a", 1);
    submitted.tasks[0].needs.cores = Cores{1000};
    send(JobSubmitted{CallerRequestId{1}, submitted});
    UpstreamSpec larger;
    larger.id = UpstreamId{"u2"};
    larger.capacity.cores = Cores{2000};
    send(ConfigurationAccepted{ConfigurationVersion{2}, {larger}, {}});
    send(JobSubmitted{CallerRequestId{2}, submitted});
    BOOST_TEST(actionsOfType<StartTask>().empty());
    const auto answers = actionsOfType<AnswerCaller>();
    BOOST_REQUIRE_EQUAL(answers.size(), 2);
    BOOST_TEST((answers[0].outcome == answers[1].outcome));
}

// Guards against sending a task again after its request may have reached the upstream.
BOOST_AUTO_TEST_CASE(lostConnectionFailsTheJob)
{
    send(JobSubmitted{CallerRequestId{1}, job("a", 1)});
    const auto starts = actionsOfType<StartTask>();
    BOOST_REQUIRE_EQUAL(starts.size(), 1);
    send(AttemptEnded{starts[0].attempt, AttemptFailed{AttemptFailure::ConnectionLost}, 1ms,
                      false});
    BOOST_TEST(actionsOfType<StartTask>().size() == 1);
    const auto answers = actionsOfType<AnswerCaller>();
    BOOST_REQUIRE_EQUAL(answers.size(), 1);
    const JobOutcome expected = Failed{FailureReason::ConnectionLost, {TaskIndex{0}}};
    BOOST_TEST((answers[0].outcome == expected));
}

// Guards against a delayed submission that runs after its job was cancelled.
BOOST_AUTO_TEST_CASE(cancelBeforeTheSubmissionIsRecorded)
{
    const JobSpec submitted = job("a", 1);
    send(JobCancelled{submitted.id});
    send(JobSubmitted{CallerRequestId{1}, submitted});
    BOOST_TEST(actionsOfType<StartTask>().empty());
    const auto answers = actionsOfType<AnswerCaller>();
    BOOST_REQUIRE_EQUAL(answers.size(), 1);
    const JobOutcome expected = NotRun{RefusalReason::Cancelled, std::nullopt};
    BOOST_TEST((answers[0].outcome == expected));
}

// Guards against a job that is stopped when its caller's connection closes.
BOOST_AUTO_TEST_CASE(jobRunsOnWhenItsCallerLeaves)
{
    const JobSpec submitted = job("a", 1);
    send(JobSubmitted{CallerRequestId{1}, submitted});
    send(CallerDisconnected{CallerRequestId{1}});
    const auto starts = actionsOfType<StartTask>();
    BOOST_REQUIRE_EQUAL(starts.size(), 1);
    BOOST_TEST(actionsOfType<StopTask>().empty());
    send(AttemptEnded{starts[0].attempt, AttemptCompleted{"x"}, 100ms, false});
    send(JobSubmitted{CallerRequestId{2}, submitted});
    const auto answers = actionsOfType<AnswerCaller>();
    BOOST_REQUIRE_EQUAL(answers.size(), 1);
    BOOST_TEST((answers[0].request == CallerRequestId{2}));
    BOOST_TEST((answers[0].outcome == JobOutcome{Complete{{"x"}}}));
}

// Guards against a job that waits until its deadline for an upstream that has left.
BOOST_AUTO_TEST_CASE(jobIsGivenUpWhenItsLastUpstreamLeaves)
{
    send(JobSubmitted{CallerRequestId{1}, job("a", 3)});
    BOOST_REQUIRE_EQUAL(actionsOfType<StartTask>().size(), 2);
    send(UpstreamStateReported{UpstreamId{"u1"}, UpstreamLife::Leaving});
    const auto answers = actionsOfType<AnswerCaller>();
    BOOST_REQUIRE_EQUAL(answers.size(), 1);
    const JobOutcome expected = Failed{FailureReason::NoUpstreams, {TaskIndex{0}, TaskIndex{1}}};
    BOOST_TEST((answers[0].outcome == expected));
}

// Guards against starting tasks on a leaving upstream because the platform's list, which lags,
// still reports it as live.
BOOST_AUTO_TEST_CASE(laggingListDoesNotRestoreALeavingUpstream)
{
    send(JobSubmitted{CallerRequestId{1}, job("a", 1)});
    const auto starts = actionsOfType<StartTask>();
    BOOST_REQUIRE_EQUAL(starts.size(), 1);
    send(AttemptEnded{starts[0].attempt, AttemptCompleted{"x"}, 100ms, true});
    send(UpstreamStateReported{UpstreamId{"u1"}, UpstreamLife::Live});
    send(JobSubmitted{CallerRequestId{2}, job("b", 1)});
    BOOST_TEST(actionsOfType<StartTask>().size() == 1);
    send(UpstreamStateReported{UpstreamId{"u1"}, UpstreamLife::Gone});
    send(UpstreamStateReported{UpstreamId{"u1"}, UpstreamLife::Live});
    send(JobSubmitted{CallerRequestId{3}, job("c", 1)});
    BOOST_TEST(actionsOfType<StartTask>().size() == 2);
}

BOOST_AUTO_TEST_SUITE_END()
