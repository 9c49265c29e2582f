// Evacuation of zones in a single FleetDispatcher. Events of upstreams, of the store and of other
// VMs are scripted.
#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "evacuation_fixture_test.hpp"

using namespace rattandock;
using namespace rattandock::fleet;
using namespace rattandock::fleet::test;
using namespace std::chrono_literals;

BOOST_FIXTURE_TEST_SUITE(FleetDispatcherEvacuationTest, EvacuationFixture)

// Guards against a task that waits for upstreams of an evacuated zone although another VM has room.
BOOST_AUTO_TEST_CASE(offersWaitingTasksToAnotherVm)
{
    submit(1, job("full", 2));
    confirmStarts();
    submit(2, job("waits", 1));
    read(2, {zone});
    BOOST_TEST(take<StartOrder>().empty());
    BOOST_TEST(takeMessages<TaskOffer>().empty());
    reportRoomOfPeer();
    const auto offers = takeMessages<TaskOffer>();
    BOOST_REQUIRE(offers.size() == 1);
    BOOST_TEST(offers[0].job.id.value() == "waits");
    submit(3, job("new", 1));
    BOOST_TEST(take<StartOrder>().empty());
    BOOST_TEST(takeMessages<TaskOffer>().size() == 1);
    BOOST_TEST(dispatcher.roomReport(now).usableCpu == 0);
    BOOST_TEST(dispatcher.canAcceptJobs());
}

// Guards against stopping what runs in an evacuated zone, and against giving its upstreams away.
BOOST_AUTO_TEST_CASE(finishesRunningTasks)
{
    submit(1, job("runs", 2));
    confirmStarts();
    read(2, {zone});
    pass(50ms);
    BOOST_TEST(take<StopOrder>().empty());
    BOOST_TEST(take<AnswerJob>().empty());
    pass(50ms);
    answerPolls();
    finishRuns();
    pass(50ms);
    const auto answers = take<AnswerJob>();
    BOOST_REQUIRE(answers.size() == 1);
    BOOST_TEST(std::holds_alternative<JobCompleted>(answers[0].end));
    pass(5s);
    BOOST_TEST(dispatcher.status().keptUpstreams == 1);
    BOOST_TEST(take<WriteKeepers>().empty());
}

// Guards against jobs that wait, or are admitted, although no zone may run them. Both zones are
// evacuated one after the other.
BOOST_AUTO_TEST_CASE(refusesAtOnceWhenAllZonesAreEvacuated)
{
    reportRoomOfPeer();
    read(2, {zone});
    submit(1, job("waits", 1));
    submit(2, job("offered", 1));
    const auto offers = takeMessages<TaskOffer>();
    BOOST_REQUIRE(offers.size() == 2);
    send(OfferEnded{peer, TaskOfferEnded{offers[0].number, OfferResult::NotRun}});
    BOOST_TEST(dispatcher.status().waitingTasks == 1);
    read(3, {zone, otherZone});
    BOOST_TEST((takeRefusals() == std::vector{TurnAwayReason::NoUpstreams}));
    // The other job's offer comes back later.
    send(OfferEnded{peer, TaskOfferEnded{offers[1].number, OfferResult::NotRun}});
    pass(25ms);
    BOOST_TEST((takeRefusals() == std::vector{TurnAwayReason::NoUpstreams}));
    reportRoomOfPeer();
    submit(5, job("late", 1));
    const auto refusals = takeRefusals();
    BOOST_REQUIRE(refusals.size() == 1);
    BOOST_TEST((refusals[0] == TurnAwayReason::NoUpstreams));
}

// Guards against a job that is refused for 30 s as too large, or admitted, when the only upstreams
// with its label are evacuated.
BOOST_AUTO_TEST_CASE(refusesAJobWhoseLabelIsEvacuated)
{
    UpstreamEntry special = entry(UpstreamId{"w"}, zone);
    special.labels = {"kind", "special"};
    send(UpstreamListRead{{special}, {}, false, now});
    read(2, {zone});
    reportRoomOfPeer();
    FleetJob one = job("labelled", 1);
    one.requiredLabel = "special";
    submit(1, one);
    const auto refusals = takeRefusals();
    BOOST_REQUIRE(refusals.size() == 1);
    BOOST_TEST((refusals[0] == TurnAwayReason::NoUpstreams));
}

// Guards against offered tasks that wait at a VM whose zone is evacuated until their limit.
BOOST_AUTO_TEST_CASE(returnsOfferedTasksAtOnce)
{
    submit(1, job("full", 2));
    confirmStarts();
    send(OfferReceived{peer, TaskOffer{5, job("waits", 1), {0}, 1}});
    read(2, {zone});
    send(OfferReceived{peer, TaskOffer{6, job("new", 1), {0}, 1}});
    const auto ends = takeMessages<TaskOfferEnded>();
    BOOST_REQUIRE(ends.size() == 2);
    BOOST_TEST(ends[0].number == 5);
    BOOST_TEST((ends[0].result == OfferResult::NotRun));
    BOOST_TEST(ends[1].number == 6);
    BOOST_TEST((ends[1].result == OfferResult::NotRun));
}

// Guards against starts on an upstream that this VM takes over during the evacuation of its zone.
BOOST_AUTO_TEST_CASE(startsNothingOnAnUpstreamThatItTakesOver)
{
    submit(1, job("full", 2));
    confirmStarts();
    read(2, {otherZone});
    keep(second, otherZone, 2);
    pass(50ms);
    BOOST_TEST(dispatcher.status().keptUpstreams == 2);
    submit(2, job("waits", 1));
    BOOST_TEST(take<StartOrder>().empty());
    read(3, {});
    const auto starts = take<StartOrder>();
    BOOST_REQUIRE(starts.size() == 1);
    BOOST_TEST(starts[0].upstream == second);
}

// Guards against starts with a set in which a request may be missing, and against a VM that stops
// while the store is unavailable.
BOOST_AUTO_TEST_CASE(startsNothingByAnOldSetUnlessReadsFail)
{
    canReadRequests = false;
    pass(maxEvacuationAge(5s) + 100ms);
    submit(1, job("old", 1));
    BOOST_TEST(take<StartOrder>().empty());
    BOOST_TEST((dispatcher.evacuationReadWait(now) == 0s));
    send(EvacuationsReadFailed{now});
    submit(2, job("store-down", 1));
    BOOST_TEST(take<StartOrder>().size() >= 1);
}

// Guards against starts after a pause in a zone that was evacuated meanwhile: answers to reads from
// before the pause show nothing, nor does a failure or a message on a link from before it.
BOOST_AUTO_TEST_CASE(needsNewKnowledgeAfterAPause)
{
    canReadRequests = false;
    const TimePoint before = now;
    // The monotonic clock did not advance while the VM was suspended.
    now += 10ms;
    send(ProcessPaused{10s});
    send(EvacuationsRead{readVersion, {}, before});
    send(EvacuationStateReceived{peer, {readVersion, {}, 0ms}});
    pass(120ms);
    send(EvacuationsReadFailed{now});
    submit(1, job("paused", 1));
    BOOST_TEST(take<StartOrder>().empty());
    // The set of another VM, on a link that came up after the pause.
    send(PeerLinkChanged{peer, false});
    send(PeerLinkChanged{peer, true});
    send(EvacuationStateReceived{peer, {readVersion + 1, {zone}, 0ms}});
    submit(2, job("evacuated", 1));
    BOOST_TEST(take<StartOrder>().empty());
    send(EvacuationStateReceived{peer, {readVersion + 2, {}, 0ms}});
    submit(3, job("withdrawn", 1));
    BOOST_TEST(take<StartOrder>().size() >= 1);
}

// Guards against a pause after which a VM that can read the store never starts again.
BOOST_AUTO_TEST_CASE(startsAfterAPauseAndANewRead)
{
    canReadRequests = false;
    now += 2s;
    send(ProcessPaused{2s});
    pass(120ms);
    submit(1, job("before", 1));
    BOOST_TEST(take<StartOrder>().empty());
    read(readVersion, {});
    submit(2, job("after", 1));
    BOOST_TEST(take<StartOrder>().size() >= 1);
}

// Guards against a VM that never learns of a request because the store rejects it, and against an
// old message that withdraws a newer request.
BOOST_AUTO_TEST_CASE(takesTheSetFromAnotherVm)
{
    canReadRequests = false;
    send(EvacuationsReadFailed{now});
    send(EvacuationStateReceived{peer, {9, {zone}, 300ms}});
    submit(1, job("one", 1));
    BOOST_TEST(take<StartOrder>().empty());
    send(EvacuationStateReceived{peer, {8, {}, 0ms}});
    submit(2, job("two", 1));
    BOOST_TEST(take<StartOrder>().empty());
    send(EvacuationStateReceived{peer, {10, {}, 0ms}});
    submit(3, job("three", 1));
    BOOST_TEST(take<StartOrder>().size() >= 1);
    const auto records = take<FleetLogRecord>();
    const auto isKind = [](FleetLogRecordKind kind) {
        return [kind](const FleetLogRecord &it) {
            return it.kind == kind && it.reason == "peer" && it.detail.starts_with("z");
        };
    };
    BOOST_TEST(std::ranges::count_if(records, isKind(FleetLogRecordKind::EvacuationRequested))
               == 1);
    BOOST_TEST(std::ranges::count_if(records, isKind(FleetLogRecordKind::EvacuationWithdrawn))
               == 1);
}

// Guards against two VMs that read different sets at one version and send them to each other
// without end.
BOOST_AUTO_TEST_CASE(takesNoOtherSetOfTheSameVersion)
{
    read(2, {zone});
    takeMessages<EvacuationState>();
    send(EvacuationStateReceived{peer, {2, {otherZone}, 0ms}});
    BOOST_TEST(takeMessages<EvacuationState>().empty());
    BOOST_REQUIRE(dispatcher.status().evacuations.size() == 1);
    BOOST_TEST(dispatcher.status().evacuations[0].zone == zone);
}

// Guards against a message whose age is outside of any range, and that moves the age of the set out
// of the range of the clock.
BOOST_AUTO_TEST_CASE(boundsTheAgeInAMessage)
{
    canReadRequests = false;
    for (const Duration it : {Duration::min(), Duration::max(), Duration{-1}}) {
        send(EvacuationStateReceived{peer, {++readVersion, {zone}, it}});
        const auto asOf = dispatcher.status().evacuationsAsOf;
        BOOST_REQUIRE(asOf.has_value());
        BOOST_TEST((*asOf <= now));
    }
}

// Guards against sending the set with each read, not at all, or only to VMs whose link was up when
// it changed.
BOOST_AUTO_TEST_CASE(sendsTheSetAtAChangeAndOnANewLink)
{
    reportRoomOfPeer();
    takeMessages<EvacuationState>();
    pass(500ms);
    reportRoomOfPeer();
    BOOST_TEST(takeMessages<EvacuationState>().empty());
    read(2, {zone});
    auto sent = takeMessages<EvacuationState>();
    BOOST_REQUIRE(sent.size() == 1);
    BOOST_TEST(sent[0].version == 2);
    BOOST_TEST((sent[0].zones == std::vector{zone}));
    BOOST_TEST((sent[0].age == 0ms));
    reportRoomOfPeer();
    BOOST_TEST(takeMessages<EvacuationState>().empty());
    send(PeerLinkChanged{peer, false});
    send(PeerLinkChanged{peer, true});
    reportRoomOfPeer();
    sent = takeMessages<EvacuationState>();
    BOOST_REQUIRE(sent.size() == 1);
    BOOST_TEST((sent[0].zones == std::vector{zone}));
}

// Guards against a message that closes the link to a VM of an older build during a rolling update.
BOOST_AUTO_TEST_CASE(sendsNothingToAVmThatDoesNotDecodeIt)
{
    send(MembersRead{std::vector{MemberRow{peer, Incarnation{8}, otherZone, "127.0.0.1:2"}},
                     otherZone});
    send(PeerLinkChanged{peer, false});
    send(PeerLinkChanged{peer, true});
    read(2, {zone});
    reportRoomOfPeer();
    BOOST_TEST(takeMessages<EvacuationState>().empty());
}

// Guards against a status without the evacuated zones.
BOOST_AUTO_TEST_CASE(showsEvacuationsInTheStatus)
{
    BOOST_TEST(dispatcher.status().evacuations.empty());
    const TimePoint since = now;
    read(2, {otherZone});
    pass(1s);
    const FleetStatus status = dispatcher.status();
    BOOST_REQUIRE(status.evacuations.size() == 1);
    BOOST_TEST(status.evacuations[0].zone == otherZone);
    BOOST_TEST((status.evacuations[0].since == since));
    BOOST_TEST((status.evacuationsAsOf > since));
}

BOOST_AUTO_TEST_SUITE_END()
