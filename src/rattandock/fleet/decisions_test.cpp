// Tests the decision functions of the fleet layer with inputs taken from load patterns.
#include <array>
#include <boost/test/unit_test.hpp>
#include <random>

#include "rattandock/fleet/admission.hpp"
#include "rattandock/fleet/link_choice.hpp"
#include "rattandock/fleet/membership.hpp"
#include "rattandock/fleet/overdue.hpp"
#include "rattandock/fleet/placement.hpp"
#include "rattandock/fleet/run_times.hpp"
#include "rattandock/fleet/sharing.hpp"
#include "rattandock/fleet/submission.hpp"
#include "rattandock/fleet/upstream_quarantine.hpp"

using namespace rattandock;
using namespace rattandock::fleet;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(DecisionsTest)

// Guards against short tasks occupying the fast upstreams, so that long tasks end too late.
BOOST_AUTO_TEST_CASE(keepsFastUpstreamsFreeForLongTasks)
{
    const std::vector<PlacementCandidate> candidates{{0, 37'000, 33ms}, {1, 37'000, 72ms}};
    BOOST_TEST(choosePlacement(candidates, {150ms, 1400ms, 33ms}).value() == 1);
    // With less time left, only the fast upstream meets the objective.
    BOOST_TEST(choosePlacement(candidates, {40ms, 1400ms, 33ms}).value() == 0);
}

// Guards against starting a long task on an upstream where it would probably miss its deadline,
// although a faster upstream will be free soon.
BOOST_AUTO_TEST_CASE(delaysLongTasksUntilAFastUpstreamIsFree)
{
    const std::vector<PlacementCandidate> slow{{0, 37'000, 1080ms}};
    BOOST_TEST(!choosePlacement(slow, {1500ms, 1450ms, 500ms, 0.4, 300ms}));
    // After the wait, the fastest upstream would give it a smaller chance than the slow one now.
    BOOST_TEST(choosePlacement(slow, {1500ms, 1450ms, 1000ms, 0.4, 300ms}).has_value());
    BOOST_TEST(!choosePlacement(slow, {900ms, 900ms, 700ms, 0.4, 100ms}));
}

// Guards against fragmentation of large free capacities, with tasks that need 27 of 64 cores next
// to tasks that need up to 41.
BOOST_AUTO_TEST_CASE(prefersTheUpstreamWithTheLeastCpuLeft)
{
    const std::vector<PlacementCandidate> candidates{
            {0, 37'000, 60ms}, {1, 3'000, 61ms}, {2, 10'000, 59ms}};
    BOOST_TEST(choosePlacement(candidates, {150ms, 1400ms, 59ms}).value() == 1);
}

// Guards against restarting the runs of a job with too low an estimate repeatedly until its
// deadline. Under light load this happened to a task of 450 ms, each of whose runs was stopped
// after 200 ms.
BOOST_AUTO_TEST_CASE(raisesTheOverdueLimitWithEachStoppedRun)
{
    OverdueInputs inputs{
            .elapsed = 210ms, .expected = 60ms, .restartRunTime = 50ms, .untilDeadline = 1200ms};
    BOOST_TEST((decideOverdueAction(inputs) == OverdueAction::Restart));
    inputs.previousStops = 1;
    BOOST_TEST((decideOverdueAction(inputs) == OverdueAction::Wait));
    inputs.elapsed = 361ms;
    BOOST_TEST((decideOverdueAction(inputs) == OverdueAction::Restart));
    inputs.previousStops = 2;
    BOOST_TEST((decideOverdueAction(inputs) == OverdueAction::Wait));
}

// Guards against suspecting an upstream that completes other runs meanwhile, and against stopping a
// run although a new one could not end before the deadline.
BOOST_AUTO_TEST_CASE(restartsOnlyRunsThatProbablyHangAndCanStillEndInTime)
{
    OverdueInputs inputs{
            .elapsed = 900ms, .expected = 300ms, .restartRunTime = 300ms, .untilDeadline = 500ms};
    BOOST_TEST((decideOverdueAction(inputs) == OverdueAction::Restart));
    inputs.hasUpstreamSucceededSince = true;
    BOOST_TEST((decideOverdueAction(inputs) == OverdueAction::Wait));
    inputs.hasUpstreamSucceededSince = false;
    inputs.untilDeadline = 250ms;
    BOOST_TEST((decideOverdueAction(inputs) == OverdueAction::Suspect));
}

// Guards against queueing jobs that cannot end in time, in a burst of 1.8 times the capacity.
BOOST_AUTO_TEST_CASE(refusesJobsWithTooLongAPredictedWait)
{
    AdmissionInputs inputs;
    inputs.usableCpu = 3'600'000;
    inputs.minRunTime = 200ms;
    inputs.jobWork = 2.0 * 27'000 * 200'000;
    inputs.untilObjective = 380ms;
    inputs.untilDeadline = 1480ms;
    BOOST_TEST(!refusalRetryAfter(inputs).has_value());
    // Queued work that takes the whole fleet 2 s.
    inputs.queuedWorkAhead = 2e6 * 3'600'000 * 0.85;
    const auto retryAfter = refusalRetryAfter(inputs);
    BOOST_REQUIRE(retryAfter.has_value());
    BOOST_TEST((*retryAfter >= 1s && *retryAfter <= 5s));
    inputs.fitsNow = true;
    BOOST_TEST(!refusalRetryAfter(inputs).has_value());
}

// Guards against refusing jobs in the first second after all VMs restart from a power loss, before
// any upstream is available.
BOOST_AUTO_TEST_CASE(admitsShortJobsWhileWaitingForTheFirstUpstreams)
{
    AdmissionInputs inputs;
    inputs.minRunTime = 120ms;
    inputs.untilDeadline = 1480ms;
    BOOST_TEST(refusalRetryAfter(inputs).has_value());
    inputs.isStarting = true;
    BOOST_TEST(!refusalRetryAfter(inputs).has_value());
    inputs.minRunTime = 1100ms;
    BOOST_TEST(refusalRetryAfter(inputs).has_value());
}

// Guards against offering tasks to VMs whose free upstreams are too slow, or to a VM whose reported
// capacity is already taken by earlier offers.
BOOST_AUTO_TEST_CASE(reservesPeerRoomOnceAndInTheOwnZoneFirst)
{
    PeerRoom peerRoom{ZoneId{"a"}};
    peerRoom.update(VmId{"b1"}, ZoneId{"b"}, {{{64'000, 100}, {64'000, 100}}, 100, 128'000, 0});
    peerRoom.update(VmId{"a2"}, ZoneId{"a"}, {{{64'000, 50}}, 50, 64'000, 0});
    const MilliCores cpu{27'000};
    BOOST_TEST(peerRoom.countFittingTasks(cpu, 200) == 6);
    BOOST_TEST(peerRoom.countFittingTasks(cpu, 60) == 2);
    BOOST_TEST(peerRoom.fastestPercent() == 50);
    const auto first = peerRoom.reserve(cpu, 3, 200);
    BOOST_REQUIRE(first.has_value());
    BOOST_TEST(first->vm.value() == "a2");
    BOOST_TEST(first->tasks == 2);
    BOOST_TEST(!peerRoom.reserve(cpu, 1, 60).has_value());
    BOOST_TEST(peerRoom.reserve(cpu, 9, 200)->tasks == 4);
    BOOST_TEST(!peerRoom.reserve(cpu, 1, 200).has_value());
}

// Guards against upstreams that fail every run immediately and thereby attract all tasks, and
// against quarantining a healthy upstream because of a few failures that a job causes itself.
BOOST_AUTO_TEST_CASE(quarantinesFailingUpstreams)
{
    UpstreamQuarantine watch;
    const UpstreamId id{"u"};
    TimePoint now{1s};
    BOOST_TEST((watch.failed(id, JobNumber{1}, now) == UpstreamQuarantine::Change::None));
    BOOST_TEST((watch.failed(id, JobNumber{1}, now) == UpstreamQuarantine::Change::None));
    BOOST_TEST(watch.mayStart(id, now));
    UpstreamQuarantine::Change change{};
    for (std::uint64_t job = 2; change == UpstreamQuarantine::Change::None && job < 6; ++job) {
        change = watch.failed(id, JobNumber{job}, now);
    }
    BOOST_TEST((change == UpstreamQuarantine::Change::Quarantined));
    BOOST_TEST(!watch.mayStart(id, now));
    now += 800ms;
    BOOST_TEST(watch.mayStart(id, now));
    watch.started(id);
    BOOST_TEST(!watch.mayStart(id, now));
    BOOST_TEST((watch.succeeded(id) == UpstreamQuarantine::Change::Restored));
    BOOST_TEST(watch.mayStart(id, now));
}

// Guards against false failure detection of VMs while the store is unavailable or this VM is
// paused.
BOOST_AUTO_TEST_CASE(countsOnlySuccessfulReadsAgainstAVm)
{
    Membership members{2s};
    MemberRow row{VmId{"v"}, Incarnation{1}, ZoneId{"z"}, "127.0.0.1:1", 1, false, 1};
    TimePoint now{10s};
    members.updateRow(row);
    members.readSucceeded(now);
    members.readFailed();
    now += 60s;
    members.updateRow(row);
    members.readSucceeded(now);
    BOOST_TEST(members.isAlive(row.vm, row.incarnation));
    for (int n = 0; n < 4; ++n) {
        now += 700ms;
        members.updateRow(row);
        members.readSucceeded(now);
    }
    BOOST_TEST(!members.isAlive(row.vm, row.incarnation));
    members.setLink(row.vm, true);
    BOOST_TEST(members.isAlive(row.vm, row.incarnation));
    BOOST_TEST(!members.isAlive(row.vm, Incarnation{2}));
}

// Guards against a slow restart after a power loss when one VM does not return. Its member row
// never changes again, which made all other VMs wait for the whole settle time.
BOOST_AUTO_TEST_CASE(settlesWithoutAVmThatIsGone)
{
    Membership members{2s};
    MemberRow own{VmId{"a"}, Incarnation{2}, ZoneId{"z"}, "127.0.0.1:1", 1, false, 1};
    MemberRow other{VmId{"b"}, Incarnation{2}, ZoneId{"z"}, "127.0.0.1:2", 1, false, 1};
    const MemberRow gone{VmId{"c"}, Incarnation{1}, ZoneId{"z"}, "127.0.0.1:3", 1, false, 9};
    TimePoint now{10s};
    std::optional<TimePoint> settled;
    for (int n = 0; n < 6; ++n) {
        members.updateRow(own);
        members.updateRow(other);
        members.updateRow(gone);
        members.readSucceeded(now);
        if (members.hasSettled(own.zone, now) && !settled) {
            settled = now;
        }
        ++own.beat;
        ++other.beat;
        now += 150ms;
    }
    BOOST_REQUIRE(settled.has_value());
    // Both VMs are detected by the second read. Three beats later no other VM is expected.
    BOOST_TEST((*settled == TimePoint{10s} + 600ms));
}

// Guards against estimating an upstream's speed from its kind alone. Upstreams of one kind differ
// in speed by a factor of two.
BOOST_AUTO_TEST_CASE(estimatesTheSpeedOfEachUpstream)
{
    RunTimes times;
    const UpstreamId fast{"fast"};
    const UpstreamId slow{"slow"};
    for (int n = 0; n < 40; ++n) {
        times.addSample(fast, "a", 100ms, 55ms);
        times.addSample(slow, "a", 100ms, 120ms);
    }
    BOOST_TEST(std::abs(times.factor(fast, "a") - 0.55) < 0.02);
    BOOST_TEST(std::abs(times.factor(slow, "a") - 1.2) < 0.05);
    BOOST_TEST(std::abs(times.fastestFactor() - 0.55) < 0.02);
    // A new upstream starts with an average of both.
    BOOST_TEST(times.factor(UpstreamId{"new"}, "a") > 0.6);
}

// Guards against an upstream that counts as the fastest because its last runs were short by chance:
// long tasks wait for it and are offered to it, though others are as fast.
BOOST_AUTO_TEST_CASE(takesNoUpstreamForFasterByChance)
{
    RunTimes times;
    std::mt19937_64 random{1};
    std::normal_distribution<double> logRatio{0, 0.4};
    for (int n = 0; n < 400; ++n) {
        for (int upstream = 0; upstream < 30; ++upstream) {
            const double ratio = std::exp(logRatio(random));
            times.addSample(UpstreamId{std::to_string(upstream)}, "a", 100ms,
                            Duration{static_cast<Duration::rep>(100'000 * ratio)});
        }
        BOOST_TEST((n < 200 || times.fastestFactor() > 0.85));
    }
}

// Guards against speeds that are learned from single runs, which differ from their estimates by
// 40%: long tasks wait for an upstream that is no faster than a free one.
BOOST_AUTO_TEST_CASE(learnsSpeedsFromAFewJobs)
{
    const std::array<double, 3> factors{0.8, 1.0, 1.25};
    double worstError = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        RunTimes times;
        std::mt19937_64 random{seed};
        std::normal_distribution<double> normal;
        for (std::size_t n = 0; n < 45; ++n) {
            // The two tasks of each job run on different upstreams.
            const double job = std::exp(0.4 * normal(random));
            std::vector<FinishedRun> runs;
            for (const std::size_t upstream : {n % 3, (n + 1) % 3}) {
                const double millis =
                        100 * job * factors.at(upstream) * std::exp(0.15 * normal(random));
                const auto micros = static_cast<rattandock::Duration::rep>(1000 * millis);
                runs.push_back(
                        {UpstreamId{std::to_string(upstream)}, "a", rattandock::Duration{micros}});
            }
            times.addJob(100ms, runs);
        }
        const double middle = times.factor(UpstreamId{"1"}, "a");
        for (const std::size_t it : {0, 2}) {
            const double factor = times.factor(UpstreamId{std::to_string(it)}, "a") / middle;
            worstError = std::max(worstError, std::abs(std::log(factor / factors.at(it))));
        }
    }
    // Half of the step between two speeds.
    BOOST_TEST(worstError < 0.112);
}

// Guards against tasks that are started on an upstream for seconds after it has become slow.
BOOST_AUTO_TEST_CASE(noticesAChangeOfSpeedWithinAFewRuns)
{
    RunTimes times;
    const UpstreamId upstream{"u"};
    const auto run = [&](int count, Duration elapsed) {
        for (int n = 0; n < count; ++n) {
            times.addSample(upstream, "a", 100ms, elapsed);
        }
    };
    run(300, 100ms);
    run(5, 400ms);
    BOOST_TEST(times.factor(upstream, "a") > 1.5);
    run(20, 100ms);
    BOOST_TEST(times.factor(upstream, "a") < 1.3);
}

// Guards against links that only one end chooses, and against a number of links that grows with the
// square of the number of VMs.
BOOST_AUTO_TEST_CASE(choosesSymmetricLinksInTheZoneAndAFewToOtherZones)
{
    std::map<VmId, MemberRow> members;
    for (int n = 0; n < 300; ++n) {
        const VmId vm{std::string{"vm-"} + std::to_string(n)};
        const ZoneId zone{std::string{"zone-"} + std::to_string(n % 20)};
        members.emplace(vm, MemberRow{vm, Incarnation{1}, zone, "127.0.0.1:1", 1, false, 1});
    }
    std::size_t links = 0;
    for (const auto &[vm, row] : members) {
        for (const VmId &other : chooseLinks(vm, members)) {
            ++links;
            BOOST_TEST(chooseLinks(other, members).contains(vm));
        }
        if (links > 200) {
            break;
        }
    }
    BOOST_TEST(links >= 18);
    BOOST_TEST(chooseLinks(VmId{"vm-0"}, members).size() < 14 + 16);
}

// Guards against running only a part of a job that uses unsupported features.
BOOST_AUTO_TEST_CASE(refusesUnsupportedJobs)
{
    QueueSpec queue;
    queue.service = ServiceId{"s"};
    queue.timeout = 1500ms;
    queue.targetLatency = 60ms;
    queue.stretch = 1.6;
    Submission good;
    good.id = JobId{"x"};
    good.isAnsweredAtEnd = true;
    good.steps.resize(1);
    good.steps[0].taskCount = 2;
    good.steps[0].estimate = 200ms;
    const auto job = toFleetJob(good, queue, 5s);
    BOOST_REQUIRE(std::holds_alternative<FleetJob>(job));
    BOOST_TEST((std::get<FleetJob>(job).objective == 380ms));
    BOOST_TEST((std::get<FleetJob>(job).deadline == 1500ms));
    const auto refused = [&](auto change) {
        Submission submission = good;
        change(submission);
        const auto result = toFleetJob(submission, queue, 5s);
        return std::holds_alternative<Unsupported>(result);
    };
    BOOST_TEST(refused([](Submission &it) { it.isAnsweredAtEnd = false; }));
    BOOST_TEST(refused([](Submission &it) { it.repeats = 2; }));
    BOOST_TEST(refused([](Submission &it) { it.steps.resize(2); }));
    BOOST_TEST(refused([](Submission &it) { it.steps.clear(); }));
    BOOST_TEST(refused([](Submission &it) { it.steps[0].isGroup = true; }));
    BOOST_TEST(refused([](Submission &it) { it.steps[0].isEndless = true; }));
    BOOST_TEST(refused([](Submission &it) { it.steps[0].takesLeftovers = true; }));
}

BOOST_AUTO_TEST_SUITE_END()
