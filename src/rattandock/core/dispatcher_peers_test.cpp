#include <boost/test/unit_test.hpp>

#include "rattandock/core/dispatcher.hpp"

using namespace rattandock;
using namespace rattandock::core;
using namespace std::chrono_literals;

namespace {

const VmId homeVm{"vm-1"};
const VmId entryVm{"vm-2"};
constexpr Incarnation homeIncarnation{700};

DispatcherOptions makeOptions(const VmId &vm, Incarnation incarnation)
{
    DispatcherOptions options;
    options.vm = vm;
    options.incarnation = incarnation;
    return options;
}

struct Fixture
{
    Fixture()
    {
        job.id = JobId{format(home.issueToken(now)) + "/a"};
        job.deadline = 5s;
        job.tasks.resize(1, TaskSpec{"payload", 100ms, {}});
        entry.handle(PeerLinkChanged{homeVm, true}, now, actions);
        receiveHomeHeartbeat(homeIncarnation);
        actions.clear();
    }

    void receiveHomeHeartbeat(Incarnation incarnation)
    {
        Heartbeat heartbeat;
        heartbeat.vm = homeVm;
        heartbeat.incarnation = incarnation;
        entry.handle(PeerMessageReceived{homeVm, heartbeat}, now, actions);
    }

    void submit(std::uint64_t request)
    {
        entry.handle(JobSubmitted{CallerRequestId{request}, job}, now, actions);
    }

    std::vector<JobOutcome> answers() const
    {
        std::vector<JobOutcome> found;
        for (const Action &it : actions) {
            if (const auto *answer = std::get_if<AnswerCaller>(&it)) {
                found.push_back(answer->outcome);
            }
        }
        return found;
    }

    template <typename Message>
    std::vector<Message> sent() const
    {
        std::vector<Message> found;
        for (const Action &it : actions) {
            const auto *send = std::get_if<SendToPeer>(&it);
            if (send != nullptr && std::holds_alternative<Message>(send->message)) {
                found.push_back(std::get<Message>(send->message));
            }
        }
        return found;
    }

    void expectUnknown(UnknownReason reason)
    {
        const auto found = answers();
        BOOST_REQUIRE_EQUAL(found.size(), 1);
        const JobOutcome expected = Unknown{reason};
        BOOST_TEST((found[0] == expected));
    }

    TimePoint now{1s};
    Actions actions;
    Dispatcher home{makeOptions(homeVm, homeIncarnation), 1};
    Dispatcher entry{makeOptions(entryVm, Incarnation{900}), 2};
    JobSpec job;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(DispatcherPeersTest, Fixture)

// Guards against a request that gets the answer to another request, or two answers.
BOOST_AUTO_TEST_CASE(relaysTheAnswerOfTheHomeOnce)
{
    submit(1);
    const auto forwards = sent<ForwardJob>();
    BOOST_REQUIRE_EQUAL(forwards.size(), 1);
    BOOST_TEST((forwards[0].expectedIncarnation == homeIncarnation));
    const ForwardedAnswer answer{forwards[0].forwardNumber, Complete{{"x"}}};
    entry.handle(PeerMessageReceived{VmId{"vm-3"}, answer}, now, actions);
    BOOST_TEST(answers().empty());
    entry.handle(PeerMessageReceived{homeVm, answer}, now, actions);
    entry.handle(PeerMessageReceived{homeVm, answer}, now, actions);
    BOOST_REQUIRE_EQUAL(answers().size(), 1);
    BOOST_TEST((answers()[0] == JobOutcome{Complete{{"x"}}}));
}

// Guards against a caller that keeps waiting for an answer lost with the link.
BOOST_AUTO_TEST_CASE(linkDownEndsForwardedRequests)
{
    submit(1);
    entry.handle(PeerLinkChanged{homeVm, false}, now, actions);
    expectUnknown(UnknownReason::HomeUnreachable);
    actions.clear();
    submit(2);
    expectUnknown(UnknownReason::HomeUnreachable);
    BOOST_TEST(sent<ForwardJob>().empty());
}

// Guards against a caller that keeps waiting for a home that never replies.
BOOST_AUTO_TEST_CASE(silentHomeIsBoundedByTheDeadline)
{
    submit(1);
    BOOST_REQUIRE(entry.nextTimer().has_value());
    now = *entry.nextTimer();
    BOOST_TEST((now == TimePoint{1s} + 5s + 2s));
    entry.handle(TimerFired{}, now, actions);
    expectUnknown(UnknownReason::HomeUnreachable);
}

// Guards against a VM that answers a submission for its previous incarnation.
BOOST_AUTO_TEST_CASE(replacedHomeIsLost)
{
    receiveHomeHeartbeat(Incarnation{701});
    submit(1);
    expectUnknown(UnknownReason::HomeLost);
}

// Guards against a home that accepts a submission for another incarnation than its own.
BOOST_AUTO_TEST_CASE(homeChecksTheExpectedIncarnation)
{
    home.handle(PeerMessageReceived{entryVm, ForwardJob{5, Incarnation{701}, job}}, now, actions);
    const auto sentAnswers = sent<ForwardedAnswer>();
    BOOST_REQUIRE_EQUAL(sentAnswers.size(), 1);
    BOOST_TEST((sentAnswers[0].outcome == JobOutcome{Unknown{UnknownReason::HomeLost}}));
}

BOOST_AUTO_TEST_SUITE_END()
