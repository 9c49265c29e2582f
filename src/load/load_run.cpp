#include "load/load_run.hpp"

#include <boost/fiber/operations.hpp>
#include <boost/json/parse.hpp>
#include <future>
#include <random>

namespace rattandock::load {

namespace json = boost::json;
using adapters::HttpHeaders;
using Clock = std::chrono::steady_clock;

namespace {

/// Added to a job's deadline before its answer is given up.
constexpr std::chrono::seconds answerMargin{5};
constexpr std::chrono::seconds controlTimeout{2};
constexpr std::chrono::seconds tokenWait{10};
constexpr std::chrono::milliseconds poll{5};

Duration since(Clock::time_point begin)
{
    return std::chrono::duration_cast<Duration>(Clock::now() - begin);
}

/// One run; all members are used by the fibers of one I/O thread.
class Run
{
public:
    Run(const Scenario &scenario, boost::asio::io_context &io)
        : m_scenario(scenario)
        , m_client(io)
        , m_random(scenario.seed)
        , m_tokens(scenario.entries.size())
    {
        m_result.plan = planJobs(scenario);
        m_result.jobs.resize(m_result.plan.size());
    }

    LoadResult run()
    {
        for (std::size_t n = 0; n < m_tokens.size(); ++n) {
            fetchToken(n);
        }
        for (std::size_t n = 0; n < m_scenario.idleConnections; ++n) {
            m_result.idleConnections +=
                    m_client.hold(m_scenario.entries[n % m_scenario.entries.size()]) ? 1 : 0;
        }
        const UpstreamCounts before = countUpstreams();
        m_begin = Clock::now();
        for (const CancelWave &it : m_scenario.cancelWaves) {
            start([this, &it] { cancelSome(it); });
        }
        for (const ScriptedFault &it : m_scenario.faults) {
            start([this, &it] { injectFault(it); });
        }
        for (std::size_t n = 0; n < m_result.plan.size(); ++n) {
            waitUntil(m_result.plan[n].at);
            start([this, n] { runJob(n); });
        }
        waitForAll();
        m_result.elapsed = since(m_begin);
        if (m_scenario.resubmitAll) {
            resubmitAll();
        }
        const UpstreamCounts after = countUpstreams();
        m_result.upstreams = {after.started - before.started, after.refused - before.refused};
        m_client.closeAll();
        return std::move(m_result);
    }

private:
    void start(std::function<void()> function)
    {
        ++m_running;
        adapters::spawnFiber([this, function = std::move(function)] {
            function();
            --m_running;
        });
    }

    void waitUntil(Duration at)
    {
        if (const auto time = m_begin + at; time > Clock::now()) {
            boost::this_fiber::sleep_until(time);
        }
    }

    void waitForAll()
    {
        while (m_running > 0) {
            boost::this_fiber::sleep_for(poll);
        }
    }

    bool fetchToken(std::size_t entry)
    {
        const auto end = Clock::now() + tokenWait;
        while (Clock::now() < end) {
            const Exchange reply = m_client.send(m_scenario.entries[entry], "POST", "/v1/tokens",
                                                 "", {}, controlTimeout);
            keepToken(entry, reply);
            if (reply.status == 200) {
                return true;
            }
            boost::this_fiber::sleep_for(poll * 10);
        }
        return false;
    }

    void keepToken(std::size_t entry, const Exchange &reply)
    {
        for (const auto &[name, value] : reply.headers) {
            if (name == "Rattandock-Home-Token") {
                m_tokens[entry] = value;
            }
        }
    }

    void runJob(std::size_t index)
    {
        const PlannedJob &job = m_result.plan[index];
        JobRecord &record = m_result.jobs[index];
        const std::size_t entry = index % m_scenario.entries.size();
        record.id = m_tokens[entry] + '/' + job.key;
        record.plan = index;
        record.tasks = job.estimates.size();
        record.direct = job.direct;
        if (job.direct) {
            runDirect(index);
        } else {
            if (job.resubmitted) {
                start([this, index, entry] {
                    boost::this_fiber::sleep_for(m_scenario.resubmitAfter);
                    if (m_result.jobs[index].outcome.empty()) {
                        submit(index, (entry + 1) % m_scenario.entries.size(), "resubmission");
                    }
                });
            }
            submit(index, entry, "submission");
        }
        record.response = since(m_begin) - job.at;
    }

    void submit(std::size_t index, std::size_t entry, const std::string &kind)
    {
        const PlannedJob &job = m_result.plan[index];
        JobRecord &record = m_result.jobs[index];
        delay();
        ++m_result.callerMessages[kind];
        ++record.submissions;
        const Exchange reply = m_client.send(m_scenario.entries[entry], "POST", "/v1/jobs",
                                             submissionOf(job, record.id, m_scenario.deadline), {},
                                             m_scenario.deadline + answerMargin);
        delay();
        keepToken(entry, reply);
        judgeAnswer(job, reply, record);
    }

    void delay()
    {
        if (m_scenario.callerDelay > Duration::zero()) {
            boost::this_fiber::sleep_for(m_scenario.callerDelay);
        }
    }

    /// Sends the job's one task to an upstream as a daemon would.
    void runDirect(std::size_t index)
    {
        const PlannedJob &job = m_result.plan[index];
        JobRecord &record = m_result.jobs[index];
        const Exchange reply = m_client.send(
                upstreamAddress(index % m_scenario.upstreams.count), "POST", "/tasks",
                payloadOf(job, 0),
                {{"Rattandock-Task", taskName(record.id, 0)},
                 {"Rattandock-Attempt", std::to_string(index)},
                 {"Rattandock-Estimate-Ms", std::to_string(job.estimates.front().count())}},
                m_scenario.deadline);
        const bool done = reply.status == 200 && reply.body == "done:" + payloadOf(job, 0);
        record.outcome = done ? "complete" : "error";
        record.reason = done ? "" : std::to_string(reply.status);
    }

    tcp::endpoint upstreamAddress(std::size_t index) const
    {
        const auto port = static_cast<std::uint16_t>(m_scenario.upstreams.firstPort + index);
        return {m_scenario.upstreams.address, port};
    }

    void cancelSome(const CancelWave &wave)
    {
        waitUntil(wave.at);
        for (std::size_t n = 0; n < m_result.jobs.size(); ++n) {
            JobRecord &record = m_result.jobs[n];
            const double draw = static_cast<double>(m_random() >> 11U) * 0x1.0p-53;
            if (record.id.empty() || record.direct || !record.outcome.empty()
                || draw >= wave.share) {
                continue;
            }
            record.cancelled = true;
            ++m_result.callerMessages["cancellation"];
            start([this, n] {
                m_client.send(m_scenario.entries[n % m_scenario.entries.size()], "DELETE",
                              "/v1/jobs/" + adapters::percentEncode(m_result.jobs[n].id), "", {},
                              controlTimeout);
            });
        }
    }

    void injectFault(const ScriptedFault &fault)
    {
        waitUntil(fault.at);
        for (std::size_t n = 0; n < fault.count; ++n) {
            const Exchange reply = m_client.send(upstreamAddress(fault.firstUpstream + n), "POST",
                                                 "/faults", fault.body, {}, controlTimeout);
            m_result.failedFaults += reply.status == 200 ? 0 : 1;
        }
    }

    void resubmitAll()
    {
        for (std::size_t n = 0; n < m_tokens.size(); ++n) {
            fetchToken(n);
        }
        for (std::size_t n = 0; n < m_result.jobs.size(); ++n) {
            if (!m_result.jobs[n].direct) {
                start([this, n] { submit(n, n % m_scenario.entries.size(), "resubmission"); });
            }
        }
        waitForAll();
    }

    UpstreamCounts countUpstreams()
    {
        UpstreamCounts counts;
        for (std::size_t n = 0; n < m_scenario.upstreams.count; ++n) {
            const Exchange reply =
                    m_client.send(upstreamAddress(n), "GET", "/faults", "", {}, controlTimeout);
            json::error_code ec;
            const json::value value = json::parse(reply.body, ec);
            if (ec || !value.is_object()) {
                continue;
            }
            counts.started += value.at("started").to_number<std::uint64_t>();
            counts.refused += value.at("refused").to_number<std::uint64_t>();
        }
        return counts;
    }

    const Scenario &m_scenario;
    HttpClient m_client;
    std::mt19937_64 m_random;
    /// The newest token of each entry.
    std::vector<std::string> m_tokens;
    Clock::time_point m_begin;
    std::size_t m_running = 0;
    LoadResult m_result;
};

} // namespace

LoadResult runLoad(const Scenario &scenario, adapters::IoThreads &threads)
{
    std::promise<LoadResult> done;
    threads.spawn(0, [&] {
        Run run{scenario, threads.io(0)};
        done.set_value(run.run());
    });
    return done.get_future().get();
}

} // namespace rattandock::load
