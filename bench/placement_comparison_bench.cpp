/// Compares the placement policies under the same generated load, by a virtual clock and fixed
/// seeds. Prints response time over ideal per policy. The ideal is the job alone on the idle fleet:
/// its longest task on the fastest upstream, or its work over the whole capacity.
#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <functional>
#include <queue>
#include <random>
#include <unordered_map>

#include "rattandock/core/scheduler.hpp"

using namespace rattandock;
using namespace rattandock::core;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t upstreamCount = 50;
constexpr std::uint32_t slotsPerUpstream = 8;
constexpr double load = 0.7;
constexpr double estimateError = 3.0;
constexpr double maxTasks = 200.0;
constexpr double shortestTask = 0.05;
constexpr double longestTask = 2.0;
/// Jobs that are submitted sooner are not counted: speeds are not learned yet.
constexpr TimePoint warmUpEnd{60s};
constexpr TimePoint lastSubmission{360s};

Duration fromSeconds(double seconds)
{
    return Duration{static_cast<Duration::rep>(seconds * 1e6)};
}

double toSeconds(Duration time)
{
    return std::chrono::duration<double>(time).count();
}

struct Submission
{
    TimePoint at;
    JobSpec spec;
    std::vector<double> times;
};

double costOfUpstream(std::uint32_t n)
{
    return std::pow(4.0, n / (upstreamCount - 1.0)) / 2.0;
}

double capacity()
{
    double sum = 0;
    for (std::uint32_t n = 0; n < upstreamCount; ++n) {
        sum += slotsPerUpstream / costOfUpstream(n);
    }
    return sum;
}

/// The same submissions for each policy.
std::vector<Submission> generate(std::uint64_t seed)
{
    std::mt19937_64 random{seed};
    const auto logUniform = [&random](double low, double high) {
        return low * std::pow(high / low, std::uniform_real_distribution<double>{0, 1}(random));
    };
    const double meanTasks = (maxTasks - 1) / std::log(maxTasks);
    const double meanTime = (longestTask - shortestTask) / std::log(longestTask / shortestTask);
    std::exponential_distribution<double> gap{capacity() * load / (meanTasks * meanTime)};
    std::vector<Submission> made;
    for (TimePoint at{1s}; at < lastSubmission; at += fromSeconds(gap(random))) {
        Submission &it = made.emplace_back();
        it.at = at;
        it.spec.deadline = 60s;
        it.spec.tasks.resize(static_cast<std::size_t>(std::round(logUniform(1, maxTasks))));
        for (TaskSpec &task : it.spec.tasks) {
            it.times.push_back(logUniform(shortestTask, longestTask));
            task.estimate =
                    fromSeconds(it.times.back() * logUniform(1 / estimateError, estimateError));
        }
    }
    return made;
}

struct Ending
{
    TimePoint at;
    std::uint64_t number = 0;
    PlacedTask task;
    Duration elapsed{};

    friend bool operator>(const Ending &a, const Ending &b)
    {
        return std::pair{a.at, a.number} > std::pair{b.at, b.number};
    }
};

class Fleet
{
public:
    Fleet(PlacementPolicyKind policy, std::uint64_t seed, const std::vector<Submission> &jobs)
        : m_scheduler(options(policy), seed)
        , m_jobs(jobs)
        , m_left(jobs.size())
    {
        std::vector<UpstreamSpec> specs;
        for (std::uint32_t n = 0; n < upstreamCount; ++n) {
            UpstreamSpec &it = specs.emplace_back();
            it.id = UpstreamId{std::to_string(n)};
            it.rack = RackId{std::to_string(n % 7)};
            it.slots = Slots{slotsPerUpstream};
            m_costs[it.id] = costOfUpstream(n);
        }
        m_scheduler.configure(specs, {}, m_now);
    }

    /// Response over ideal of each counted job.
    std::vector<double> run()
    {
        std::size_t next = 0;
        while (next < m_jobs.size() || !m_endings.empty()) {
            TimePoint until = next < m_jobs.size() ? m_jobs[next].at : TimePoint::max();
            if (!m_endings.empty()) {
                until = std::min(until, m_endings.top().at);
            }
            const auto timer = m_scheduler.nextTimer();
            if (timer && *timer < until) {
                m_now = *timer;
            } else if (!m_endings.empty() && m_endings.top().at == until) {
                endNext();
            } else {
                m_now = until;
                m_left[next] = m_jobs[next].times.size();
                m_scheduler.enqueue(JobHandle{next}, m_jobs[next].spec, m_now);
                ++next;
            }
            dispatch();
        }
        return m_ratios;
    }

private:
    static DispatcherOptions options(PlacementPolicyKind policy)
    {
        DispatcherOptions options;
        options.placement = policy;
        return options;
    }

    void dispatch()
    {
        std::vector<PlacedTask> placed;
        m_scheduler.dispatch(m_now, placed);
        for (const PlacedTask &it : placed) {
            const double time = m_jobs[it.task.job.value()].times[it.task.task.value()];
            const Duration elapsed = fromSeconds(time * m_costs.at(it.upstream));
            m_endings.push({m_now + elapsed, m_nextEnding++, it, elapsed});
        }
    }

    void endNext()
    {
        const Ending it = m_endings.top();
        m_endings.pop();
        m_now = it.at;
        m_scheduler.attemptEnded(it.task.task, it.task.upstream, AttemptCompleted{}, it.elapsed,
                                 m_now, m_actions);
        const std::size_t job = it.task.task.job.value();
        if (--m_left[job] == 0 && m_jobs[job].at >= warmUpEnd) {
            const auto &times = m_jobs[job].times;
            double work = 0;
            for (const double time : times) {
                work += time;
            }
            const double ideal = std::max(*std::ranges::max_element(times) * costOfUpstream(0),
                                          work / capacity());
            m_ratios.push_back(toSeconds(m_now - m_jobs[job].at) / ideal);
        }
    }

    Scheduler m_scheduler;
    const std::vector<Submission> &m_jobs;
    std::vector<std::size_t> m_left;
    std::unordered_map<UpstreamId, double> m_costs;
    TimePoint m_now{1s};
    std::priority_queue<Ending, std::vector<Ending>, std::greater<>> m_endings;
    std::uint64_t m_nextEnding = 0;
    std::vector<double> m_ratios;
    Actions m_actions;
};

} // namespace

int main()
{
    std::printf("%-22s %6s %8s %8s %8s\n", "policy", "jobs", "mean", "p50", "p99");
    for (const auto policy :
         {PlacementPolicyKind::SpeedAware, PlacementPolicyKind::LeastOutstanding,
          PlacementPolicyKind::PowerOfTwoChoices, PlacementPolicyKind::RoundRobin,
          PlacementPolicyKind::Random}) {
        std::vector<double> ratios;
        for (const std::uint64_t seed : {1U, 2U, 3U}) {
            const auto jobs = generate(seed);
            const auto more = Fleet{policy, seed, jobs}.run();
            ratios.insert(ratios.end(), more.begin(), more.end());
        }
        std::ranges::sort(ratios);
        double sum = 0;
        for (const double it : ratios) {
            sum += it;
        }
        std::printf("%-22s %6zu %8.3f %8.3f %8.3f\n", std::string{name(policy)}.c_str(),
                    ratios.size(), sum / static_cast<double>(ratios.size()),
                    ratios[ratios.size() / 2], ratios[ratios.size() * 99 / 100]);
    }
}
