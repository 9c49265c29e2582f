// Replays the return of an evacuated zone under load on a FleetDispatcher that keeps the upstreams
// of two zones. Runs that are started in the zone within 3 s of its return take four times as long.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <random>

#include "rattandock/fleet/fleet_dispatcher.hpp"

using namespace rattandock;
using namespace rattandock::fleet;
using namespace std::chrono_literals;

namespace {

/// Information of the dispatcher on the upstreams that return.
enum class Knowledge : std::uint8_t {
    /// Nothing, as before this change: their processes are replaced, which drops their records, and
    /// their entries do not state that they are cold.
    None,
    /// That they stood idle in an evacuated zone.
    Idle,
    /// That they are cold, from their entries. Their processes were replaced, so nothing is
    /// limited.
    Cold,
};

struct Result
{
    std::size_t jobs = 0;
    std::size_t completed = 0;
    std::size_t missed = 0;
    std::size_t refused = 0;

    void add(const Result &other)
    {
        jobs += other.jobs;
        completed += other.completed;
        missed += other.missed;
        refused += other.refused;
    }
};

struct QueueLoad
{
    std::string name;
    double share;
    double tasks;
    double seconds;
    std::uint32_t priority;
};

/// The queues of the first deployment in section 2 of docs/evacuation-and-overload.md; jobs per
/// second on 350 upstreams.
const std::vector<QueueLoad> queueLoads{
        {"q1", 181, 8, 0.051, 0}, {"q2", 33, 4, 0.760, 2}, {"q3", 529, 2, 0.170, 1}};

class ZoneReturn
{
public:
    /// `load`: mean work of the arriving jobs, as a share of the capacity of both zones.
    ZoneReturn(std::uint64_t seed, double load, Knowledge knowledge)
        : m_random(seed)
        , m_load(load)
        , m_knowledge(knowledge)
    {
    }

    Result run()
    {
        send(MembersRead{std::vector{MemberRow{m_self, Incarnation{7}, m_zone, "127.0.0.1:1"}}});
        send(EvacuationsRead{1, {}, m_now});
        UpstreamListRead list{{}, {}, true};
        KeepersRead keepers{{}, true};
        for (std::size_t n = 0; n < upstreamCount; ++n) {
            const ZoneId &zone = n < returningCount ? m_returning : m_zone;
            const UpstreamId id{zone.value() + std::to_string(n)};
            list.present.push_back({id,
                                    m_service,
                                    zone,
                                    "127.0.0.1:3",
                                    false,
                                    {MilliCores{32'000}, Megabytes{131'072}, Accelerators{0}},
                                    {"kind"}});
            keepers.rows.push_back(KeeperRow{id, zone, m_self, Incarnation{7}, 1, 1});
            m_upstreams[id].zone = zone;
        }
        send(list);
        send(keepers);
        const TimePoint start = m_now + 1s;
        passUntil(start);
        m_nextArrival = start;
        passUntil(start + 8s);
        send(EvacuationsRead{2, {m_returning}, m_now});
        passUntil(start + 12s);
        for (auto &[id, it] : m_upstreams) {
            BOOST_REQUIRE((it.zone != m_returning || it.runs.empty()));
            it.process += it.zone == m_returning && m_knowledge != Knowledge::Idle ? 1U : 0U;
        }
        passUntil(start + 13s);
        m_returnedAt = m_now;
        returnZone();
        passUntil(start + 18s);
        m_nextArrival = TimePoint::max();
        passUntil(start + 20s);
        return m_result;
    }

private:
    static constexpr std::size_t upstreamCount = 36;
    static constexpr std::size_t returningCount = 12;
    static constexpr Duration slowTime = 3s;
    static constexpr double slowFactor = 4;

    struct Run
    {
        RunName name;
        RunNumber number;
        TimePoint endsAt;
    };
    struct Upstream
    {
        ZoneId zone;
        std::optional<PollNumber> poll;
        TimePoint polledAt;
        std::uint64_t process = 1;
        std::uint64_t lastEnd = 0;
        std::vector<Run> runs;
        std::vector<EndedRun> ended;
    };
    struct JobTimes
    {
        bool isCounted = false;
        std::vector<Duration> tasks;
    };

    double drawNormal() { return std::normal_distribution<double>{}(m_random); }
    static Duration seconds(double value)
    {
        return Duration{static_cast<Duration::rep>(1e6 * value)};
    }

    void returnZone()
    {
        UpstreamListRead read{{}, {}, false, m_now};
        for (auto &[id, it] : m_upstreams) {
            if (it.zone != m_returning) {
                continue;
            }
            if (m_knowledge == Knowledge::Cold) {
                read.cold.push_back({id, m_now + slowTime});
            }
        }
        send(read);
        send(EvacuationsRead{3, {}, m_now});
    }

    void submit()
    {
        double total = 0;
        for (const QueueLoad &it : queueLoads) {
            total += it.share;
        }
        double draw = std::uniform_real_distribution<double>{0, total}(m_random);
        std::size_t n = 0;
        while (n + 1 < queueLoads.size() && draw >= queueLoads[n].share) {
            draw -= queueLoads[n++].share;
        }
        const QueueLoad &queue = queueLoads[n];
        const double runTime = queue.seconds * std::exp(0.4 * drawNormal() - 0.08);
        const double estimate = runTime * std::exp(0.4 * drawNormal() - 0.08);
        const double width = queue.tasks * std::exp(0.4 * drawNormal() - 0.08);
        FleetJob job;
        job.id = JobId{"job-" + std::to_string(++m_lastJob)};
        job.queue = QueueId{queue.name};
        job.service = m_service;
        job.taskCount = static_cast<std::uint32_t>(std::clamp(width + 0.5, 1.0, 4 * queue.tasks));
        const double cores = std::clamp(16 * std::exp(0.2 * drawNormal()), 4.0, 24.0);
        job.need = {MilliCores{static_cast<std::uint32_t>(1000 * cores)}, Megabytes{64},
                    Accelerators{0}};
        job.estimate = seconds(estimate);
        job.deadline = 1500ms;
        job.objective = seconds(1.6 * estimate + 0.06);
        job.stretch = 1.6;
        job.maxAttempts = 3;
        job.priority = queue.priority;
        JobTimes &times = m_jobs[job.id.value()];
        times.isCounted = m_returnedAt && m_now < *m_returnedAt + slowTime + 1s;
        for (std::uint32_t task = 0; task < job.taskCount; ++task) {
            times.tasks.push_back(seconds(runTime * std::exp(0.15 * drawNormal())));
        }
        m_result.jobs += times.isCounted ? 1U : 0U;
        send(JobSubmitted{CallerRequestId{m_lastJob}, job});
    }

    void scheduleArrival()
    {
        double work = 0;
        double jobs = 0;
        for (const QueueLoad &it : queueLoads) {
            work += it.share * it.tasks * 16 * it.seconds;
            jobs += it.share;
        }
        const double perSecond = m_load * upstreamCount * 32 / (work / jobs);
        m_nextArrival += seconds(std::exponential_distribution<double>{perSecond}(m_random));
    }

    void send(const FleetEvent &event)
    {
        FleetActions actions;
        m_dispatcher.handle(event, m_now, actions);
        std::vector<StartOrder> starts;
        for (FleetAction &action : actions) {
            if (const auto *const poll = std::get_if<PollOrder>(&action)) {
                Upstream &it = m_upstreams.at(poll->upstream);
                it.poll = poll->number;
                it.polledAt = m_now;
            } else if (const auto *const start = std::get_if<StartOrder>(&action)) {
                starts.push_back(*start);
            } else if (const auto *const stop = std::get_if<StopOrder>(&action)) {
                for (Run &it : m_upstreams.at(stop->upstream).runs) {
                    if (it.name == stop->name && it.number == stop->number) {
                        it.endsAt = TimePoint::min();
                    }
                }
            } else if (const auto *const answer = std::get_if<AnswerJob>(&action)) {
                count(*answer);
            }
        }
        for (const StartOrder &it : starts) {
            startRun(it);
        }
    }

    void count(const AnswerJob &answer)
    {
        if (!m_jobs.at(answer.job.value()).isCounted) {
            return;
        }
        if (std::holds_alternative<JobCompleted>(answer.end)) {
            ++m_result.completed;
        } else if (std::holds_alternative<JobTurnedAway>(answer.end)) {
            ++m_result.refused;
        } else {
            ++m_result.missed;
        }
    }

    void startRun(const StartOrder &order)
    {
        Upstream &upstream = m_upstreams.at(order.upstream);
        const JobTimes &job = m_jobs.at(order.name.job);
        const bool isSlow =
                upstream.zone == m_returning && m_returnedAt && m_now < *m_returnedAt + slowTime;
        const auto time = static_cast<double>(job.tasks.at(order.name.task).count()) / 1e6;
        upstream.runs.push_back(
                {order.name, order.number, m_now + seconds(time * (isSlow ? slowFactor : 1))});
        send(StartOrderCompleted{order.upstream, order.name, order.number, OrderResult::Done,
                                 std::nullopt});
    }

    void answerPolls()
    {
        for (auto &entry : m_upstreams) {
            Upstream &it = entry.second;
            std::erase_if(it.runs, [&](const Run &run) {
                if (run.endsAt > m_now) {
                    return false;
                }
                const bool isStopped = run.endsAt == TimePoint::min();
                it.ended.push_back({EndNumber{++it.lastEnd}, run.name, run.number,
                                    isStopped ? RunEndKind::Stopped : RunEndKind::Done});
                return true;
            });
            if (!it.poll || (it.ended.empty() && m_now < it.polledAt + 100ms)) {
                continue;
            }
            RunReport report;
            report.clock = UpstreamTime{m_now.time_since_epoch()};
            report.processStart = UpstreamProcessStart{it.process};
            for (const Run &run : it.runs) {
                report.active.push_back({run.name, run.number});
            }
            report.ended = std::exchange(it.ended, {});
            const PollNumber number = *std::exchange(it.poll, std::nullopt);
            send(RunReportReceived{entry.first, number, report});
        }
    }

    void passUntil(TimePoint end)
    {
        while (m_now < end) {
            while (m_nextArrival <= m_now) {
                submit();
                scheduleArrival();
            }
            answerPolls();
            if ((m_now.time_since_epoch() % 100ms).count() == 0) {
                send(UpstreamListRead{{}, {}, false, m_now});
            }
            send(TimerDue{});
            m_now += 2ms;
        }
    }

    static FleetOptions options()
    {
        FleetOptions options;
        options.vm = VmId{"a"};
        options.incarnation = Incarnation{7};
        options.zone = ZoneId{"stays"};
        return options;
    }

    std::mt19937_64 m_random;
    double m_load;
    Knowledge m_knowledge;
    VmId m_self{"a"};
    ZoneId m_zone{"stays"};
    ZoneId m_returning{"returns"};
    ServiceId m_service{"s"};
    TimePoint m_now{100s};
    TimePoint m_nextArrival = TimePoint::max();
    std::optional<TimePoint> m_returnedAt;
    FleetDispatcher m_dispatcher{options()};
    std::map<UpstreamId, Upstream> m_upstreams;
    std::map<std::string, JobTimes> m_jobs;
    std::uint64_t m_lastJob = 0;
    Result m_result;
};

Result replay(double load, Knowledge knowledge, const std::string &name)
{
    constexpr std::uint64_t seedCount = 8;
    Result sum;
    for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
        sum.add(ZoneReturn{seed, load, knowledge}.run());
    }
    BOOST_TEST_MESSAGE("load " << load << ", " << name << ": " << sum.jobs << " jobs, completed "
                               << sum.completed << ", missed " << sum.missed << ", refused "
                               << sum.refused);
    return sum;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ZoneReturnReplayTest)

// Guards against jobs that miss their deadlines because the upstreams of a zone get full load at
// once when its evacuation ends, although they are slow for a while.
BOOST_AUTO_TEST_CASE(missesFewerDeadlinesAfterTheReturnOfAZone)
{
    for (const double load : {0.45, 0.6}) {
        const Result former = replay(load, Knowledge::None, "as before");
        const Result idle = replay(load, Knowledge::Idle, "limited");
        const Result cold = replay(load, Knowledge::Cold, "cold by entry");
        BOOST_REQUIRE(former.missed > 0);
        BOOST_TEST(10 * idle.missed <= 8 * former.missed);
        BOOST_TEST(10 * cold.missed <= 8 * former.missed);
        BOOST_TEST(idle.completed > former.completed);
        BOOST_TEST(cold.completed > former.completed);
    }
}

BOOST_AUTO_TEST_SUITE_END()
