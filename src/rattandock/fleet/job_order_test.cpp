#include "rattandock/fleet/job_order.hpp"

#include <rapidcheck.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <set>
#include <sstream>

#include "rattandock/fleet/queue_profiles.hpp"

using namespace rattandock;
using namespace rattandock::fleet;
using namespace std::chrono_literals;

namespace {

const rc::detail::TestParams propertyParameters{20261204, 500, 100};
constexpr TimePoint now{100s};
/// 400 cores.
constexpr double rate = 400'000;

template <typename Property>
void checkProperty(Property property)
{
    const auto result = rc::detail::checkTestable(std::move(property), rc::detail::TestMetadata{},
                                                  propertyParameters);
    std::ostringstream message;
    rc::detail::printResultMessage(result, message);
    rc::detail::SuccessResult success{};
    BOOST_TEST(result.match(success), message.str());
    BOOST_TEST(success.numSuccess == propertyParameters.maxSuccess);
}

std::int64_t between(std::int64_t low, std::int64_t high)
{
    return *rc::gen::resize(100, rc::gen::inRange<std::int64_t>(low, high));
}

WaitingJob anyJob(std::uint64_t number)
{
    WaitingJob job;
    job.number = JobNumber{number};
    job.priority = static_cast<std::uint32_t>(between(0, 4));
    job.protection = {between(0, 4) == 0, between(0, 2) == 0};
    const std::int64_t tasks = between(1, 17);
    const std::int64_t waiting = between(1, tasks + 1);
    const Duration run{between(1000, 1'500'000)};
    job.taskWork = static_cast<double>(between(1000, 48'000) * run.count());
    job.remainingWork = static_cast<double>(waiting) * job.taskWork;
    job.spentWork = static_cast<double>(tasks - waiting) * job.taskWork;
    job.queueMeanWork = between(0, 3) == 0 ? 0 : 4 * job.taskWork;
    job.arrived = now - Duration{between(0, 1'400'000)};
    job.latestStart = job.arrived + 60ms + run * 3 / 5;
    job.latestUsefulStart = job.latestStart + 2 * (60ms + run);
    job.latestPossibleStart = job.arrived + 1480ms - run * 3 / 5;
    job.isStarted = waiting < tasks;
    job.isNearlyDone = waiting * 3 <= tasks;
    return job;
}

JobOrderView anyView()
{
    JobOrderView view{now, rate, static_cast<double>(between(0, 1'000'000)), {}};
    const auto count = static_cast<std::uint64_t>(between(0, 60));
    for (std::uint64_t n = 0; n < count; ++n) {
        view.jobs.push_back(anyJob(n));
    }
    return view;
}

WaitingJob job(std::uint64_t number, std::uint32_t priority, double cores, Duration run,
               Duration untilLatestStart)
{
    WaitingJob job;
    job.number = JobNumber{number};
    job.priority = priority;
    job.taskWork = cores * 1000 * static_cast<double>(run.count());
    job.remainingWork = job.taskWork;
    job.arrived = now;
    job.latestStart = now + untilLatestStart;
    job.latestUsefulStart = job.latestStart + 200ms;
    job.latestPossibleStart = now + 1400ms;
    return job;
}

std::vector<std::uint64_t> numbers(const JobOrder &order)
{
    std::vector<std::uint64_t> result;
    for (const JobNumber it : order.order) {
        result.push_back(it.value());
    }
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(JobOrderTest)

// Guards against jobs that are lost from the order or named twice, against an order that depends on
// that of its input, and against refusing a job whose tasks may have run.
BOOST_AUTO_TEST_CASE(orderIsTotal)
{
    checkProperty([] {
        JobOrderView view = anyView();
        const JobOrder order = orderWaitingJobs(view);
        std::vector<std::uint64_t> sorted = numbers(order);
        std::ranges::sort(sorted);
        RC_ASSERT(sorted.size() == view.jobs.size());
        for (std::uint64_t n = 0; n < sorted.size(); ++n) {
            RC_ASSERT(sorted[n] == n);
        }
        RC_ASSERT(order.inTime + order.hopeless.size() <= order.order.size());
        const std::size_t served = order.order.size() - order.hopeless.size();
        for (std::size_t n = 0; n < order.hopeless.size(); ++n) {
            RC_ASSERT(order.order[served + n] == order.hopeless[n].number);
            RC_ASSERT(!view.jobs[order.hopeless[n].number.value()].isStarted);
        }
        std::ranges::reverse(view.jobs);
        RC_ASSERT(numbers(orderWaitingJobs(view)) == numbers(order));
    });
}

// Guards against delaying jobs that can meet their objective behind jobs that cannot, and against
// promising capacity twice.
BOOST_AUTO_TEST_CASE(jobsInTimeStartInTime)
{
    checkProperty([] {
        const JobOrderView view = anyView();
        const JobOrder order = orderWaitingJobs(view);
        CoreWork ahead = 0;
        for (std::size_t n = 0; n < order.inTime; ++n) {
            const WaitingJob &it = view.jobs[order.order[n].value()];
            ahead += it.remainingWork;
            const Duration start{static_cast<Duration::rep>((ahead - it.taskWork) / rate)};
            const bool isLate = it.latestStart < now;
            RC_ASSERT(!isLate || (it.isStarted && it.isNearlyDone));
            RC_ASSERT(now + start <= (isLate ? it.latestPossibleStart : it.latestStart));
        }
    });
}

// Guards against starvation: a guaranteed job must not yield, or wait for longer than the stated
// share of its time, because of jobs without a guarantee.
BOOST_AUTO_TEST_CASE(guaranteedJobsYieldOnlyToGuaranteedAndStartedJobs)
{
    checkProperty([] {
        const JobOrderView view = anyView();
        const JobOrder order = orderWaitingJobs(view);
        const auto planned = [](const WaitingJob &it) {
            const auto slack = static_cast<double>((it.latestStart - it.arrived).count());
            return it.arrived + Duration{static_cast<Duration::rep>(guaranteedWaitShare * slack)};
        };
        std::set<JobNumber> inTime(order.order.begin(),
                                   order.order.begin() + static_cast<std::ptrdiff_t>(order.inTime));
        for (const WaitingJob &it : view.jobs) {
            if (!it.protection.isGuaranteed || it.latestStart < now) {
                continue;
            }
            const bool hasYielded = !inTime.contains(it.number);
            for (std::size_t n = 0; n < order.inTime && order.order[n] != it.number; ++n) {
                const WaitingJob &before = view.jobs[order.order[n].value()];
                const bool isProtected = before.isStarted || before.protection.isGuaranteed;
                if (hasYielded && !isProtected) {
                    RC_ASSERT(before.latestStart >= planned(it));
                } else if (!hasYielded && !isProtected) {
                    RC_ASSERT(before.latestStart <= planned(it));
                }
            }
        }
    });
}

// Guards against a yield of small jobs of an important queue when one large job of a less important
// queue takes their place.
BOOST_AUTO_TEST_CASE(theJobWithTheLeastValuePerWorkYields)
{
    JobOrderView view{now, rate, 0, {}};
    // The large job would occupy the whole capacity for 160 ms; each small one for 20 ms.
    view.jobs.push_back(job(1, 2, 800, 80ms, 40ms));
    for (std::uint64_t n = 2; n < 8; ++n) {
        view.jobs.push_back(job(n, 0, 160, 50ms, 110ms));
    }
    const JobOrder order = orderWaitingJobs(view);
    BOOST_TEST(order.inTime == 6);
    BOOST_TEST(order.order.back().value() == 1);
    // With a guarantee, it is the small jobs that do not fit any more.
    view.jobs[0].protection.isGuaranteed = true;
    const JobOrder guaranteed = orderWaitingJobs(view);
    BOOST_TEST(guaranteed.order.front().value() == 1);
    BOOST_TEST(guaranteed.inTime == 1);
}

// Guards against keeping a job until its deadline although the work before it shows that it cannot
// be served, and against refusing the job that is next in line.
BOOST_AUTO_TEST_CASE(jobsWithTooMuchWorkBeforeThemAreHopeless)
{
    JobOrderView view{now, rate, 0, {}};
    view.jobs.push_back(job(1, 0, 400, 500ms, 600ms));
    view.jobs.push_back(job(2, 0, 400, 500ms, 700ms));
    view.jobs.push_back(job(3, 0, 400, 500ms, -250ms));
    const JobOrder order = orderWaitingJobs(view);
    BOOST_REQUIRE(order.hopeless.size() == 1);
    BOOST_TEST(order.hopeless[0].number.value() == 3);
    BOOST_TEST((order.hopeless[0].drainTime == 1s));
    view.jobs.erase(view.jobs.begin(), view.jobs.begin() + 2);
    BOOST_TEST(orderWaitingJobs(view).hopeless.empty());
    // At its deadline it is hopeless without any work before it.
    view.jobs[0].latestPossibleStart = now + 100ms;
    BOOST_TEST(orderWaitingJobs(view).hopeless.size() == 1);
}

// Guards against predicting the start of a late job as if nothing arrived meanwhile.
BOOST_AUTO_TEST_CASE(arrivingWorkDelaysLateJobs)
{
    JobOrderView view{now, rate, 0, {}};
    view.jobs.push_back(job(1, 0, 400, 100ms, 200ms));
    view.jobs.push_back(job(2, 0, 40, 100ms, -10ms));
    BOOST_TEST(orderWaitingJobs(view).hopeless.empty());
    view.arrivalRate = 2 * rate;
    BOOST_TEST(orderWaitingJobs(view).hopeless.size() == 1);
}

// Guards against long jobs that wait behind short ones with equal slack until a run that takes
// longer than predicted ends too late. Of the largest tenth of the long jobs 0.22 were served, of
// all 0.81.
BOOST_AUTO_TEST_CASE(longRunsAreScheduledWithAReserve)
{
    JobOrderView view{now, rate, 0, {}};
    view.jobs.push_back(job(1, 0, 16, 50ms, 200ms));
    view.jobs.push_back(job(2, 0, 16, 700ms, 220ms));
    for (WaitingJob &it : view.jobs) {
        it.expectedRun = Duration{static_cast<Duration::rep>(it.taskWork / 16'000)};
    }
    BOOST_TEST(orderWaitingJobs(view).order.front().value() == 2);
}

// Guards against breaking off a wide job of which one task is missing.
BOOST_AUTO_TEST_CASE(aLateJobThatIsNearlyDoneIsFinished)
{
    JobOrderView view{now, rate, 0, {}};
    view.jobs.push_back(job(1, 2, 16, 300ms, -50ms));
    view.jobs[0].isStarted = true;
    view.jobs[0].isNearlyDone = true;
    view.jobs[0].spentWork = 3 * view.jobs[0].taskWork;
    view.jobs[0].latestPossibleStart = now + 30ms;
    view.jobs.push_back(job(2, 0, 16, 50ms, 80ms));
    BOOST_TEST(orderWaitingJobs(view).order.front().value() == 1);
}

// Guards against values that favour late jobs or forget the work that was spent.
BOOST_AUTO_TEST_CASE(valueFallsWithLatenessAndRisesWithSpentWork)
{
    const JobValueInputs inTime{1, 10ms, 300ms, 1000, 0};
    JobValueInputs late = inTime;
    late.untilLatestStart = -1ms;
    JobValueInputs veryLate = late;
    veryLate.untilLatestUsefulStart = -1ms;
    JobValueInputs started = inTime;
    started.spentWork = 3000;
    BOOST_TEST(jobValue(inTime).perWork > 4 * jobValue(late).perWork);
    BOOST_TEST(jobValue(late).perWork > 3 * jobValue(veryLate).perWork);
    BOOST_TEST(jobValue(veryLate).perWork > 0);
    BOOST_TEST(jobValue(started).perWork > 1.5 * jobValue(inTime).perWork);
    BOOST_TEST(priorityWeight(0) > priorityWeight(1));
    BOOST_TEST(priorityWeight(1'000'000) > 0);
}

// Guards against a draw that favours some ids, or that couples both protections: then the same
// large jobs would always be refused.
BOOST_AUTO_TEST_CASE(protectionIsDrawnEvenly)
{
    int guaranteed = 0;
    int sizeNeutral = 0;
    int both = 0;
    constexpr int count = 20'000;
    for (int n = 0; n < count; ++n) {
        const JobProtection it = jobProtection(JobId{std::string{"job-"} + std::to_string(n)});
        guaranteed += it.isGuaranteed ? 1 : 0;
        sizeNeutral += it.isSizeNeutral ? 1 : 0;
        both += it.isGuaranteed && it.isSizeNeutral ? 1 : 0;
    }
    BOOST_TEST(std::abs(guaranteed - count / 4) < count / 100);
    BOOST_TEST(std::abs(sizeNeutral - count / 2) < count / 100);
    BOOST_TEST(std::abs(both - count / 8) < count / 100);
}

// Guards against callers that are refused together and return together, also where the time is
// below or above the bounds.
BOOST_AUTO_TEST_CASE(retryAfterIsSpread)
{
    for (const Duration drain : {0us, Duration{1s}, Duration{60s}}) {
        std::set<Duration> times;
        for (int n = 0; n < 200; ++n) {
            times.insert(spreadRetryAfter(drain, JobId{std::to_string(n)}));
        }
        BOOST_TEST((*times.begin() >= 200ms));
        BOOST_TEST((*times.rbegin() <= 5s));
        BOOST_TEST((*times.rbegin() >= 1.5 * *times.begin()));
        BOOST_TEST(times.size() > 190);
    }
    const Duration second = spreadRetryAfter(1s, JobId{"a"});
    BOOST_TEST((second >= 750ms && second <= 1250ms));
}

// Guards against changing the order of deployments whose queues have one priority, and against an
// arrival rate that stays high after a burst.
BOOST_AUTO_TEST_CASE(profilesFollowWhatArrives)
{
    QueueProfiles profiles;
    FleetJob one;
    one.queue = QueueId{"one"};
    one.service = ServiceId{"s"};
    FleetJob two = one;
    two.queue = QueueId{"two"};
    profiles.recordArrival(one, 100, now);
    profiles.recordArrival(two, 300, now);
    BOOST_TEST(!profiles.hasSeveralPriorities(one.service, now));
    two.priority = 2;
    profiles.recordOffer(two, now);
    BOOST_TEST(profiles.hasSeveralPriorities(one.service, now));
    BOOST_TEST(!profiles.hasSeveralPriorities(ServiceId{"other"}, now));
    BOOST_TEST(!profiles.hasSeveralPriorities(one.service, now + 61s));
    BOOST_TEST(profiles.meanWork(one.queue) == 100);
    BOOST_TEST(profiles.meanWork(QueueId{"unknown"}) == 0);
    TimePoint at = now;
    for (int n = 0; n < 400; ++n) {
        at += 10ms;
        profiles.recordAdmission(one, 1e6, at);
    }
    BOOST_TEST(std::abs(profiles.arrivalRate(one.service, at) - 100) < 5);
    BOOST_TEST(profiles.arrivalRate(one.service, at + 3s) < 6);
}

// Guards against growth of the profiles by names of queues that no longer exist.
BOOST_AUTO_TEST_CASE(profilesAreBounded)
{
    QueueProfiles profiles;
    FleetJob job;
    for (int n = 0; n < 1000; ++n) {
        job.queue = QueueId{std::to_string(n)};
        profiles.recordArrival(job, 100, now);
    }
    BOOST_TEST(profiles.meanWork(QueueId{"255"}) == 100);
    BOOST_TEST(profiles.meanWork(QueueId{"256"}) == 0);
    profiles.recordArrival(job, 100, now + 61s);
    BOOST_TEST(profiles.meanWork(job.queue) == 100);
    BOOST_TEST(profiles.meanWork(QueueId{"255"}) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
