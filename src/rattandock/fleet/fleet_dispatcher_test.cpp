// Tests of a single FleetDispatcher. Events of upstreams and of other VMs are scripted.
#include "rattandock/fleet/fleet_dispatcher.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace rattandock;
using namespace rattandock::fleet;
using namespace std::chrono_literals;

namespace {

/// A dispatcher that has claimed one upstream with room for two tasks of 27 cores.
struct Fixture
{
    Fixture()
    {
        send(MembersRead{std::vector{MemberRow{self, incarnation, zone, "127.0.0.1:1"}}});
        send(UpstreamListRead{{entry()}, {}, true});
        send(KeepersRead{{KeeperRow{upstream, zone, self, incarnation, 1, 1}}, true});
        answerLook({});
        // Ends the startup phase, in which the VM accepts jobs before its view of the fleet is
        // complete.
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
            if (auto *const look = std::get_if<PollOrder>(&it); look == nullptr) {
                recordedActions.push_back(std::move(it));
            } else if (look->upstream == upstream) {
                lastLookNumber = look->number;
                isLookPending = true;
            } else {
                otherLooks[look->upstream] = look->number;
            }
        }
    }
    void answerLook(RunReport report)
    {
        report.clock = UpstreamTime{now.time_since_epoch()};
        report.processStart = UpstreamProcessStart{1};
        isLookPending = false;
        send(RunReportReceived{upstream, lastLookNumber, report});
    }
    /// Advances the clock in steps of 5 ms. The upstream answers each PollOrder at once with its
    /// active runs.
    void pass(Duration time)
    {
        for (const TimePoint end = now + time; now < end; now += 5ms) {
            if (isLookPending) {
                RunReport report;
                report.active = active;
                answerLook(report);
            }
            for (const auto &[id, number] : std::exchange(otherLooks, {})) {
                answerOtherLook(id, number);
            }
            if (canReadUpstreamList) {
                send(UpstreamListRead{{}, {}, false, now});
            }
            send(TimerDue{});
        }
    }
    /// Removes and returns the recorded actions of type T.
    template <typename T>
    std::vector<T> take()
    {
        std::vector<T> found;
        std::erase_if(recordedActions, [&](FleetAction &it) {
            auto *const one = std::get_if<T>(&it);
            if (one != nullptr) {
                found.push_back(std::move(*one));
            }
            return one != nullptr;
        });
        return found;
    }
    /// Confirms all ordered starts. The runs stay active until the end of the test.
    void confirmStarts()
    {
        for (const StartOrder &it : take<StartOrder>()) {
            (it.upstream == upstream ? active : otherActive[it.upstream])
                    .push_back({it.name, it.number});
            send(StartOrderCompleted{it.upstream, it.name, it.number, OrderResult::Done,
                                     std::nullopt});
        }
    }
    /// Reports that all runs on the first upstream have ended.
    void endActiveRuns(RunEndKind kind)
    {
        RunReport report;
        for (const ActiveRun &it : active) {
            report.ended.push_back({EndNumber{++lastEnd}, it.name, it.number, kind});
        }
        active.clear();
        for (int n = 0; n < 100 && !isLookPending; ++n) {
            now += 5ms;
            send(TimerDue{});
        }
        answerLook(report);
    }
    void listUpstream(const std::string &id)
    {
        UpstreamEntry other = entry();
        other.id = UpstreamId{id};
        send(UpstreamListRead{{other}, {}, false, now});
    }
    void keepUpstream(const std::string &id)
    {
        listUpstream(id);
        send(KeepersRead{{KeeperRow{UpstreamId{id}, zone, self, incarnation, 1, ++keeperVersion}}});
        answerOtherLook(UpstreamId{id}, PollNumber{1});
        // A claim that was sent before the row was read has failed.
        if (!take<WriteKeepers>().empty()) {
            send(KeeperWriteCompleted{zone, false, {}});
        }
    }
    void answerOtherLook(const UpstreamId &id, PollNumber number)
    {
        RunReport report;
        report.clock = UpstreamTime{now.time_since_epoch()};
        report.processStart = UpstreamProcessStart{1};
        report.active = otherActive[id];
        send(RunReportReceived{id, number, report});
    }
    void keepSecondUpstream() { keepUpstream("second"); }
    void keepThirdUpstream() { keepUpstream("third"); }
    /// Another VM takes over all upstreams but the third.
    void loseUpstreams()
    {
        for (const char *const id : {"u", "second"}) {
            send(KeepersRead{{KeeperRow{UpstreamId{id}, zone, VmId{"b"}, Incarnation{9}, 2,
                                        ++keeperVersion}}});
        }
    }
    void submitSmall(std::uint64_t request, const std::string &id, std::uint32_t tasks)
    {
        FleetJob small = job(id, tasks, 300ms);
        small.need.cpu = MilliCores{8'000};
        submit(request, small);
    }
    /// Two jobs fail on the upstream.
    void quarantineUpstream(RunEndKind kind)
    {
        for (std::uint64_t n = 1; n <= 2; ++n) {
            FleetJob fails = job("fails-" + std::to_string(n), 1, 300ms);
            fails.maxAttempts = 1;
            submit(n, fails);
            confirmStarts();
            endActiveRuns(kind);
        }
        take<StartOrder>();
    }
    /// The first row of a write of keeper rows, and the row that it replaces.
    struct KeeperWrite
    {
        KeeperRow row;
        KeeperRow replaced;
    };
    /// Waits for a write of keeper rows while `otherVm`, if named, is alive and keeps nothing.
    KeeperWrite waitForWrite(const std::string &otherVm)
    {
        std::vector<MemberRow> rows{{self, incarnation, zone, "127.0.0.1:1"}};
        if (!otherVm.empty()) {
            rows.push_back({VmId{otherVm}, Incarnation{9}, zone, "127.0.0.1:3", 1, false, 1});
            send(PeerLinkChanged{VmId{otherVm}, true});
        } else {
            send(PeerLinkChanged{VmId{"b"}, false});
        }
        send(MembersRead{rows, zone});
        for (int n = 0; n < 100; ++n) {
            pass(10ms);
            for (const WriteKeepers &it : take<WriteKeepers>()) {
                const KeeperRow &row = it.rows.front();
                return {row, KeeperRow{row.upstream, zone, self, incarnation, row.epoch - 1,
                                       row.version}};
            }
        }
        BOOST_FAIL("no keeper rows were written");
        return {};
    }
    void linkVm(const std::string &id, std::uint32_t messageLevel)
    {
        MemberRow row{VmId{id}, Incarnation{9}, zone, "127.0.0.1:3", 1, false, 1, messageLevel};
        send(MembersRead{std::vector{MemberRow{self, incarnation, zone, "127.0.0.1:1"}, row},
                         ZoneId{"other-" + id}});
        send(PeerLinkChanged{row.vm, true});
    }
    void submit(std::uint64_t request, const FleetJob &job)
    {
        send(JobSubmitted{CallerRequestId{request}, job});
    }

    /// Whether reads of the list of upstreams succeed. They return no changes.
    bool canReadUpstreamList = true;
    VmId self{"a"};
    Incarnation incarnation{7};
    ZoneId zone{"z"};
    UpstreamId upstream{"u"};
    TimePoint now{100s};
    FleetDispatcher dispatcher{options()};
    std::vector<FleetAction> recordedActions;
    std::vector<ActiveRun> active;
    PollNumber lastLookNumber;
    bool isLookPending = false;
    /// Open polls and active runs of upstreams other than `upstream`.
    std::map<UpstreamId, PollNumber> otherLooks;
    std::map<UpstreamId, std::vector<ActiveRun>> otherActive;
    std::uint64_t lastRequest = 100;
    std::uint64_t lastEnd = 0;
    std::uint64_t keeperVersion = 1;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(FleetDispatcherTest, Fixture)

// Guards against a job without room being queued until its deadline has almost passed, which leaves
// the caller no time to submit it elsewhere.
BOOST_AUTO_TEST_CASE(rejectsAJobThatCouldNotStartByHalfOfItsDeadline)
{
    submit(1, job("long", 2, 1000ms));
    confirmStarts();
    // Admitted because of the expected end of the running tasks, which then take longer.
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
    BOOST_TEST((end->reason == TurnAwayReason::WaitedTooLong));
    BOOST_TEST((end->retryAfter > Duration{}));
}

// Guards against rejecting a short job although upstreams are free, because queued long jobs that
// wait for a faster upstream are counted as ahead of it. A burst at low load lost 9 jobs this way.
BOOST_AUTO_TEST_CASE(acceptsAShortJobWhileLongJobsWaitForAFastUpstream)
{
    // The fast upstreams of another VM are busy, and eight tasks of 1 s wait for them.
    const std::uint64_t queued = 8ULL * 27'000 * 1'000'000;
    send(PeerLinkChanged{VmId{"b"}, true});
    send(PeerCapacityReported{VmId{"b"}, zone, false, {{}, 40, 64'000, queued}});
    FleetJob quick = job("quick", 2, 60ms);
    quick.objective = 150ms;
    submit(1, quick);
    BOOST_TEST(take<AnswerJob>().empty());
    BOOST_TEST(take<StartOrder>().size() == 2);
}

// Guards against offered tasks that wait until their deadline because other tasks took the
// receiver's capacity after the offer was sent.
BOOST_AUTO_TEST_CASE(returnsOfferedTasksThatCannotStart)
{
    submit(1, job("own", 2, 1000ms));
    confirmStarts();
    send(PeerLinkChanged{VmId{"b"}, true});
    send(OfferReceived{VmId{"b"}, TaskOffer{5, job("offered", 2, 100ms), {0, 1}, 1}});
    BOOST_TEST(take<SendToVm>().empty());
    // A long task that waits here for 100 ms ends too late elsewhere.
    pass(40ms);
    const auto sent = take<SendToVm>();
    BOOST_REQUIRE(sent.size() == 1);
    const auto &end = std::get<TaskOfferEnded>(sent[0].message);
    BOOST_TEST(end.number == 5);
    BOOST_TEST((end.result == OfferResult::NotRun));
    // The offering VM records the end of the job. A record here would count each rejection twice.
    const auto records = take<FleetLogRecord>();
    BOOST_REQUIRE(!records.empty());
    BOOST_TEST((records.back().kind == FleetLogRecordKind::OfferAnswered));
    BOOST_TEST(records.back().reason == "not-run");
    BOOST_TEST(std::ranges::none_of(records, [](const FleetLogRecord &it) {
        return it.kind == FleetLogRecordKind::JobTurnedAway;
    }));
}

// Guards against answering that tasks may have run although every offer of them was returned
// unstarted, and against repeating the offers until the job's deadline.
BOOST_AUTO_TEST_CASE(rejectsAJobAfterAllItsOffersWereReturned)
{
    submit(1, job("own", 2, 1000ms));
    confirmStarts();
    send(PeerLinkChanged{VmId{"b"}, true});
    const PeerCapacityReported room{VmId{"b"}, zone, false, {{{64'000, 100}}, 100, 64'000, 0}};
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

// Guards against log records of an aborted job that name neither the upstream that runs its
// unfinished task nor the VM whose link was lost.
BOOST_AUTO_TEST_CASE(logsWhereUnfinishedTasksAre)
{
    submit(1, job("hangs", 1, 400ms));
    confirmStarts();
    pass(1500ms);
    auto records = take<FleetLogRecord>();
    BOOST_REQUIRE(!records.empty());
    BOOST_TEST((records.back().kind == FleetLogRecordKind::JobBrokenOff));
    BOOST_TEST(records.back().detail.find("task 0 on u for 14") != std::string::npos);
    BOOST_TEST(records.back().detail.find("expected 400 ms") != std::string::npos);

    send(PeerLinkChanged{VmId{"b"}, true});
    send(PeerCapacityReported{
            VmId{"b"}, zone, false, {{{64'000, 100}, {64'000, 100}}, 100, 128'000, 0}});
    submit(2, job("offered", 4, 100ms));
    take<FleetLogRecord>();
    send(PeerLinkChanged{VmId{"b"}, false});
    records = take<FleetLogRecord>();
    BOOST_TEST(std::ranges::any_of(records, [](const FleetLogRecord &it) {
        return it.kind == FleetLogRecordKind::OfferEnded && it.reason == "link-down"
               && it.job.value() == "offered" && it.detail == "b";
    }));
}

// Guards against aborting a job with many tasks when only one task is missing. A late job used to
// be ordered after all jobs that had not started, which halved the share of the widest long jobs
// that completed, compared with all jobs.
BOOST_AUTO_TEST_CASE(finishesALateJobBeforeStartingOthers)
{
    FleetJob wide = job("wide", 3, 300ms);
    wide.objective = 400ms;
    submit(1, wide);
    const auto starts = take<StartOrder>();
    BOOST_REQUIRE(starts.size() == 2);
    for (const StartOrder &it : starts) {
        active.push_back({it.name, it.number});
        send(StartOrderCompleted{upstream, it.name, it.number, OrderResult::Done, std::nullopt});
    }
    // After this the third task can no longer start early enough to meet the objective.
    pass(300ms);
    submit(2, job("other", 2, 100ms));
    RunReport report;
    report.active = {active.back()};
    report.ended = {{EndNumber{1}, active.front().name, active.front().number, RunEndKind::Done}};
    active.erase(active.begin());
    BOOST_REQUIRE(isLookPending);
    answerLook(report);
    const auto next = take<StartOrder>();
    BOOST_REQUIRE(next.size() == 1);
    BOOST_TEST(next[0].name.job == "wide");
}

// Guards against starting a task on an upstream after its drain limit, because this VM's list of
// upstreams is outdated although the store is available.
BOOST_AUTO_TEST_CASE(startsNothingByAnOldList)
{
    canReadUpstreamList = false;
    pass(2s);
    submit(1, job("old", 1, 100ms));
    BOOST_TEST(take<StartOrder>().empty());
    canReadUpstreamList = true;
    pass(20ms);
    submit(2, job("new", 1, 100ms));
    BOOST_TEST(take<StartOrder>().size() >= 1);
}

// Guards against a fleet that stops while the store is unavailable. Starts with an outdated list
// are safe then, because no upstream can announce that it is draining.
BOOST_AUTO_TEST_CASE(startsTasksWithAnOutdatedListWhileTheStoreIsUnavailable)
{
    canReadUpstreamList = false;
    pass(1s);
    send(UpstreamListReadFailed{now});
    pass(5s);
    submit(1, job("one", 1, 100ms));
    BOOST_TEST(take<StartOrder>().size() == 1);
}

// Guards against a VM that starts tasks after a pause with a list from before the pause, although
// upstreams may have begun to drain meanwhile. The result of a read that was sent before the pause
// must be ignored, whether the read succeeded or failed.
BOOST_AUTO_TEST_CASE(needsANewListAfterAPause)
{
    canReadUpstreamList = false;
    const TimePoint before = now;
    now += 4s;
    send(ProcessPaused{4s});
    send(UpstreamListReadFailed{before});
    send(UpstreamListRead{{}, {}, false, before});
    // Ends the period in which requests that were buffered in sockets during the pause are
    // rejected.
    pass(150ms);
    submit(1, job("one", 1, 100ms));
    BOOST_TEST(take<StartOrder>().empty());
    canReadUpstreamList = true;
    pass(20ms);
    submit(2, job("two", 1, 100ms));
    BOOST_TEST(take<StartOrder>().size() >= 1);
}

// Guards against starting tasks in a zone that the operator has evacuated, and against keeping it
// empty after the request was withdrawn.
BOOST_AUTO_TEST_CASE(startsNothingInAnEvacuatedZone)
{
    submit(1, job("before", 1, 100ms));
    BOOST_TEST(take<StartOrder>().size() == 1);
    send(EvacuationsRead{1, {zone}, now});
    submit(2, job("during", 1, 100ms));
    BOOST_TEST(take<StartOrder>().empty());
    send(EvacuationsRead{2, {}, now});
    submit(3, job("after", 1, 100ms));
    BOOST_TEST(take<StartOrder>().size() >= 1);
}

// Guards against keeping a zone's upstreams for 3 s after the zone's only VM was restarted. The row
// of the old process was taken for that of the new one until the next scheduled read of the zone.
BOOST_AUTO_TEST_CASE(readsAnotherZoneAgainWhenAVmThereStartsAnew)
{
    const MemberRow far{VmId{"far"}, Incarnation{1}, ZoneId{"y"}, "127.0.0.1:3", 1, false, 1};
    send(MembersRead{std::vector{far}, far.zone});
    send(PeerLinkChanged{far.vm, true});
    send(PeerCapacityReported{far.vm, far.zone, false, {}, Incarnation{1}});
    BOOST_TEST(dispatcher.memberLinks().linkedZones.contains(far.zone));
    send(PeerCapacityReported{far.vm, far.zone, false, {}, Incarnation{2}});
    BOOST_TEST(!dispatcher.memberLinks().linkedZones.contains(far.zone));
}

// Guards against a record of each ended job that is kept for as long as the process runs.
BOOST_AUTO_TEST_CASE(forgetsAnEndedJobOnceItsRunsHaveEnded)
{
    for (std::uint64_t n = 1; n <= 20; ++n) {
        submit(n, job("job-" + std::to_string(n), 2, 300ms));
        confirmStarts();
        BOOST_REQUIRE(active.size() == 2);
        send(CallerDisconnected{CallerRequestId{n}});
        BOOST_TEST(dispatcher.status().endingJobs == 1);
        endActiveRuns(RunEndKind::Stopped);
        pass(30ms);
        BOOST_TEST(dispatcher.status().endingJobs == 0);
    }
}

// Guards against two simultaneous runs of a task: its former run still executes until its lease
// expires on an upstream that this VM has lost, and the job is submitted again.
BOOST_AUTO_TEST_CASE(startsAResubmittedJobOnlyAfterTheLeaseOfALostUpstream)
{
    keepSecondUpstream();
    // Two tasks fit on each upstream.
    submit(1, job("one", 3, 300ms));
    confirmStarts();
    BOOST_REQUIRE(active.size() + otherActive[UpstreamId{"second"}].size() == 3);
    send(CallerDisconnected{CallerRequestId{1}});
    const TimePoint lost = now;
    loseUpstreams();
    keepThirdUpstream();
    submit(2, job("one", 1, 300ms));
    submit(3, job("other", 1, 300ms));
    // The new upstream takes work, but not this job yet.
    const auto starts = take<StartOrder>();
    BOOST_REQUIRE(starts.size() == 1);
    BOOST_TEST(starts[0].name.job == "other");
    while (now < lost + 600ms) {
        pass(5ms);
        BOOST_TEST(take<StartOrder>().empty());
    }
    // The job must not be held back for longer than the lease.
    pass(80ms);
    BOOST_TEST(take<StartOrder>().size() == 1);
    pass(100ms);
    BOOST_TEST(dispatcher.status().endingJobs == 0);
}

// Guards against the same when the job ends between the loss of the upstream and the end of the
// lease, while its task waits to be started again.
BOOST_AUTO_TEST_CASE(startsAResubmittedJobOnlyAfterTheLeaseIfTheFormerOneWaitedForIt)
{
    submit(1, job("one", 1, 300ms));
    confirmStarts();
    const TimePoint lost = now;
    loseUpstreams();
    keepThirdUpstream();
    BOOST_TEST(take<StartOrder>().empty());
    send(CallerDisconnected{CallerRequestId{1}});
    submit(2, job("one", 1, 300ms));
    while (now < lost + 600ms) {
        BOOST_TEST(take<StartOrder>().empty());
        pass(5ms);
    }
    pass(80ms);
    BOOST_TEST(take<StartOrder>().size() == 1);
}

// Guards against two simultaneous runs of a task that was offered to another VM: the withdrawal
// may be lost with the link, and the other VM then stops the task only after the silence limit.
BOOST_AUTO_TEST_CASE(startsAReplacedJobOnlyAfterItsWithdrawnOffersAreOver)
{
    submit(1, job("own", 2, 100ms));
    confirmStarts();
    send(PeerLinkChanged{VmId{"b"}, true});
    send(PeerCapacityReported{VmId{"b"}, zone, false, {{{64'000, 100}}, 100, 64'000, 0}});
    FleetJob replaced = job("one", 1, 100ms);
    replaced.deadline = 6s;
    replaced.objective = 5s;
    submit(2, replaced);
    BOOST_REQUIRE(take<SendToVm>().size() == 1);
    endActiveRuns(RunEndKind::Done);
    const TimePoint resubmitted = now;
    submit(3, replaced);
    while (now < resubmitted + 1200ms) {
        BOOST_TEST(take<StartOrder>().empty());
        pass(5ms);
    }
    pass(80ms);
    BOOST_TEST(take<StartOrder>().size() == 1);
}

// Guards against two simultaneous runs of a task: the caller's connection to this VM broke
// unnoticed, and the caller submitted the job again to a VM that offers its tasks to this one.
BOOST_AUTO_TEST_CASE(endsAJobThatAnotherVmOffers)
{
    submit(1, job("one", 1, 300ms));
    confirmStarts();
    send(PeerLinkChanged{VmId{"b"}, true});
    send(PeerLinkChanged{VmId{"c"}, true});
    send(OfferReceived{VmId{"b"}, TaskOffer{5, job("one", 2, 300ms), {0}, 1}});
    BOOST_TEST(take<StopOrder>().size() == 1);
    const auto answers = take<AnswerJob>();
    BOOST_REQUIRE(answers.size() == 1);
    BOOST_TEST(std::holds_alternative<JobBrokenOff>(answers[0].end));
    pass(50ms);
    BOOST_TEST(take<StartOrder>().empty());
    endActiveRuns(RunEndKind::Stopped);
    confirmStarts();
    BOOST_TEST(active.size() == 1);
    // Another part of the same job does not end the first one.
    send(OfferReceived{VmId{"b"}, TaskOffer{6, job("one", 2, 300ms), {1}, 1}});
    BOOST_TEST(take<StopOrder>().empty());
    // The caller has turned to a third VM.
    send(OfferReceived{VmId{"c"}, TaskOffer{7, job("one", 2, 300ms), {0}, 1}});
    BOOST_TEST(take<StopOrder>().size() == 2);
}

// Guards against an offer of a faulty VM that takes all memory, overflows a time or starts a task
// twice.
BOOST_AUTO_TEST_CASE(returnsOffersWithInvalidValues)
{
    send(PeerLinkChanged{VmId{"b"}, true});
    const auto offer = [&](const auto &change) {
        TaskOffer it{5, job("offered", 2, 100ms), {0, 1}, 1};
        change(it);
        send(OfferReceived{VmId{"b"}, it});
        const auto sent = take<SendToVm>();
        return sent.size() == 1
               && std::get<TaskOfferEnded>(sent[0].message).result == OfferResult::NotRun;
    };
    BOOST_TEST(offer([](TaskOffer &it) { it.tasks = {}; }));
    BOOST_TEST(offer([](TaskOffer &it) { it.tasks = {1, 1}; }));
    BOOST_TEST(offer([](TaskOffer &it) { it.tasks = {2}; }));
    BOOST_TEST(offer([](TaskOffer &it) { it.tasks.resize(4'000'000); }));
    BOOST_TEST(offer([](TaskOffer &it) { it.firstRun = 0xFFFF'FFFF; }));
    BOOST_TEST(offer([](TaskOffer &it) { it.job.deadline = Duration::max(); }));
    BOOST_TEST(offer([](TaskOffer &it) { it.job.objective = Duration::min(); }));
    BOOST_TEST(offer([](TaskOffer &it) { it.job.estimate = Duration::max(); }));
    BOOST_TEST(offer([](TaskOffer &it) { it.job.estimate = -1ms; }));
    BOOST_TEST(take<StartOrder>().empty());
    BOOST_TEST(!offer([](TaskOffer &) {}));
}

// Guards against an upstream without a keeper after the answer to its release was lost: its row
// still names this VM, which no longer uses it, so no VM claimed it.
BOOST_AUTO_TEST_CASE(releasesAnUpstreamAgainAfterALostAnswer)
{
    keepSecondUpstream();
    const KeeperWrite first = waitForWrite("b");
    BOOST_TEST(first.row.vm.value().empty());
    // The write was not committed and its answer is lost.
    send(KeeperWriteCompleted{zone, std::nullopt, {}});
    const KeeperWrite second = waitForWrite("b");
    BOOST_TEST((second.row == first.row));
    // The conflict returns the row of before the release. Its epoch must not be used again.
    send(KeeperWriteCompleted{zone, false, {first.replaced}});
    BOOST_TEST(dispatcher.status().keptUpstreams == 1);
    // The other VM has left meanwhile, so this VM claims the upstream.
    const KeeperWrite third = waitForWrite("");
    BOOST_TEST(third.row.vm.value() == "a");
    BOOST_TEST(third.row.epoch > first.replaced.epoch);
    KeeperRow claimed = third.row;
    claimed.version = 100;
    send(KeeperWriteCompleted{zone, true, {claimed}});
    BOOST_TEST(dispatcher.status().keptUpstreams == 2);
}

// Guards against an upstream without a keeper after the answer to its claim was lost.
BOOST_AUTO_TEST_CASE(keepsAnUpstreamAfterTheAnswerToItsClaimWasLost)
{
    listUpstream("second");
    const KeeperWrite claim = waitForWrite("");
    BOOST_TEST(claim.row.upstream.value() == "second");
    send(KeeperWriteCompleted{zone, std::nullopt, {}});
    // The write may or may not be committed, so nothing is started before its row is read.
    BOOST_TEST(dispatcher.status().keptUpstreams == 1);
    KeeperRow written = claim.row;
    written.version = 7;
    send(KeepersRead{{written}});
    BOOST_TEST(dispatcher.status().keptUpstreams == 2);
    pass(600ms);
    BOOST_TEST(take<WriteKeepers>().empty());
}

// Guards against tasks that run on for a VM that has ended their job. Its connection to this VM was
// closed after a silence of this VM, while the link from this VM to it survived.
BOOST_AUTO_TEST_CASE(stopsOfferedTasksWhenTheInputOfThePeerEnds)
{
    send(PeerLinkChanged{VmId{"b"}, true});
    send(OfferReceived{VmId{"b"}, TaskOffer{5, job("offered", 2, 300ms), {0, 1}, 1}});
    confirmStarts();
    send(PeerInputClosed{VmId{"b"}});
    BOOST_TEST(take<StopOrder>().size() == 2);
    // Jobs offered to that VM end too, as its answer can't arrive.
    send(PeerCapacityReported{VmId{"b"}, zone, false, {{{64'000, 100}}, 100, 64'000, 0}});
    submit(1, job("mine", 2, 300ms));
    BOOST_TEST(take<AnswerJob>().empty());
    send(PeerInputClosed{VmId{"b"}});
    const auto answers = take<AnswerJob>();
    BOOST_REQUIRE(answers.size() == 1);
    const auto *const end = std::get_if<JobBrokenOff>(&answers[0].end);
    BOOST_REQUIRE(end != nullptr);
    BOOST_TEST((end->reason == BreakOffReason::PeerLost));
}

// Guards against an upstream that fails again right after a successful probe and takes as many runs
// as it has room for.
BOOST_AUTO_TEST_CASE(limitsTheRunsAfterAProbe)
{
    quarantineUpstream(RunEndKind::Failed);
    pass(800ms);
    submitSmall(10, "probe", 1);
    confirmStarts();
    BOOST_REQUIRE(active.size() == 1);
    endActiveRuns(RunEndKind::Done);
    submitSmall(11, "wide", 6);
    BOOST_TEST(take<StartOrder>().size() == 2);
}

// Guards against a probe at every start delay on an upstream that refuses each start as unhealthy.
BOOST_AUTO_TEST_CASE(pausesAnUpstreamThatRefusesItsProbe)
{
    quarantineUpstream(RunEndKind::Failed);
    pass(800ms);
    submitSmall(10, "probe", 1);
    std::size_t starts = 0;
    for (int n = 0; n < 100; ++n) {
        for (const StartOrder &it : take<StartOrder>()) {
            ++starts;
            send(StartOrderCompleted{upstream, it.name, it.number, OrderResult::Unhealthy,
                                     std::nullopt});
        }
        pass(5ms);
    }
    BOOST_TEST(starts == 1);
}

// Guards against a new keeper that loses runs on an upstream that the previous one did not trust.
BOOST_AUTO_TEST_CASE(passesOnWhatItKnowsOfAnUpstream)
{
    linkVm("b", ownMessageLevel);
    linkVm("old", 0);
    take<SendToVm>();
    quarantineUpstream(RunEndKind::Failed);
    const auto sent = take<SendToVm>();
    // A VM that does not support the message would close the link.
    BOOST_REQUIRE(sent.size() == 1);
    BOOST_TEST(sent[0].vm.value() == "b");
    const auto quarantined = std::get<UpstreamSuspicion>(sent[0].message);
    BOOST_TEST(quarantined.upstream.value() == "u");
    BOOST_TEST((quarantined.processStart == UpstreamProcessStart{1}));
    BOOST_TEST((quarantined.state.level == TrustLevel::Quarantined));
    pass(100ms);
    loseUpstreams();
    const auto released = take<SendToVm>();
    BOOST_REQUIRE(released.size() == 1);
    const auto last = std::get<UpstreamSuspicion>(released[0].message);
    BOOST_TEST((last.state == quarantined.state));
    BOOST_TEST((last.age >= 100ms));
}

// Guards against the same at the receiving VM, and against a suspicion that outlives its time or
// the process of the upstream.
BOOST_AUTO_TEST_CASE(startsFromTheSuspicionOfThePreviousKeeper)
{
    const UpstreamTrust trust{TrustLevel::Quarantined, 0, 1400ms};
    const auto startsOn = [&](const std::string &id, UpstreamProcessStart process, Duration age) {
        linkVm("b", ownMessageLevel);
        loseUpstreams();
        listUpstream(id);
        send(SuspicionReceived{VmId{"b"}, {UpstreamId{id}, process, trust, age}});
        keepUpstream(id);
        take<StartOrder>();
        submitSmall(++lastRequest, id, 1);
        return take<StartOrder>().size();
    };
    BOOST_TEST(startsOn("second", UpstreamProcessStart{1}, 300ms) == 0);
    pass(1000ms);
    submitSmall(++lastRequest, "early", 1);
    BOOST_TEST(take<StartOrder>().empty());
    pass(150ms);
    submitSmall(++lastRequest, "later", 1);
    BOOST_TEST(take<StartOrder>().size() == 1);
    BOOST_TEST(startsOn("other-process", UpstreamProcessStart{2}, 300ms) == 1);
    BOOST_TEST(startsOn("too-old", UpstreamProcessStart{1}, 10s) == 1);
    BOOST_TEST(startsOn("negative-age", UpstreamProcessStart{1}, -1s) == 1);
}

// Guards against tasks that need no resources being started all at once: each start order takes a
// connection and a fiber, and 10,000 of them used up all descriptors.
BOOST_AUTO_TEST_CASE(boundsTheUnconfirmedStartsOfTasksWithoutNeeds)
{
    FleetJob wide = job("wide", 10'000, 1ms);
    wide.need = {};
    submit(++lastRequest, wide);
    const std::size_t first = take<StartOrder>().size();
    BOOST_TEST(first > 0U);
    BOOST_TEST(first <= 64U);
    pass(20ms);
    BOOST_TEST(take<StartOrder>().empty());
}

// Guards against small requests for many tasks that exhaust the memory together.
BOOST_AUTO_TEST_CASE(boundsTheTasksOfAllJobs)
{
    for (int n = 0; n < 10; ++n) {
        FleetJob wide = job("wide-" + std::to_string(n), 10'000, 1ms);
        wide.need = {};
        submit(++lastRequest, wide);
    }
    BOOST_TEST(dispatcher.status().jobs == 2U);
    const auto answers = take<AnswerJob>();
    BOOST_REQUIRE(answers.size() == 8U);
    const auto *const end = std::get_if<JobTurnedAway>(&answers.front().end);
    BOOST_REQUIRE(end != nullptr);
    BOOST_TEST((end->reason == TurnAwayReason::Overload));
    BOOST_TEST((end->retryAfter > Duration{}));
}

BOOST_AUTO_TEST_SUITE_END()
