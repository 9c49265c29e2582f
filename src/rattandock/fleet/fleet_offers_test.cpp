// Tests of offers of tasks between VMs, on one FleetDispatcher. Events of upstreams and of other
// VMs are scripted, so that messages can cross.
#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "offers_fixture_test.hpp"

using namespace rattandock;
using namespace rattandock::fleet;
using namespace rattandock::fleet::test;
using namespace std::chrono_literals;

BOOST_FIXTURE_TEST_SUITE(FleetOffersTest, OffersFixture)

// Guards against tasks of a partly started offer that wait until the deadline, although other VMs
// have free room.
BOOST_AUTO_TEST_CASE(returnsTheTasksOfAnOfferThatWereNotStarted)
{
    send(OfferReceived{b, TaskOffer{5, job("offered", 9, 300ms), {2, 4, 8}, 3}});
    BOOST_TEST(taken<TasksReturned>().empty());
    pass(40ms);
    const auto returned = taken<TasksReturned>();
    BOOST_REQUIRE(returned.size() == 1);
    BOOST_TEST(returned[0].first == b);
    BOOST_TEST(returned[0].second.number == 5);
    BOOST_TEST(returned[0].second.tasks == std::vector<std::uint32_t>{8});
    BOOST_TEST(returned[0].second.nextRun == 3);
    // The returned task is not started although there is room now, and the others complete.
    finishRuns();
    const auto ends = taken<TaskOfferEnded>();
    BOOST_REQUIRE(ends.size() == 1);
    BOOST_TEST((ends[0].second.result == OfferResult::Done));
    pass(200ms);
    BOOST_TEST(starts.size() == 2);
}

// Guards against a message that a VM of a former build refuses, which closes the link to it.
BOOST_AUTO_TEST_CASE(sendsAFormerBuildNoNewMessages)
{
    report(b, {}, 0, 0);
    report(c, {}, 0, 0);
    send(OfferReceived{b, TaskOffer{5, job("partly", 3, 300ms), {0, 1, 2}, 1}});
    pass(300ms);
    send(OfferWithdrawn{b, {5}});
    BOOST_TEST(taken<TasksReturned>().empty());
    BOOST_TEST(taken<TaskOfferEnded>().empty());
    finishRuns();

    // Neither is a job offered to the queue of such a VM, nor withdrawn before its deadline.
    occupy();
    report(b, {{64'000, 100}}, 0, 0);
    submit(2, job("offered", 2, 300ms));
    BOOST_TEST(taken<TaskOffer>().size() == 1);
    report(b, {}, 0, 0);
    submit(3, job("waits", 4, 100ms));
    submit(4, job("waits too", 4, 100ms));
    BOOST_TEST(taken<QueuedTaskOffer>().empty());
    pass(1470ms);
    BOOST_TEST(taken<TaskOfferWithdrawn>().empty());
}

// Guards against an offer that comes back so late that the offering VM answers its caller before.
BOOST_AUTO_TEST_CASE(returnsUnstartedTasksBeforeTheDeadline)
{
    occupy();
    FleetJob late = job("offered", 2, 100ms);
    late.deadline = 220ms;
    send(OfferReceived{b, TaskOffer{5, late, {0, 1}, 1}, 1s});
    // The deadline without the answer margin is after 200 ms. A run takes at least 60 ms, and the
    // other VM withdraws 40 ms before.
    pass(100ms);
    const auto ends = taken<TaskOfferEnded>();
    BOOST_REQUIRE(ends.size() == 1);
    BOOST_TEST((ends[0].second.result == OfferResult::NotRun));
}

// Guards against two tasks on one upstream of a job that allows one: tasks that came in another
// offer of the job were not counted.
BOOST_AUTO_TEST_CASE(countsTheTasksOfAllOffersOfAJobOnAnUpstream)
{
    FleetJob apart = job("apart", 3, 300ms);
    apart.maxPerUpstream = 1;
    send(OfferReceived{b, TaskOffer{5, apart, {0}, 1}});
    send(OfferReceived{b, TaskOffer{6, apart, {1}, 1}});
    pass(40ms);
    BOOST_TEST(starts.size() == 1);
    const auto ends = taken<TaskOfferEnded>();
    BOOST_REQUIRE(ends.size() == 1);
    BOOST_TEST(ends[0].second.number == 6);
    BOOST_TEST((ends[0].second.result == OfferResult::NotRun));
    finishRuns();
    send(OfferReceived{b, TaskOffer{7, apart, {1}, 2}});
    pass(10ms);
    BOOST_TEST(starts.size() == 2);
}

// Guards against a withdrawal without an answer, after which the offering VM has to assume that
// tasks were started.
BOOST_AUTO_TEST_CASE(answersAWithdrawal)
{
    occupy();
    send(OfferReceived{b, TaskOffer{5, job("waits", 1, 100ms), {0}, 1}, 1s});
    pass(50ms);
    send(OfferWithdrawn{b, {5}});
    auto ends = taken<TaskOfferEnded>();
    BOOST_REQUIRE(ends.size() == 1);
    BOOST_TEST((ends[0].second.result == OfferResult::NotRun));
    finishRuns();
    BOOST_TEST(starts.empty());

    send(OfferReceived{b, TaskOffer{6, job("runs", 1, 100ms), {0}, 1}});
    pass(20ms);
    send(OfferWithdrawn{b, {6}});
    ends = taken<TaskOfferEnded>();
    BOOST_REQUIRE(ends.size() == 1);
    BOOST_TEST((ends[0].second.result == OfferResult::GivenUp));
    // The answer and the withdrawal have crossed.
    send(OfferWithdrawn{b, {6}});
    BOOST_TEST(taken<TaskOfferEnded>().empty());
}

// Guards against tasks that wait in a queue by agreement and come back after 100 ms, and against
// a queue that puts them behind its own jobs whatever their urgency.
BOOST_AUTO_TEST_CASE(queuesOfferedTasksWithItsOwnJobs)
{
    occupy();
    FleetJob own = job("own and later", 2, 100ms);
    submit(2, own);
    FleetJob urgent = job("urgent", 2, 100ms);
    urgent.objective = 600ms;
    send(OfferReceived{b, TaskOffer{5, urgent, {0, 1}, 1}, 400ms});
    pass(200ms);
    BOOST_TEST(taken<TaskOfferEnded>().empty());
    finishRuns();
    BOOST_REQUIRE(starts.size() >= 2);
    BOOST_TEST(starts[0].name.job == "urgent");
    BOOST_TEST(starts[1].name.job == "urgent");
}

// Guards against returned tasks that are started a second time or with an old run number, or whose
// job never ends.
BOOST_AUTO_TEST_CASE(placesReturnedTasksElsewhere)
{
    const std::uint64_t offer = offerToB(3);
    send(OfferedTasksReturned{b, {offer, {1}, 4}});
    BOOST_TEST(taken<TaskOffer>().empty());
    report(c, {{64'000, 100}});
    pass(5ms);
    const auto again = taken<TaskOffer>();
    BOOST_REQUIRE(again.size() == 1);
    BOOST_TEST(again[0].first == c);
    BOOST_TEST(again[0].second.tasks == std::vector<std::uint32_t>{1});
    BOOST_TEST(again[0].second.firstRun == 4);
    send(OfferEnded{b, {offer, OfferResult::Done}});
    BOOST_TEST(!answerOf("offered"));
    send(OfferEnded{c, {again[0].second.number, OfferResult::Done}});
    const auto end = answerOf("offered");
    BOOST_REQUIRE(end);
    BOOST_TEST(std::holds_alternative<JobCompleted>(*end));
}

// Guards against a return that is applied to another offer, twice, or with tasks that were not
// offered, for example because it crossed the end of the offer.
BOOST_AUTO_TEST_CASE(ignoresReturnsOfOtherTasks)
{
    const std::uint64_t offer = offerToB(3);
    send(OfferedTasksReturned{c, {offer, {0, 1, 2}, 1}});
    send(OfferedTasksReturned{b, {offer + 9, {0, 1, 2}, 1}});
    send(OfferedTasksReturned{b, {offer, {7, 4'000'000'000}, 1}});
    BOOST_TEST(dispatcher->status().waitingTasks == 0);
    send(OfferedTasksReturned{b, {offer, {1, 1}, 1}});
    send(OfferedTasksReturned{b, {offer, {1}, 1}});
    BOOST_TEST(dispatcher->status().waitingTasks == 1);
    send(OfferEnded{b, {offer, OfferResult::Done}});
    send(OfferedTasksReturned{b, {offer, {0}, 1}});
    BOOST_TEST(dispatcher->status().waitingTasks == 1);
}

// Guards against the start of a returned task after the link to the VM that runs the other tasks
// was lost and the caller was told that the job is broken off.
BOOST_AUTO_TEST_CASE(breaksOffAJobWhoseLinkIsLostAfterAReturn)
{
    const std::uint64_t offer = offerToB(3);
    send(OfferedTasksReturned{b, {offer, {1}, 1}});
    send(PeerLinkChanged{b, false});
    const auto end = answerOf("offered");
    BOOST_REQUIRE(end);
    BOOST_TEST(std::holds_alternative<JobBrokenOff>(*end));
    // A message of the lost link that was read before.
    send(OfferedTasksReturned{b, {offer, {2}, 1}});
    finishRuns();
    BOOST_TEST(starts.empty());
    BOOST_TEST(taken<TaskOffer>().empty());
}

// Guards against a 504 for a job of which nothing was started, because its offer is open at the
// deadline.
BOOST_AUTO_TEST_CASE(refusesAJobWhoseWithdrawnOfferWasNotRun)
{
    const std::uint64_t offer = offerToB(2);
    passUntilWithdrawn(offer);
    report(b, {{64'000, 100}, {64'000, 100}});
    send(OfferEnded{b, {offer, OfferResult::NotRun}});
    const auto end = answerOf("offered");
    BOOST_REQUIRE(end);
    BOOST_TEST(std::holds_alternative<JobTurnedAway>(*end));
    BOOST_TEST(taken<TaskOffer>().empty());
    // The withdrawal has crossed a second answer.
    send(OfferEnded{b, {offer, OfferResult::NotRun}});
    finishRuns();
    BOOST_TEST(starts.empty());
    BOOST_TEST(!answerOf("offered"));
}

// Guards against a start of a task here, after which the job could not be refused any more, while
// the answer to the withdrawal of the other tasks is on its way.
BOOST_AUTO_TEST_CASE(startsNothingOfAWithdrawnJob)
{
    // As long as its runs will take, so that expected run times do not change.
    occupy(1400ms);
    report(b, {{64'000, 100}});
    submit(2, job("offered", 3, 15ms));
    const auto offers = taken<TaskOffer>();
    BOOST_REQUIRE(offers.size() == 1);
    BOOST_TEST(offers[0].second.tasks.size() == 2);
    report(b, {});
    // One task waits here. The offer is withdrawn 49 ms before the deadline, when the task could
    // still be started.
    pass(1425ms);
    bool isWithdrawn = false;
    for (int n = 0; n < 6 && !isWithdrawn; ++n) {
        pass(5ms);
        isWithdrawn = !taken<TaskOfferWithdrawn>().empty();
    }
    BOOST_REQUIRE(isWithdrawn);
    for (const ActiveRun &it : std::exchange(active, {})) {
        ended.push_back({EndNumber{++lastEnd}, it.name, it.number, RunEndKind::Done});
    }
    pass(5ms);
    BOOST_TEST(answerOf("own").has_value());
    pass(5ms);
    BOOST_TEST(starts.empty());
    send(OfferEnded{b, {offers[0].second.number, OfferResult::NotRun}});
    const auto end = answerOf("offered");
    BOOST_REQUIRE(end);
    BOOST_TEST(std::holds_alternative<JobTurnedAway>(*end));
    pass(50ms);
    BOOST_TEST(starts.empty());
}

// Guards against a refusal of a job of which a task was started.
BOOST_AUTO_TEST_CASE(breaksOffAJobWhoseWithdrawnOfferWasStarted)
{
    const std::uint64_t offer = offerToB(2);
    passUntilWithdrawn(offer);
    send(OfferEnded{b, {offer, OfferResult::GivenUp}});
    const auto end = answerOf("offered");
    BOOST_REQUIRE(end);
    BOOST_TEST(std::holds_alternative<JobBrokenOff>(*end));
}

// Guards against a refusal, or no answer at all, while the withdrawal of an offer is not answered.
BOOST_AUTO_TEST_CASE(breaksOffAJobWhoseWithdrawalIsNotAnswered)
{
    const std::uint64_t offer = offerToB(2);
    passUntilWithdrawn(offer);
    pass(40ms);
    const auto end = answerOf("offered");
    BOOST_REQUIRE(end);
    BOOST_TEST(std::holds_alternative<JobBrokenOff>(*end));
}

// Guards against a lost result when the end of the tasks crosses the withdrawal of their offer.
BOOST_AUTO_TEST_CASE(completesAJobWhoseEndCrossesTheWithdrawal)
{
    const std::uint64_t offer = offerToB(2);
    passUntilWithdrawn(offer);
    send(OfferEnded{b, {offer, OfferResult::Done}});
    const auto end = answerOf("offered");
    BOOST_REQUIRE(end);
    BOOST_TEST(std::holds_alternative<JobCompleted>(*end));
}

// Guards against a refusal when a part of the tasks comes back, which crosses the withdrawal, while
// others were started.
BOOST_AUTO_TEST_CASE(breaksOffAJobWhoseReturnCrossesTheWithdrawal)
{
    const std::uint64_t offer = offerToB(3);
    passUntilWithdrawn(offer);
    send(OfferedTasksReturned{b, {offer, {1}, 1}});
    // No time is left for another run of the returned task.
    pass(20ms);
    const auto end = answerOf("offered");
    BOOST_REQUIRE(end);
    BOOST_TEST(std::holds_alternative<JobBrokenOff>(*end));
    send(OfferEnded{b, {offer, OfferResult::GivenUp}});
    BOOST_TEST(!answerOf("offered"));
    finishRuns();
    BOOST_TEST(starts.empty());
}

// Guards against a 502 at the stop limit for a job of which nothing was started.
BOOST_AUTO_TEST_CASE(withdrawsOffersBeforeTheStopLimit)
{
    occupy();
    send(StopRequested{});
    pass(2400ms);
    report(b, {{64'000, 100}, {64'000, 100}});
    FleetJob last = job("last", 2, 300ms);
    last.deadline = 4000ms;
    last.objective = 3900ms;
    submit(2, last);
    const auto offers = taken<TaskOffer>();
    BOOST_REQUIRE(offers.size() == 1);
    pass(2020ms);
    BOOST_TEST(taken<TaskOfferWithdrawn>().empty());
    pass(50ms);
    BOOST_TEST(taken<TaskOfferWithdrawn>().size() == 1);
    send(OfferEnded{b, {offers[0].second.number, OfferResult::NotRun}});
    const auto end = answerOf("last");
    BOOST_REQUIRE(end);
    const auto *const refusal = std::get_if<JobTurnedAway>(&*end);
    BOOST_REQUIRE(refusal != nullptr);
    BOOST_TEST((refusal->reason == TurnAwayReason::Stopping));
}

// Guards against an event that sends an offer to each of many peers.
BOOST_AUTO_TEST_CASE(sendsAtMostTwoOffersForOneJobAndEvent)
{
    occupy();
    for (int n = 0; n < 10; ++n) {
        const VmId peer{std::string{"p"} + std::to_string(n)};
        send(PeerLinkChanged{peer, true});
        report(peer, {{27'000, 100}});
    }
    submit(2, job("wide", 10, 100ms));
    BOOST_TEST(taken<TaskOffer>().size() == 2);
    pass(5ms);
    BOOST_TEST(taken<TaskOffer>().size() >= 2);
}

// Guards against jobs of a VM with few upstreams that wait behind its own queue, while the queues
// of large VMs are short but never empty, so that they report no free room.
BOOST_AUTO_TEST_CASE(offersWaitingTasksToAShorterQueue)
{
    occupy();
    // Work of 50 ms, and of 1 s.
    report(b, {}, 640'000ULL * 50'000);
    report(c, {}, 640'000ULL * 1'000'000);
    // The first job is the next one here. Before it ends, the second one waits for about 100 ms.
    submit(2, job("first", 4, 100ms));
    BOOST_TEST(taken<QueuedTaskOffer>().empty());
    submit(3, job("second", 4, 100ms));
    const auto offers = taken<QueuedTaskOffer>();
    BOOST_REQUIRE(offers.size() == 1);
    BOOST_TEST(offers[0].first == b);
    BOOST_TEST(offers[0].second.offer.job.id.value() == "second");
    BOOST_TEST(offers[0].second.offer.tasks.size() == 4);
    // More than the expected wait, and early enough to place the tasks elsewhere.
    BOOST_TEST((offers[0].second.startWithin > 200ms));
    BOOST_TEST((offers[0].second.startWithin < 750ms));
}

// Guards against tasks that wait at a VM none of whose upstreams can ever run them.
BOOST_AUTO_TEST_CASE(returnsAtOnceWhatNoUpstreamCanRun)
{
    FleetJob labelled = job("labelled", 2, 100ms);
    labelled.requiredLabel = "other";
    send(OfferReceived{b, TaskOffer{5, labelled, {0, 1}, 1}, 400ms});
    FleetJob large = job("large", 2, 100ms);
    large.need.cpu = MilliCores{65'000};
    send(OfferReceived{b, TaskOffer{6, large, {0, 1}, 1}});
    const auto ends = taken<TaskOfferEnded>();
    BOOST_REQUIRE(ends.size() == 2);
    BOOST_TEST((ends[0].second.result == OfferResult::NotRun));
    BOOST_TEST((ends[1].second.result == OfferResult::NotRun));
}

// Guards against a malformed message that overflows times or fills the memory.
BOOST_AUTO_TEST_CASE(returnsImplausibleOffers)
{
    FleetJob long1 = job("deadline", 1, 100ms);
    long1.deadline = Duration::max();
    send(OfferReceived{b, TaskOffer{5, long1, {0}, 1}});
    FleetJob long2 = job("objective", 1, 100ms);
    long2.objective = Duration::min();
    send(OfferReceived{b, TaskOffer{6, long2, {0}, 1}});
    send(OfferReceived{b, TaskOffer{7, job("estimate", 1, Duration::max()), {0}, 1}});
    send(OfferReceived{b, TaskOffer{8, job("wait", 1, 100ms), {0}, 1}, Duration::max()});
    send(OfferReceived{
            b, TaskOffer{9, job("tasks", 1, 100ms), std::vector<std::uint32_t>(300'000), 1}});
    BOOST_TEST(taken<TaskOfferEnded>().size() == 5);
    BOOST_TEST(dispatcher->status().jobs == 0);
}

// Guards against an offer so short before the deadline that it has to come back at once.
BOOST_AUTO_TEST_CASE(offersNothingThatWouldComeBackAtOnce)
{
    occupy();
    FleetJob late = job("late", 2, 100ms);
    late.deadline = 220ms;
    submit(2, late);
    // The deadline without the answer margin is after 200 ms, a run takes at least 60 ms, and the
    // receiver returns tasks 60 ms before.
    pass(70ms);
    report(b, {{64'000, 100}});
    auto offers = taken<TaskOffer>();
    BOOST_REQUIRE(offers.size() == 1);
    send(OfferEnded{b, {offers[0].second.number, OfferResult::NotRun}});
    pass(15ms);
    BOOST_TEST(taken<TaskOffer>().empty());
    report(b, {{64'000, 100}});
    BOOST_TEST(taken<TaskOffer>().empty());
}

// Guards against heartbeats that grow with the number of upstreams, on VMs that send 15 KB/s of
// them at most.
BOOST_AUTO_TEST_CASE(boundsTheReportOfFreeRoom)
{
    FleetOptions options;
    options.vm = VmId{"large"};
    options.incarnation = Incarnation{1};
    options.zone = zone;
    FleetDispatcher large{options};
    FleetActions actions;
    UpstreamListRead list{{}, {}, true, now};
    KeepersRead keepers{{}, true};
    for (std::uint32_t n = 0; n < 40; ++n) {
        std::string name{"u"};
        name.append(std::to_string(n));
        list.present.push_back({UpstreamId{name},
                                ServiceId{"s"},
                                zone,
                                "127.0.0.1:2",
                                false,
                                {MilliCores{32'000 + n}, Megabytes{131'072}, Accelerators{0}},
                                {"kind"}});
        keepers.rows.push_back({UpstreamId{name}, zone, options.vm, options.incarnation, 1, 1});
    }
    large.handle(list, now, actions);
    large.handle(keepers, now, actions);
    for (const FleetAction &it : FleetActions{actions}) {
        if (const auto *const poll = std::get_if<PollOrder>(&it)) {
            RunReport empty;
            empty.clock = UpstreamTime{now.time_since_epoch()};
            empty.processStart = UpstreamProcessStart{1};
            large.handle(RunReportReceived{poll->upstream, poll->number, empty}, now, actions);
        }
    }
    const CapacityReport report = large.roomReport(now);
    BOOST_TEST(report.usableCpu > 40 * 32'000);
    BOOST_REQUIRE(report.free.size() == 8);
    BOOST_TEST(report.free.front().cpu == 32'039);
    BOOST_TEST(report.free.back().cpu == 32'032);
}

// Guards against free places that VMs with waiting tasks learn of only with the next regular
// heartbeat: under load two of five offers came back, as the room was gone.
BOOST_AUTO_TEST_CASE(reportsFreedRoomToVmsWithAQueue)
{
    occupy();
    report(b, {}, 1'000'000'000);
    report(c, {});
    pass(50ms);
    recorded.clear();
    finishRuns();
    std::vector<VmId> receivers;
    for (const FleetAction &it : recorded) {
        if (const auto *const heartbeat = std::get_if<SendHeartbeat>(&it)) {
            receivers.insert(receivers.end(), heartbeat->vms.begin(), heartbeat->vms.end());
        }
    }
    BOOST_REQUIRE(receivers.size() == 1);
    BOOST_TEST((receivers[0] == b));
}

// Guards against heartbeats that grow with the square of the VMs of a zone under load.
BOOST_AUTO_TEST_CASE(boundsTheReportsOfScarceRoom)
{
    constexpr std::size_t peers = 40;
    for (std::size_t n = 0; n < peers; ++n) {
        const VmId vm{std::string{"peer-"} + std::to_string(n)};
        send(PeerLinkChanged{vm, true});
        report(vm, {}, 1'000'000'000);
    }
    std::size_t sent = 0;
    const TimePoint start = now;
    for (std::uint64_t n = 0; now < start + 2s; ++n) {
        submit(n + 1, job(std::string{"own-"} + std::to_string(n), 2, 100ms));
        pass(20ms);
        finishRuns();
        for (const FleetAction &it : std::exchange(recorded, {})) {
            const auto *const heartbeat = std::get_if<SendHeartbeat>(&it);
            sent += heartbeat != nullptr ? heartbeat->vms.size() : 0;
        }
    }
    BOOST_TEST(sent > 0);
    // One in 5 ms, and the first report.
    BOOST_TEST(sent <= 2000 / 5 + peers);
}

// Guards against a 504 for a job, and an offer that is given up, although the upstream refused all
// starts.
BOOST_AUTO_TEST_CASE(refusesAJobWhoseStartsWereAllRefused)
{
    startResult = OrderResult::NoRoom;
    submit(1, job("own", 2, 300ms));
    send(OfferReceived{b, TaskOffer{5, job("offered", 1, 300ms), {0}, 1}});
    pass(200ms);
    const auto ends = taken<TaskOfferEnded>();
    BOOST_REQUIRE(ends.size() == 1);
    BOOST_TEST((ends[0].second.result == OfferResult::NotRun));
    pass(1500ms);
    BOOST_TEST(starts.size() > 2);
    const auto end = answerOf("own");
    BOOST_REQUIRE(end);
    BOOST_TEST(std::holds_alternative<JobTurnedAway>(*end));
}

// Guards against a refusal of a job of which one start was refused and another was executed.
BOOST_AUTO_TEST_CASE(breaksOffAJobOfWhichOneStartWasExecuted)
{
    submit(1, job("own", 1, 300ms));
    step();
    submit(2, job("partly", 2, 300ms));
    step();
    BOOST_REQUIRE(active.size() == 2);
    // The run ends in failure, and all further starts are refused.
    startResult = OrderResult::NoRoom;
    ended.push_back({EndNumber{++lastEnd}, active[1].name, active[1].number, RunEndKind::Failed});
    active.pop_back();
    pass(1600ms);
    const auto end = answerOf("partly");
    BOOST_REQUIRE(end);
    BOOST_TEST(!std::holds_alternative<JobTurnedAway>(*end));
}

// Guards against a long task that starts on a slow upstream of its VM, where it probably ends too
// late, while a faster one is free at another VM.
BOOST_AUTO_TEST_CASE(offersLongTasksToAFasterUpstreamOfAnotherVm)
{
    report(b, {{64'000, 85}, {64'000, 85}});
    submit(2, job("short", 1, 100ms));
    step();
    BOOST_TEST(starts.size() == 1);
    submit(3, job("long", 2, 1000ms));
    step();
    BOOST_TEST(starts.size() == 1);
    const auto offers = taken<TaskOffer>();
    BOOST_REQUIRE(offers.size() == 1);
    BOOST_TEST(offers[0].first == b);
    BOOST_TEST(offers[0].second.tasks.size() == 2);
    // The log must not blame a lack of room.
    BOOST_TEST(std::ranges::any_of(recorded, [](const FleetAction &it) {
        const auto *const record = std::get_if<FleetLogRecord>(&it);
        return record != nullptr && record->kind == FleetLogRecordKind::TasksOffered
               && record->reason == "faster-upstream";
    }));
}

// Guards against a long task that passes from VM to VM while it could run here.
BOOST_AUTO_TEST_CASE(startsALongTaskHereOnceItWasReturned)
{
    report(b, {{64'000, 85}});
    report(c, {{64'000, 85}});
    submit(2, job("long", 1, 1000ms));
    const auto offers = taken<TaskOffer>();
    BOOST_REQUIRE(offers.size() == 1);
    send(OfferEnded{offers[0].first, {offers[0].second.number, OfferResult::NotRun}});
    step();
    BOOST_TEST(taken<TaskOffer>().empty());
    BOOST_TEST(starts.size() == 1);
}

// Guards against a job whose log lines don't tell where its tasks were: of 143 jobs that were
// broken off, 61 had lost theirs with an offer that another VM gave up.
BOOST_AUTO_TEST_CASE(logsWhichVmGaveUpTheTasksOfAJob)
{
    const std::uint64_t offer = offerToB(2);
    passUntilWithdrawn(offer);
    send(OfferEnded{b, {offer, OfferResult::GivenUp}});
    const std::string text = lastRecord(FleetLogRecordKind::JobBrokenOff, "offered");
    BOOST_TEST(text.find(", 2 tasks given up by b") != std::string::npos, text);
    BOOST_TEST(text.find("predicted 300 ms") != std::string::npos, text);
}

// Guards against a lost link that leaves no trace in the log line of the job's end.
BOOST_AUTO_TEST_CASE(logsWhichLinkTookTheTasksOfAJob)
{
    offerToB(2);
    send(PeerLinkChanged{b, false});
    const std::string text = lastRecord(FleetLogRecordKind::JobBrokenOff, "offered");
    BOOST_TEST(text.find(", 2 tasks lost with the link to b") != std::string::npos, text);
}

// Guards against a withdrawn offer that ends at the receiver without a line on its tasks.
BOOST_AUTO_TEST_CASE(logsWhatAWithdrawalInterrupts)
{
    send(OfferReceived{b, TaskOffer{6, job("runs", 1, 100ms), {0}, 1}});
    pass(20ms);
    send(OfferWithdrawn{b, {6}});
    const std::string text = lastRecord(FleetLogRecordKind::OfferAnswered, "runs");
    BOOST_TEST(text.find("from b, tasks done 0 of 1") != std::string::npos, text);
    BOOST_TEST(text.find("last start after 0 ms") != std::string::npos, text);
    BOOST_TEST(text.find("task 0 on u for") != std::string::npos, text);
}

// Guards against a chain of offers, in which tasks wander and no VM answers for them.
BOOST_AUTO_TEST_CASE(offersTasksOverOneHopOnly)
{
    occupy();
    report(c, {{64'000, 100}, {64'000, 100}});
    send(OfferReceived{b, TaskOffer{5, job("first", 4, 100ms), {0, 1, 2, 3}, 1}, 400ms});
    send(OfferReceived{b, TaskOffer{6, job("second", 4, 100ms), {0, 1, 2, 3}, 1}, 400ms});
    pass(100ms);
    BOOST_TEST(taken<TaskOffer>().empty());
    BOOST_TEST(taken<QueuedTaskOffer>().empty());
}

BOOST_AUTO_TEST_SUITE_END()
