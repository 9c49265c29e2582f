#include <algorithm>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <sstream>

#include <boost/test/unit_test.hpp>

#include "rattandock/core/scheduler.hpp"

using namespace rattandock;
using namespace rattandock::core;
using namespace std::chrono_literals;

namespace {

/// Simulates load on a Scheduler with a virtual clock. Upstreams run each task for its actual run
/// time multiplied by their cost. Declared estimates deviate from it by up to the given factor.
struct Load
{
    struct Ending
    {
        TimePoint at;
        std::uint64_t number = 0;
        TaskRef task;
        UpstreamId upstream;
        Duration elapsed{};

        friend bool operator>(const Ending &a, const Ending &b)
        {
            return std::pair{a.at, a.number} > std::pair{b.at, b.number};
        }
    };
    struct Submitted
    {
        std::vector<Duration> times;
        std::size_t left = 0;
        TimePoint deadline;
    };

    static constexpr std::uint32_t upstreamCount = 20;

    explicit Load(std::uint64_t seed)
        : scheduler(DispatcherOptions{}, seed)
        , random(seed)
    {
        std::vector<UpstreamSpec> specs;
        for (std::uint32_t n = 0; n < upstreamCount; ++n) {
            UpstreamSpec &it = specs.emplace_back();
            it.id = UpstreamId{std::to_string(n)};
            it.rack = RackId{std::to_string(n / 5)};
            // Costs from 0.5 to 2.
            costs[it.id] = std::pow(4.0, n / (upstreamCount - 1.0)) / 2.0;
            capacity += 8.0 / costs[it.id];
        }
        scheduler.configure(specs, {{TeamId{"a"}, 3, 0}, {TeamId{"b"}, 1, 0}}, now);
    }

    double uniform(double low, double high)
    {
        return std::uniform_real_distribution<double>{low, high}(random);
    }

    JobSpec makeJob(Submitted &submitted, double estimateError)
    {
        JobSpec job;
        const std::array<const char *, 3> teams{"a", "b", "c"};
        job.team = TeamId{teams.at(random() % 3)};
        job.deadline = Duration{static_cast<Duration::rep>(uniform(8e6, 20e6))};
        const auto count = static_cast<std::size_t>(std::pow(200.0, uniform(0, 1)));
        for (std::size_t n = 0; n < count; ++n) {
            const double time = 50'000 * std::pow(20.0, uniform(0, 1));
            submitted.times.emplace_back(static_cast<Duration::rep>(time));
            job.tasks.push_back(TaskSpec{"payload", submitted.times.back(), {}});
            job.tasks.back().estimate = Duration{
                    static_cast<Duration::rep>(time * std::pow(estimateError, uniform(-1, 1)))};
        }
        submitted.left = count;
        submitted.deadline = now + job.deadline;
        return job;
    }

    void submit(double estimateError)
    {
        const JobHandle handle{nextJob++};
        Submitted submitted;
        const JobSpec job = makeJob(submitted, estimateError);
        for (const Duration it : submitted.times) {
            offeredWork += std::chrono::duration<double>(it).count();
        }
        if (const auto refusal = scheduler.refusalFor(job, now)) {
            ++refused[refusal->reason];
            refusalsWithoutRetryAfter += refusal->retryAfter ? 0 : 1;
            return;
        }
        ++admitted;
        scheduler.enqueue(handle, job, now);
        jobs.emplace(handle, std::move(submitted));
    }

    void dispatch()
    {
        std::vector<PlacedTask> placed;
        scheduler.dispatch(now, placed);
        for (const PlacedTask &it : placed) {
            const bool first = started.insert(it.task).second;
            doubleStarts += first ? 0 : 1;
            unregisteredReasons +=
                    std::ranges::find(placementReasons, it.reason) == placementReasons.end() ? 1
                                                                                             : 0;
            const Duration time = jobs.at(it.task.job).times[it.task.task.value()];
            const Duration elapsed{static_cast<Duration::rep>(static_cast<double>(time.count())
                                                              * costs.at(it.upstream))};
            endings.push({now + elapsed, nextEnding++, it.task, it.upstream, elapsed});
        }
    }

    void endNext()
    {
        const Ending it = endings.top();
        endings.pop();
        now = it.at;
        scheduler.attemptEnded(it.task, it.upstream, AttemptCompleted{}, it.elapsed, now, actions);
        Submitted &job = jobs.at(it.task.job);
        if (now <= lastSubmission) {
            doneWork += std::chrono::duration<double>(job.times[it.task.task.value()]).count();
        }
        if (--job.left == 0) {
            late += now > job.deadline ? 1 : 0;
            jobs.erase(it.task.job);
        }
    }

    /// Submits jobs for `time` at an arrival rate of `load` times the capacity, then runs until all
    /// tasks have ended.
    void run(double load, Duration time, double estimateError)
    {
        // Mean work of a job in seconds: about 37 tasks of 0.32 s.
        const double meanGap = 37.6 * 0.317 / (capacity * load);
        TimePoint nextSubmission = now;
        lastSubmission = now + time;
        while (nextSubmission < lastSubmission || !endings.empty()) {
            TimePoint next = nextSubmission < lastSubmission ? nextSubmission : TimePoint::max();
            if (!endings.empty()) {
                next = std::min(next, endings.top().at);
            }
            const auto timer = scheduler.nextTimer();
            BOOST_REQUIRE((!timer || *timer > now));
            if (timer && *timer < next) {
                now = *timer;
            } else if (!endings.empty() && endings.top().at == next) {
                endNext();
            } else {
                now = next;
                submit(estimateError);
                nextSubmission += Duration{static_cast<Duration::rep>(
                        std::exponential_distribution<double>{1.0 / meanGap}(random)*1e6)};
            }
            dispatch();
        }
    }

    Scheduler scheduler;
    std::mt19937_64 random;
    TimePoint now{1s};
    std::map<UpstreamId, double> costs;
    double capacity = 0;
    std::map<JobHandle, Submitted> jobs;
    std::set<TaskRef> started;
    std::priority_queue<Ending, std::vector<Ending>, std::greater<>> endings;
    std::uint64_t nextJob = 1;
    std::uint64_t nextEnding = 0;
    std::map<RefusalReason, std::size_t> refused;
    std::size_t refusalsWithoutRetryAfter = 0;
    std::size_t admitted = 0;
    std::size_t late = 0;
    std::size_t doubleStarts = 0;
    /// Placements with a reason that is missing from placementReasons, from which the metrics are
    /// created at start.
    std::size_t unregisteredReasons = 0;
    double offeredWork = 0;
    TimePoint lastSubmission;
    /// Work in seconds of the tasks that ended before the end of submissions.
    double doneWork = 0;
    Actions actions;
};

} // namespace

BOOST_AUTO_TEST_SUITE(SchedulerOverloadTest)

// Guards against admitted jobs that miss their deadline at twice the capacity of the upstreams, and
// against idle upstreams because too many jobs are refused.
BOOST_AUTO_TEST_CASE(admittedJobsEndInTimeAtTwiceTheCapacity)
{
    for (const double estimateError : {1.0, 1.5, 3.0}) {
        for (const std::uint64_t seed : {1U, 2U, 3U}) {
            Load load{seed};
            load.run(2.0, 120s, estimateError);
            std::size_t refused = 0;
            for (const auto &[reason, count] : load.refused) {
                refused += count;
            }
            std::ostringstream figures;
            figures << "seed " << seed << ", estimates off by " << estimateError << ": "
                    << load.admitted << " admitted, " << refused << " refused, " << load.late
                    << " late, use " << load.doneWork / (load.capacity * 120);
            BOOST_TEST_MESSAGE(figures.str());
            BOOST_TEST_CONTEXT(figures.str())
            {
                BOOST_TEST(load.late == 0);
                BOOST_TEST(load.doneWork > 0.85 * load.capacity * 120);
                BOOST_TEST(load.doubleStarts == 0);
                BOOST_TEST(load.unregisteredReasons == 0);
                BOOST_TEST(refused > load.admitted / 4);
                BOOST_TEST(load.refusalsWithoutRetryAfter == 0);
                BOOST_TEST(load.scheduler.queuedTasks() == 0);
                BOOST_TEST(load.scheduler.runningTasks() == 0);
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
