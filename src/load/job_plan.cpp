#include "load/job_plan.hpp"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <cmath>
#include <functional>
#include <queue>
#include <random>

#include "rattandock/adapters/http_message.hpp"

namespace rattandock::load {

namespace json = boost::json;

namespace {

class Planner
{
public:
    explicit Planner(const Scenario &scenario)
        : m_scenario(scenario)
        , m_random(scenario.seed)
    {
    }

    std::vector<PlannedJob> plan()
    {
        std::vector<Duration> times = arrivals();
        std::ranges::sort(times);
        std::vector<PlannedJob> jobs;
        for (const Duration at : times) {
            jobs.push_back(job(at, jobs.size()));
        }
        return jobs;
    }

private:
    double uniform() { return static_cast<double>(m_random() >> 11U) * 0x1.0p-53; }

    double draw(const Range &range)
    {
        return range.min * std::pow(range.max / range.min, uniform());
    }

    std::vector<Duration> arrivals()
    {
        constexpr double second = 1e6;
        std::vector<Duration> times;
        const auto end = static_cast<double>(m_scenario.length.count());
        if (m_scenario.jobsPerSecond > 0.0) {
            double at = 0.0;
            while (true) {
                at -= std::log(1.0 - uniform()) * second / m_scenario.jobsPerSecond;
                if (at >= end) {
                    break;
                }
                times.emplace_back(static_cast<std::int64_t>(at));
            }
        }
        if (m_scenario.burstEvery > Duration::zero()) {
            for (Duration at = m_scenario.burstEvery; at < m_scenario.length;
                 at += m_scenario.burstEvery) {
                times.insert(times.end(), m_scenario.burstJobs, at);
            }
        }
        return times;
    }

    PlannedJob job(Duration at, std::size_t index)
    {
        PlannedJob planned;
        planned.at = at;
        planned.key = 'j' + std::to_string(index);
        planned.team = m_scenario.teams[m_random() % m_scenario.teams.size()];
        planned.direct = uniform() < m_scenario.directShare;
        const auto tasks = planned.direct ? 1 : std::llround(draw(m_scenario.tasksPerJob));
        for (long long n = 0; n < tasks; ++n) {
            const bool isLong = uniform() < m_scenario.longShare;
            planned.estimates.emplace_back(
                    std::llround(draw(isLong ? m_scenario.longMs : m_scenario.estimateMs)));
        }
        planned.resubmitted = !planned.direct && uniform() < m_scenario.resubmitShare;
        return planned;
    }

    const Scenario &m_scenario;
    std::mt19937_64 m_random;
};

} // namespace

std::vector<PlannedJob> planJobs(const Scenario &scenario)
{
    return Planner{scenario}.plan();
}

std::string payloadOf(const PlannedJob &job, std::size_t task)
{
    return job.key + '/' + std::to_string(task);
}

std::string submissionOf(const PlannedJob &job, const std::string &id, Duration deadline)
{
    json::array tasks;
    for (std::size_t n = 0; n < job.estimates.size(); ++n) {
        tasks.push_back(json::object{{"payload", payloadOf(job, n)},
                                     {"estimateMs", job.estimates[n].count()}});
    }
    return json::serialize(json::object{{"id", id},
                                        {"team", job.team},
                                        {"deadlineMs", toMilliseconds(deadline)},
                                        {"tasks", std::move(tasks)}});
}

std::string taskName(const std::string &id, std::size_t task)
{
    return adapters::percentEncode(id) + '#' + std::to_string(task);
}

Duration idealResponse(const standins::UpstreamStandinSettings &upstreams, const PlannedJob &job,
                       const std::string &id)
{
    std::vector<Duration> tasks;
    for (std::size_t n = 0; n < job.estimates.size(); ++n) {
        tasks.push_back(standins::runTimeOf(upstreams.runTime, taskName(id, n), job.estimates[n]));
    }
    std::ranges::sort(tasks, std::greater{});
    struct Machine
    {
        double slowness;
        /// Times at which its slots are free, soonest first.
        std::priority_queue<Duration, std::vector<Duration>, std::greater<>> free;
    };
    std::vector<Machine> machines;
    for (std::size_t n = 0; n < upstreams.count; ++n) {
        Machine &machine = machines.emplace_back();
        machine.slowness = standins::slownessOf(upstreams.runTime, n, upstreams.count);
        for (std::size_t slot = 0; slot < upstreams.slots; ++slot) {
            machine.free.push(Duration::zero());
        }
    }
    Duration last{};
    for (const Duration task : tasks) {
        const auto endOn = [task](const Machine &it) {
            return it.free.top() + std::chrono::duration_cast<Duration>(task * it.slowness);
        };
        Machine &best = *std::ranges::min_element(machines, {}, endOn);
        const Duration end = endOn(best);
        best.free.pop();
        best.free.push(end);
        last = std::max(last, end);
    }
    return last;
}

} // namespace rattandock::load
