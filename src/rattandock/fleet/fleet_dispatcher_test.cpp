// Load patterns replayed against one dispatcher, without other VMs or with scripted ones.
#include "rattandock/fleet/fleet_dispatcher.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace rattandock;
using namespace rattandock::fleet;
using namespace std::chrono_literals;

namespace {

/// A VM that keeps one upstream with room for two tasks of 27 cores.
struct Fixture
{
    Fixture()
    {
        send(MembersRead{std::vector{MemberRow{self, incarnation, zone, "127.0.0.1:1"}}});
        send(UpstreamsSeen{{entry()}, {}, true});
        send(KeepersRead{{KeeperRow{upstream, zone, self, incarnation, 1, 1}}, true});
        answerLook({});
        // Past the time in which a starting VM takes jobs on trust.
        pass(3s);
    }

    static FleetOptions options()
    {
        FleetOptions options;
        options.vm = VmId{"a"};
        options.incarnation = Incarnation{7};
        options.zone = ZoneId{"z"};
        return options;
    }
    static UpstreamEntry entry()
    {
        return {UpstreamId{"u"}, ServiceId{"s"},
                ZoneId{"z"},     "127.0.0.1:2",
                false,           {MilliCores{64'000}, Megabytes{131'072}, Accelerators{0}},
                {"kind"}};
    }
    static FleetJob job(const std::string &id, std::uint32_t tasks, Duration estimate)
    {
        FleetJob job;
        job.id = JobId{id};
        job.queue = QueueId{"q"};
        job.service = ServiceId{"s"};
        job.taskCount = tasks;
        job.need = {MilliCores{27'000}, Megabytes{64}, Accelerators{0}};
        job.estimate = estimate;
        job.deadline = 1500ms;
        job.objective = 1400ms;
        job.maxAttempts = 3;
        return job;
    }
    void send(const FleetEvent &event)
    {
        FleetActions actions;
        dispatcher.handle(event, now, actions);
        for (FleetAction &it : actions) {
            if (auto *const look = std::get_if<PollOrder>(&it)) {
                lastLook = look->number;
                isLookOpen = true;
            } else {
                seen.push_back(std::move(it));
            }
        }
    }
    void answerLook(RunReport report)
    {
        report.clock = UpstreamTime{now.time_since_epoch()};
        report.processStart = UpstreamProcessStart{1};
        isLookOpen = false;
        send(LookAnswered{upstream, lastLook, report});
    }
    /// Lets time pass; the upstream answers looks at once, with the runs still active on it.
    void pass(Duration time)
    {
        for (const TimePoint end = now + time; now < end; now += 5ms) {
            if (isLookOpen) {
                RunReport report;
                report.active = active;
                answerLook(report);
            }
            if (isListRead) {
                send(UpstreamsSeen{{}, {}, false, now});
            }
            send(TimerDue{});
        }
    }
    /// Takes the actions of a kind that were seen so far.
    template <typename T>
    std::vector<T> take()
    {
        std::vector<T> found;
        std::erase_if(seen, [&](FleetAction &it) {
            auto *const one = std::get_if<T>(&it);
            if (one != nullptr) {
                found.push_back(std::move(*one));
            }
            return one != nullptr;
        });
        return found;
    }
    /// Confirms the starts that were ordered; they run until the end of the test.
    void confirmStarts()
    {
        for (const StartOrder &it : take<StartOrder>()) {
            active.push_back({it.name, it.number});
            send(StartAnswered{upstream, it.name, it.number, OrderResult::Done, std::nullopt});
        }
    }
    void submit(std::uint64_t request, const FleetJob &job)
    {
        send(JobArrived{CallerRequestId{request}, job});
    }

    /// Reads of the list of upstreams succeed and show no change.
    bool isListRead = true;
    VmId self{"a"};
    Incarnation incarnation{7};
    ZoneId zone{"z"};
    UpstreamId upstream{"u"};
    TimePoint now{100s};
    FleetDispatcher dispatcher{options()};
    std::vector<FleetAction> seen;
    std::vector<ActiveRun> active;
    PollNumber lastLook;
    bool isLookOpen = false;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(FleetDispatcherTest, Fixture)

// Guards against a job that finds no room being held until next to nothing of its caller's time is
// left, when the caller cannot turn elsewhere any more.
BOOST_AUTO_TEST_CASE(turnsAwayByHalfOfTheTimeWhatCouldNotStart)
{
    submit(1, job("long", 2, 1000ms));
    confirmStarts();
    // Admitted by the expected end of what runs, which then takes longer.
    submit(2, job("waits", 1, 100ms));
    BOOST_TEST(take<AnswerJob>().empty());
    pass(600ms);
    BOOST_TEST(take<AnswerJob>().empty());
    pass(150ms);
    const auto answers = take<AnswerJob>();
    BOOST_REQUIRE(answers.size() == 1);
    BOOST_TEST(answers[0].job.value() == "waits");
    const auto *const end = std::get_if<JobTurnedAway>(&answers[0].end);
    BOOST_REQUIRE(end != nullptr);
    BOOST_TEST((end->reason == TurnedAway::WaitedTooLong));
    BOOST_TEST((end->retryAfter > Duration{}));
}

// Guards against refusing short jobs while upstreams are free, because long ones wait for a faster
// upstream: in a burst on a quiet day 9 jobs were refused so.
BOOST_AUTO_TEST_CASE(takesAShortJobWhileLongOnesWaitForAFastUpstream)
{
    // Another VM has fast upstreams, which are busy, and eight tasks of 1 s that wait for them.
    const std::uint64_t queued = 8ULL * 27'000 * 1'000'000;
    send(PeerLink{VmId{"b"}, true});
    send(PeerRoomSeen{VmId{"b"}, zone, false, {{}, 40, 64'000, queued}});
    FleetJob quick = job("quick", 2, 60ms);
    quick.objective = 150ms;
    submit(1, quick);
    BOOST_TEST(take<AnswerJob>().empty());
    BOOST_TEST(take<StartOrder>().size() == 2);
}

// Guards against offered tasks waiting until their deadline at a VM whose room others have taken.
BOOST_AUTO_TEST_CASE(givesOfferedTasksBackThatCannotStart)
{
    submit(1, job("own", 2, 1000ms));
    confirmStarts();
    send(PeerLink{VmId{"b"}, true});
    send(OfferArrived{VmId{"b"}, TaskOffer{5, job("offered", 2, 100ms), {0, 1}, 1}});
    pass(60ms);
    BOOST_TEST(take<SendToVm>().empty());
    pass(80ms);
    const auto sent = take<SendToVm>();
    BOOST_REQUIRE(sent.size() == 1);
    const auto &end = std::get<TaskOfferEnded>(sent[0].message);
    BOOST_TEST(end.number == 5);
    BOOST_TEST((end.result == OfferResult::NotRun));
    // The job itself ends at the other VM; counted here too, each refusal would count twice.
    const auto notes = take<FleetNote>();
    BOOST_REQUIRE(!notes.empty());
    BOOST_TEST((notes.back().kind == FleetNoteKind::OfferAnswered));
    BOOST_TEST(notes.back().reason == "not-run");
    BOOST_TEST(std::ranges::none_of(
            notes, [](const FleetNote &it) { return it.kind == FleetNoteKind::JobTurnedAway; }));
}

// Guards against answering that tasks may have run, when all offers of them came back unstarted,
// and against offering such a job in turn until its deadline.
BOOST_AUTO_TEST_CASE(turnsAwayAJobWhoseOffersAllCameBack)
{
    submit(1, job("own", 2, 1000ms));
    confirmStarts();
    send(PeerLink{VmId{"b"}, true});
    const PeerRoomSeen room{VmId{"b"}, zone, false, {{{64'000, 100}}, 100, 64'000, 0}};
    send(room);
    submit(2, job("offered", 2, 300ms));
    std::size_t offers = 0;
    for (int n = 0; n < 15 && take<AnswerJob>().empty(); ++n) {
        for (const SendToVm &it : take<SendToVm>()) {
            ++offers;
            pass(100ms);
            const std::uint64_t number = std::get<TaskOffer>(it.message).number;
            send(OfferEnded{VmId{"b"}, TaskOfferEnded{number, OfferResult::NotRun}});
            send(room);
        }
        const auto answers = take<AnswerJob>();
        if (!answers.empty()) {
            BOOST_TEST(std::holds_alternative<JobTurnedAway>(answers[0].end));
            BOOST_TEST(n < 9);
            BOOST_TEST(offers > 2);
            return;
        }
        pass(10ms);
    }
    BOOST_FAIL("the job was not answered");
}

// Guards against log lines of a broken-off job that do not name the upstream that held it up, or
// the VM that was lost.
BOOST_AUTO_TEST_CASE(namesWhereUnfinishedTasksAre)
{
    submit(1, job("hangs", 1, 400ms));
    confirmStarts();
    pass(1500ms);
    auto notes = take<FleetNote>();
    BOOST_REQUIRE(!notes.empty());
    BOOST_TEST((notes.back().kind == FleetNoteKind::JobBrokenOff));
    BOOST_TEST(notes.back().detail.find("task 0 on u for 14") != std::string::npos);
    BOOST_TEST(notes.back().detail.find("expected 400 ms") != std::string::npos);

    send(PeerLink{VmId{"b"}, true});
    send(PeerRoomSeen{VmId{"b"}, zone, false, {{{64'000, 100}, {64'000, 100}}, 100, 128'000, 0}});
    submit(2, job("offered", 4, 100ms));
    take<FleetNote>();
    send(PeerLink{VmId{"b"}, false});
    notes = take<FleetNote>();
    BOOST_TEST(std::ranges::any_of(notes, [](const FleetNote &it) {
        return it.kind == FleetNoteKind::OfferEnded && it.reason == "link-down"
               && it.job.value() == "offered" && it.detail == "b";
    }));
}

// Guards against a wide job that is broken off with one task missing: once late, it came after all
// jobs that had not begun, and of the widest long jobs half as many were served as of all.
BOOST_AUTO_TEST_CASE(finishesALateJobBeforeOthersBegin)
{
    FleetJob wide = job("wide", 3, 300ms);
    wide.objective = 400ms;
    submit(1, wide);
    const auto starts = take<StartOrder>();
    BOOST_REQUIRE(starts.size() == 2);
    for (const StartOrder &it : starts) {
        active.push_back({it.name, it.number});
        send(StartAnswered{upstream, it.name, it.number, OrderResult::Done, std::nullopt});
    }
    // Past the last moment at which the third task could have been in time.
    pass(300ms);
    submit(2, job("other", 2, 100ms));
    RunReport report;
    report.active = {active.back()};
    report.ended = {{EndNumber{1}, active.front().name, active.front().number, RunEndKind::Done}};
    active.erase(active.begin());
    BOOST_REQUIRE(isLookOpen);
    answerLook(report);
    const auto next = take<StartOrder>();
    BOOST_REQUIRE(next.size() == 1);
    BOOST_TEST(next[0].name.job == "wide");
}

// Guards against a start on an upstream that has drained for longer than it may get work, as this
// VM's list of upstreams is old although the store can be read.
BOOST_AUTO_TEST_CASE(startsNothingByAnOldList)
{
    isListRead = false;
    pass(2s);
    submit(1, job("old", 1, 100ms));
    BOOST_TEST(take<StartOrder>().empty());
    isListRead = true;
    pass(20ms);
    submit(2, job("new", 1, 100ms));
    BOOST_TEST(take<StartOrder>().size() >= 1);
}

// Guards against a fleet that stops because the store is away: nobody can drain an upstream then.
BOOST_AUTO_TEST_CASE(goesOnByAnOldListWhileTheStoreIsAway)
{
    isListRead = false;
    pass(1s);
    send(UpstreamsUnread{now});
    pass(5s);
    submit(1, job("one", 1, 100ms));
    BOOST_TEST(take<StartOrder>().size() == 1);
}

// Guards against a VM that acts, after a pause, on a list from before it: upstreams may have begun
// to drain meanwhile. A read that was under way says nothing, whether it failed or not.
BOOST_AUTO_TEST_CASE(needsANewListAfterAPause)
{
    isListRead = false;
    const TimePoint before = now;
    now += 4s;
    send(ProcessPaused{4s});
    send(UpstreamsUnread{before});
    send(UpstreamsSeen{{}, {}, false, before});
    // Requests that lay in the sockets are past.
    pass(150ms);
    submit(1, job("one", 1, 100ms));
    BOOST_TEST(take<StartOrder>().empty());
    isListRead = true;
    pass(20ms);
    submit(2, job("two", 1, 100ms));
    BOOST_TEST(take<StartOrder>().size() >= 1);
}

// Guards against keeping a zone's upstreams for 3 s after its only VM has started anew: the row of
// its former process was taken for its own until the zone's turn to be read came.
BOOST_AUTO_TEST_CASE(readsAnotherZoneAgainWhenAVmThereStartsAnew)
{
    const MemberRow far{VmId{"far"}, Incarnation{1}, ZoneId{"y"}, "127.0.0.1:3", 1, false, 1};
    send(MembersRead{std::vector{far}, far.zone});
    send(PeerLink{far.vm, true});
    send(PeerRoomSeen{far.vm, far.zone, false, {}, Incarnation{1}});
    BOOST_TEST(dispatcher.memberLinks().linkedZones.contains(far.zone));
    send(PeerRoomSeen{far.vm, far.zone, false, {}, Incarnation{2}});
    BOOST_TEST(!dispatcher.memberLinks().linkedZones.contains(far.zone));
}

BOOST_AUTO_TEST_SUITE_END()
