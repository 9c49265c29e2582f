// Tests of the queue of a single FleetDispatcher where queues of different priority share a
// service. Events of upstreams and of other VMs are scripted.
#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "rattandock/fleet/fleet_dispatcher.hpp"

using namespace rattandock;
using namespace rattandock::fleet;
using namespace std::chrono_literals;

namespace {

/// A dispatcher that has claimed one upstream of 64 cores, and has seen jobs of two priorities.
struct Fixture
{
    Fixture()
    {
        send(MembersRead{std::vector{MemberRow{self, incarnation, zone, "127.0.0.1:1"}}});
        const UpstreamEntry entry{upstream, service, zone, "127.0.0.1:2", false, full, {"k"}};
        send(UpstreamListRead{{entry}, {}, true});
        send(KeepersRead{{KeeperRow{upstream, zone, self, incarnation, 1, 1}}, true});
        pass(3s);
        for (std::uint32_t priority = 0; priority < 2; ++priority) {
            FleetJob seen = job(std::string{"seen-"} + std::to_string(priority), 1, 50ms, priority);
            submit(seen);
            send(CallerDisconnected{CallerRequestId{lastRequest}});
            pass(100ms);
        }
        active.clear();
        pass(100ms);
        recordedActions.clear();
    }

    static FleetOptions options()
    {
        FleetOptions options;
        options.vm = VmId{"a"};
        options.incarnation = Incarnation{7};
        options.zone = ZoneId{"z"};
        return options;
    }
    static FleetJob job(const std::string &id, std::uint32_t tasks, Duration estimate,
                        std::uint32_t priority)
    {
        FleetJob job;
        job.id = JobId{id};
        job.queue = QueueId{std::string{"q"} + std::to_string(priority)};
        job.service = ServiceId{"s"};
        job.taskCount = tasks;
        job.need = {MilliCores{27'000}, Megabytes{64}, Accelerators{0}};
        job.estimate = estimate;
        job.deadline = 1500ms;
        job.objective = estimate * 8 / 5 + 60ms;
        job.maxAttempts = 3;
        job.priority = priority;
        return job;
    }
    /// Returns an id of a job that is not guaranteed, beginning with `prefix`.
    static std::string plainId(const std::string &prefix)
    {
        for (int n = 0;; ++n) {
            const std::string id = prefix + std::to_string(n);
            if (!jobProtection(JobId{id}).isGuaranteed) {
                return id;
            }
        }
    }
    void send(const FleetEvent &event)
    {
        FleetActions actions;
        dispatcher.handle(event, now, actions);
        std::vector<StartOrder> refused;
        for (FleetAction &it : actions) {
            if (auto *const look = std::get_if<PollOrder>(&it)) {
                pendingPoll = look->number;
                continue;
            }
            if (const auto *const start = std::get_if<StartOrder>(&it)) {
                ++starts[start->name.job];
                if (refusesStarts) {
                    refused.push_back(*start);
                } else {
                    active.push_back({start->name, start->number});
                }
            }
            recordedActions.push_back(std::move(it));
        }
        for (const StartOrder &it : refused) {
            send(StartOrderCompleted{upstream, it.name, it.number, OrderResult::NoRoom,
                                     std::nullopt});
        }
    }
    /// Advances the clock in steps of 5 ms. The upstream answers each poll with its active runs.
    void pass(Duration time)
    {
        for (const TimePoint end = now + time; now < end; now += 5ms) {
            if (pendingPoll) {
                RunReport report;
                report.active = active;
                report.clock = UpstreamTime{now.time_since_epoch()};
                report.processStart = UpstreamProcessStart{1};
                send(RunReportReceived{upstream, *std::exchange(pendingPoll, std::nullopt),
                                       report});
            }
            send(UpstreamListRead{{}, {}, false, now});
            send(TimerDue{});
        }
    }
    void submit(const FleetJob &job) { send(JobSubmitted{CallerRequestId{++lastRequest}, job}); }
    /// Returns the end of the job, or null if it was not answered.
    const JobEnd *endOf(const std::string &id) const
    {
        for (const FleetAction &it : recordedActions) {
            const auto *const answer = std::get_if<AnswerJob>(&it);
            if (answer != nullptr && answer->job.value() == id) {
                return &answer->end;
            }
        }
        return nullptr;
    }
    const JobTurnedAway *refusalOf(const std::string &id) const
    {
        const JobEnd *const end = endOf(id);
        return end == nullptr ? nullptr : std::get_if<JobTurnedAway>(end);
    }
    /// Occupies the upstream for longer than any test lasts.
    void fillUpstream()
    {
        FleetJob filler = job("filler", 2, 1400ms, 0);
        filler.deadline = 60s;
        submit(filler);
        BOOST_REQUIRE(starts["filler"] == 2);
    }
    /// Reports another VM without free capacity.
    void addBusyPeer()
    {
        send(PeerLinkChanged{VmId{"b"}, true});
        send(PeerCapacityReported{VmId{"b"}, zone, false, {{}, 50, 64'000, 0}});
    }
    /// Reports free capacity of the other VM, on an upstream that needs half of the estimates.
    void freePeer()
    {
        send(PeerCapacityReported{VmId{"b"}, zone, false, {{{64'000, 50}}, 50, 64'000, 0}});
    }
    bool hasOffered() const
    {
        return std::ranges::any_of(recordedActions, [](const FleetAction &it) {
            return std::holds_alternative<SendToVm>(it);
        });
    }

    VmId self{"a"};
    Incarnation incarnation{7};
    ZoneId zone{"z"};
    UpstreamId upstream{"u"};
    ServiceId service{"s"};
    Resources full{MilliCores{64'000}, Megabytes{131'072}, Accelerators{0}};
    TimePoint now{100s};
    FleetDispatcher dispatcher{options()};
    std::vector<FleetAction> recordedActions;
    std::vector<ActiveRun> active;
    std::map<std::string, int> starts;
    std::optional<PollNumber> pendingPoll;
    std::uint64_t lastRequest = 0;
    /// Whether the upstream refuses all starts because of too little free capacity.
    bool refusesStarts = false;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(FleetDispatcherQueueTest, Fixture)

// Guards against keeping a job until nearly half of its time has passed, although jobs of more
// value that arrive later take the capacity.
BOOST_AUTO_TEST_CASE(refusesAWaitingJobOnceItIsHopeless)
{
    fillUpstream();
    const std::string large = plainId("large");
    submit(job(large, 6, 300ms, 1));
    BOOST_TEST(endOf(large) == nullptr);
    const TimePoint submitted = now;
    for (int n = 0; n < 40 && endOf(large) == nullptr; ++n) {
        submit(job(std::string{"small"} + std::to_string(n), 1, 60ms, 0));
        pass(10ms);
    }
    const JobTurnedAway *const refusal = refusalOf(large);
    BOOST_REQUIRE(refusal != nullptr);
    BOOST_TEST((refusal->reason == TurnAwayReason::Yielded));
    BOOST_TEST((now - submitted <= 400ms));
    BOOST_TEST((refusal->retryAfter >= 200ms && refusal->retryAfter <= 5s));
    BOOST_TEST(starts[large] == 0);
}

// Guards against admitting a job that is known to be hopeless, and against callers that are refused
// together and return together.
BOOST_AUTO_TEST_CASE(refusesAHopelessJobAtItsArrival)
{
    fillUpstream();
    std::set<Duration> times;
    for (int n = 0; n < 60; ++n) {
        const std::string id = std::string{"job"} + std::to_string(n);
        submit(job(id, 2, 200ms, n % 2));
        if (const JobTurnedAway *const refusal = refusalOf(id)) {
            BOOST_TEST((refusal->reason == TurnAwayReason::Overload));
            times.insert(refusal->retryAfter);
        }
    }
    BOOST_TEST(times.size() > 20);
}

// Guards against refusing jobs as hopeless although free capacity fits them: waiting jobs that need
// the whole upstream do not use the capacity that is left.
BOOST_AUTO_TEST_CASE(acceptsAJobThatFitsIntoFreeCapacity)
{
    FleetJob half = job("half", 1, 1400ms, 0);
    half.deadline = 60s;
    submit(half);
    FleetJob whole = job("whole", 1, 800ms, 0);
    whole.need.cpu = MilliCores{60'000};
    submit(whole);
    BOOST_TEST(starts["whole"] == 0);
    BOOST_TEST(endOf("whole") == nullptr);
    const std::string small = plainId("small");
    FleetJob late = job(small, 1, 100ms, 1);
    late.objective = 90ms;
    submit(late);
    BOOST_TEST(endOf(small) == nullptr);
    BOOST_TEST(starts[small] == 1);
}

// Guards against answering that tasks may have run (502 or 504) although the upstream refused each
// start.
BOOST_AUTO_TEST_CASE(refusesAJobOfWhichEachStartWasRefused)
{
    refusesStarts = true;
    submit(job("refused", 1, 300ms, 0));
    pass(1500ms);
    BOOST_TEST(starts["refused"] > 10);
    BOOST_TEST(refusalOf("refused") != nullptr);
}

// Guards against the same for a single start that was refused after another task has run.
BOOST_AUTO_TEST_CASE(breaksOffAJobWhoseFirstTaskHasRun)
{
    submit(job("partly", 1, 300ms, 0));
    BOOST_REQUIRE(active.size() == 1);
    // The upstream has stopped the run, and refuses its next start.
    RunReport report;
    report.ended = {{EndNumber{1}, active[0].name, active[0].number, RunEndKind::Stopped}};
    active.clear();
    report.clock = UpstreamTime{now.time_since_epoch()};
    report.processStart = UpstreamProcessStart{1};
    refusesStarts = true;
    while (!pendingPoll) {
        now += 5ms;
        send(TimerDue{});
    }
    send(RunReportReceived{upstream, *std::exchange(pendingPoll, std::nullopt), report});
    pass(1600ms);
    const JobEnd *const end = endOf("partly");
    BOOST_REQUIRE(end != nullptr);
    BOOST_TEST(std::holds_alternative<JobBrokenOff>(*end));
}

// Guards against refusing another VM's job to its caller. That VM gets the tasks back as not run.
BOOST_AUTO_TEST_CASE(returnsOfferedTasksThatAreHopeless)
{
    fillUpstream();
    send(PeerLinkChanged{VmId{"b"}, true});
    for (int n = 0; n < 10; ++n) {
        submit(job(std::string{"own"} + std::to_string(n), 1, 100ms, 0));
    }
    const std::string offered = plainId("offered");
    FleetJob late = job(offered, 4, 600ms, 1);
    late.deadline = 700ms;
    late.objective = -100ms;
    send(OfferReceived{VmId{"b"}, TaskOffer{5, late, {0, 1, 2, 3}, 1}});
    pass(5ms);
    BOOST_TEST(endOf(offered) == nullptr);
    const bool isReturned = std::ranges::any_of(recordedActions, [](const FleetAction &it) {
        const auto *const sent = std::get_if<SendToVm>(&it);
        const auto *const end =
                sent == nullptr ? nullptr : std::get_if<TaskOfferEnded>(&sent->message);
        return end != nullptr && end->number == 5 && end->result == OfferResult::NotRun;
    });
    BOOST_TEST(isReturned);
}

// Guards against an offer that comes back too late for a refusal: the job would be broken off
// although none of its tasks has run.
BOOST_AUTO_TEST_CASE(offersNothingShortlyBeforeTheLastUsefulStart)
{
    fillUpstream();
    addBusyPeer();
    submit(job("waits", 1, 500ms, 0));
    // A run of 250 ms would end before the deadline, but an offer could come back after the latest
    // useful start, 1330 ms after the submission.
    pass(1210ms);
    BOOST_TEST(endOf("waits") == nullptr);
    freePeer();
    pass(150ms);
    BOOST_TEST(!hasOffered());
    BOOST_TEST(refusalOf("waits") != nullptr);
}

// Guards against the limit of 47% where priorities compete: a job that can still be served waits.
BOOST_AUTO_TEST_CASE(jobThatCanStillBeServedWaits)
{
    fillUpstream();
    addBusyPeer();
    submit(job("waits", 1, 500ms, 0));
    pass(900ms);
    BOOST_TEST(endOf("waits") == nullptr);
    freePeer();
    BOOST_TEST(hasOffered());
}

// Guards against refusing all waiting jobs when no upstream is usable for a moment, for example
// while the list of upstreams is too old.
BOOST_AUTO_TEST_CASE(keepsWaitingJobsWithoutCapacity)
{
    fillUpstream();
    // The work of the filler no longer counts as arriving work.
    pass(2s);
    for (int n = 0; n < 3; ++n) {
        submit(job(std::string{"waits"} + std::to_string(n), 1, 300ms, n % 2));
    }
    UpstreamEntry draining = *dispatcher.findKeptUpstream(upstream);
    draining.draining = true;
    send(UpstreamListRead{{draining}, {}, false, now});
    pass(50ms);
    for (int n = 0; n < 3; ++n) {
        BOOST_TEST(endOf(std::string{"waits"} + std::to_string(n)) == nullptr);
    }
}

BOOST_AUTO_TEST_SUITE_END()
