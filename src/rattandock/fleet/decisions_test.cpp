// Load patterns replayed against the single decisions of the layer.
#include <boost/test/unit_test.hpp>

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

// Guards against short tasks filling the fast upstreams, so that long ones end too late.
BOOST_AUTO_TEST_CASE(leavesFastUpstreamsToLongTasks)
{
    const std::vector<PlacementCandidate> candidates{{0, 37'000, 33ms}, {1, 37'000, 72ms}};
    BOOST_TEST(choosePlacement(candidates, {150ms, 1400ms, 33ms}).value() == 1);
    // With less time left only the fast one is in time.
    BOOST_TEST(choosePlacement(candidates, {40ms, 1400ms, 33ms}).value() == 0);
}

// Guards against a long task being started where it would probably miss its deadline, while a
// faster upstream will be free soon.
BOOST_AUTO_TEST_CASE(letsLongTasksWaitForAFastUpstream)
{
    const std::vector<PlacementCandidate> slow{{0, 37'000, 1080ms}};
    BOOST_TEST(!choosePlacement(slow, {1500ms, 1450ms, 500ms}));
    // No upstream is safe any more, so the slow one is the best chance.
    BOOST_TEST(choosePlacement(slow, {1500ms, 1450ms, 1000ms}).has_value());
    BOOST_TEST(!choosePlacement(slow, {900ms, 900ms, 700ms}));
}

// Guards against large holes being cut up: tasks of 27 of 64 cores beside ones of up to 41.
BOOST_AUTO_TEST_CASE(fillsTheTightestHole)
{
    const std::vector<PlacementCandidate> candidates{
            {0, 37'000, 60ms}, {1, 3'000, 61ms}, {2, 10'000, 59ms}};
    BOOST_TEST(choosePlacement(candidates, {150ms, 1400ms, 59ms}).value() == 1);
}

// Guards against the runs of a job whose estimate is too low being restarted again and again until
// its deadline: on a quiet day one task of 450 ms was stopped after each 200 ms.
BOOST_AUTO_TEST_CASE(waitsLongerForRunsOfAJobThatWasRestartedBefore)
{
    OverdueView view{.elapsed = 210ms, .expected = 60ms, .restart = 50ms, .untilDeadline = 1200ms};
    BOOST_TEST((judgeRun(view) == OverdueVerdict::Restart));
    view.formerStops = 1;
    BOOST_TEST((judgeRun(view) == OverdueVerdict::Wait));
    view.elapsed = 361ms;
    BOOST_TEST((judgeRun(view) == OverdueVerdict::Restart));
    view.formerStops = 2;
    BOOST_TEST((judgeRun(view) == OverdueVerdict::Wait));
}

// Guards against taking an upstream for hung that ends other runs meanwhile, and against a run that
// is stopped although no new one could end in time.
BOOST_AUTO_TEST_CASE(restartsOnlyWhatProbablyHangsAndCanStillEnd)
{
    OverdueView view{.elapsed = 900ms, .expected = 300ms, .restart = 300ms, .untilDeadline = 500ms};
    BOOST_TEST((judgeRun(view) == OverdueVerdict::Restart));
    view.upstreamWorks = true;
    BOOST_TEST((judgeRun(view) == OverdueVerdict::Wait));
    view.upstreamWorks = false;
    view.untilDeadline = 250ms;
    BOOST_TEST((judgeRun(view) == OverdueVerdict::Suspect));
}

// Guards against queueing what cannot end in time in a burst of 1.8 times what fits.
BOOST_AUTO_TEST_CASE(refusesAtOnceWhatWouldWaitTooLong)
{
    AdmissionView view;
    view.usableCpu = 3'600'000;
    view.longest = 200ms;
    view.work = 2.0 * 27'000 * 200'000;
    view.untilObjective = 380ms;
    view.untilDeadline = 1480ms;
    BOOST_TEST(!refusalRetryAfter(view).has_value());
    // Queued work of 2 s of the whole fleet.
    view.ahead = 2e6 * 3'600'000 * 0.85;
    const auto retryAfter = refusalRetryAfter(view);
    BOOST_REQUIRE(retryAfter.has_value());
    BOOST_TEST((*retryAfter >= 1s && *retryAfter <= 5s));
    view.fitsNow = true;
    BOOST_TEST(!refusalRetryAfter(view).has_value());
}

// Guards against refusing callers in the second in which all VMs return from a power loss.
BOOST_AUTO_TEST_CASE(letsShortJobsWaitForTheFirstUpstreamsAfterAStart)
{
    AdmissionView view;
    view.longest = 120ms;
    view.untilDeadline = 1480ms;
    BOOST_TEST(refusalRetryAfter(view).has_value());
    view.isStarting = true;
    BOOST_TEST(!refusalRetryAfter(view).has_value());
    view.longest = 1100ms;
    BOOST_TEST(refusalRetryAfter(view).has_value());
}

// Guards against offering tasks to VMs whose free upstreams are too slow, or to a VM that was
// offered its room already.
BOOST_AUTO_TEST_CASE(sharesRoomInTheOwnZoneFirstAndOnce)
{
    SharedRoom shared{ZoneId{"a"}};
    shared.report(VmId{"b1"}, ZoneId{"b"}, {{{64'000, 100}, {64'000, 100}}, 100, 128'000, 0});
    shared.report(VmId{"a2"}, ZoneId{"a"}, {{{64'000, 50}}, 50, 64'000, 0});
    const MilliCores cpu{27'000};
    BOOST_TEST(shared.placesFor(cpu, 200) == 6);
    BOOST_TEST(shared.placesFor(cpu, 60) == 2);
    BOOST_TEST(shared.fastestPercent() == 50);
    const auto first = shared.take(cpu, 3, 200);
    BOOST_REQUIRE(first.has_value());
    BOOST_TEST(first->vm.value() == "a2");
    BOOST_TEST(first->tasks == 2);
    BOOST_TEST(!shared.take(cpu, 1, 60).has_value());
    BOOST_TEST(shared.take(cpu, 9, 200)->tasks == 4);
    BOOST_TEST(!shared.take(cpu, 1, 200).has_value());
}

// Guards against upstreams that fail at once attracting all work, and against single failures,
// which jobs cause themselves, taking a good one out.
BOOST_AUTO_TEST_CASE(setsFailingUpstreamsAside)
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

// Guards against taking VMs for dead because the store, or this VM, stood still.
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

// Guards against the return from a power loss waiting for a VM that is gone for good: its row never
// changes again, and all others waited the whole settle time.
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
    // Both have shown up with the second read; three beats later nobody else is expected.
    BOOST_TEST((*settled == TimePoint{10s} + 600ms));
}

// Guards against an upstream's speed being judged by its kind alone: the works' upstreams of one
// kind differ by a factor of two.
BOOST_AUTO_TEST_CASE(learnsTheSpeedOfEachUpstream)
{
    RunTimes times;
    const UpstreamId fast{"fast"};
    const UpstreamId slow{"slow"};
    for (int n = 0; n < 40; ++n) {
        times.learn(fast, "a", 100ms, 55ms);
        times.learn(slow, "a", 100ms, 120ms);
    }
    BOOST_TEST(std::abs(times.factor(fast, "a") - 0.55) < 0.02);
    BOOST_TEST(std::abs(times.factor(slow, "a") - 1.2) < 0.05);
    BOOST_TEST(std::abs(times.fastestFactor() - 0.55) < 0.02);
    // A new upstream starts between them.
    BOOST_TEST(times.factor(UpstreamId{"new"}, "a") > 0.6);
}

// Guards against links that only one end keeps, and against links that grow with the square of the
// VMs.
BOOST_AUTO_TEST_CASE(linksTheZoneAndAFewOthersFromBothEnds)
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

// Guards against a job of a kind that is not built being run in part.
BOOST_AUTO_TEST_CASE(refusesKindsOfJobsThatAreNotSupported)
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
    const auto job = fleetJobOf(good, queue, 5s);
    BOOST_REQUIRE(std::holds_alternative<FleetJob>(job));
    BOOST_TEST((std::get<FleetJob>(job).objective == 380ms));
    BOOST_TEST((std::get<FleetJob>(job).deadline == 1500ms));
    const auto refused = [&](auto change) {
        Submission submission = good;
        change(submission);
        const auto result = fleetJobOf(submission, queue, 5s);
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
