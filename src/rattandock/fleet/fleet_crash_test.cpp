// Tests of a FleetDispatcher with tasks under which upstreams crash.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>

#include "rattandock/fleet/fleet_dispatcher.hpp"

using namespace rattandock;
using namespace rattandock::fleet;
using namespace std::chrono_literals;

namespace {

/// A dispatcher that keeps three upstreams with room for two tasks each. Task 0 of the job "deadly"
/// crashes each upstream that starts it, which is back as a new process after `outage`; other tasks
/// take 200 ms.
struct Fixture
{
    Fixture()
    {
        send(MembersRead{std::vector{MemberRow{self, Incarnation{7}, zone, "127.0.0.1:1"}}});
        std::vector<UpstreamEntry> entries;
        std::vector<KeeperRow> rows;
        for (const char *const id : {"u1", "u2", "u3"}) {
            entries.push_back(entry(id));
            rows.push_back({UpstreamId{id}, zone, self, Incarnation{7}, 1, rows.size() + 1});
            upstreams[UpstreamId{id}];
        }
        send(UpstreamListRead{entries, {}, true});
        send(KeepersRead{rows, true});
        pass(3s);
    }

    struct Upstream
    {
        bool isUp = true;
        TimePoint downUntil{};
        std::uint64_t process = 1;
        /// Refuses connections while its runs continue.
        bool isCutOff = false;
        std::optional<PollNumber> pending;
        /// Active runs, and when they end.
        std::vector<std::pair<ActiveRun, TimePoint>> active;
        std::uint64_t lastEnd = 0;
        std::vector<StartOrder> starts{};
    };

    static FleetOptions options()
    {
        FleetOptions options;
        options.vm = VmId{"a"};
        options.incarnation = Incarnation{7};
        options.zone = ZoneId{"z"};
        return options;
    }
    static UpstreamEntry entry(const std::string &id)
    {
        return {UpstreamId{id}, ServiceId{"s"},
                ZoneId{"z"},    "127.0.0.1:2",
                false,          {MilliCores{64'000}, Megabytes{131'072}, Accelerators{0}},
                {"kind"}};
    }
    void submit(std::uint64_t request, const std::string &id, std::uint32_t tasks,
                Duration deadline = 1500ms)
    {
        FleetJob job;
        job.id = JobId{id};
        job.queue = QueueId{"q"};
        job.service = ServiceId{"s"};
        job.taskCount = tasks;
        job.need = {MilliCores{27'000}, Megabytes{64}, Accelerators{0}};
        job.estimate = 200ms;
        job.deadline = deadline;
        job.objective = 1400ms;
        job.maxAttempts = 3;
        send(JobSubmitted{CallerRequestId{request}, job});
    }
    void send(const FleetEvent &event)
    {
        FleetActions actions;
        dispatcher.handle(event, now, actions);
        for (const FleetAction &it : actions) {
            if (const auto *const poll = std::get_if<PollOrder>(&it)) {
                upstreams.at(poll->upstream).pending = poll->number;
            } else if (const auto *const start = std::get_if<StartOrder>(&it)) {
                orders.push_back(*start);
            } else if (const auto *const answer = std::get_if<AnswerJob>(&it)) {
                answers[answer->request] = answer->end;
            }
        }
    }
    void executeStarts()
    {
        for (const StartOrder &it : std::exchange(orders, {})) {
            Upstream &upstream = upstreams.at(it.upstream);
            if (!upstream.isUp || upstream.isCutOff) {
                send(StartOrderCompleted{it.upstream, it.name, it.number,
                                         OrderResult::ConnectionRefused, std::nullopt});
                continue;
            }
            upstream.starts.push_back(it);
            upstream.active.emplace_back(ActiveRun{it.name, it.number}, now + 200ms);
            send(StartOrderCompleted{it.upstream, it.name, it.number, OrderResult::Done,
                                     std::nullopt});
            if (it.name.job == "deadly" && it.name.task == 0) {
                upstream.isUp = false;
                upstream.downUntil = now + outage;
                upstream.active.clear();
                ++crashes;
            }
        }
    }
    void answerPolls()
    {
        for (auto &known : upstreams) {
            const UpstreamId &id = known.first;
            Upstream &upstream = known.second;
            if (!upstream.pending) {
                continue;
            }
            const PollNumber number = *std::exchange(upstream.pending, std::nullopt);
            if (!upstream.isUp || upstream.isCutOff) {
                send(RunReportFailed{id, number, OrderResult::ConnectionRefused});
                continue;
            }
            RunReport report;
            report.clock = UpstreamTime{now.time_since_epoch()};
            report.processStart = UpstreamProcessStart{upstream.process};
            std::erase_if(upstream.active, [&](const auto &it) {
                if (it.second > now) {
                    report.active.push_back(it.first);
                    return false;
                }
                report.ended.push_back({EndNumber{++upstream.lastEnd}, it.first.name,
                                        it.first.number, RunEndKind::Done});
                return true;
            });
            send(RunReportReceived{id, number, report});
        }
    }
    void restartUpstreams()
    {
        for (auto &[id, upstream] : upstreams) {
            if (!upstream.isUp && now >= upstream.downUntil) {
                upstream.isUp = true;
                ++upstream.process;
                upstream.lastEnd = 0;
            }
        }
    }
    void pass(Duration time)
    {
        for (const TimePoint end = now + time; now < end; now += 5ms) {
            restartUpstreams();
            executeStarts();
            answerPolls();
            send(UpstreamListRead{{}, {}, false, now});
            send(TimerDue{});
        }
    }
    std::size_t startsOf(const std::string &job, std::uint32_t task) const
    {
        std::size_t count = 0;
        for (const auto &[id, upstream] : upstreams) {
            count += static_cast<std::size_t>(
                    std::ranges::count_if(upstream.starts, [&](const StartOrder &it) {
                        return it.name.job == job && it.name.task == task;
                    }));
        }
        return count;
    }
    const JobFailed *failureOf(std::uint64_t request) const
    {
        const auto answer = answers.find(CallerRequestId{request});
        return answer == answers.end() ? nullptr : std::get_if<JobFailed>(&answer->second);
    }

    const VmId self{"a"};
    const ZoneId zone{"z"};
    TimePoint now{100s};
    Duration outage = 150ms;
    std::size_t crashes = 0;
    std::map<UpstreamId, Upstream> upstreams;
    std::vector<StartOrder> orders;
    std::map<CallerRequestId, JobEnd> answers;
    FleetDispatcher dispatcher{options()};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(FleetCrashTest, Fixture)

// Guards against a task that crashes one upstream after the other until its caller's deadline.
BOOST_AUTO_TEST_CASE(givesUpATaskAfterTwoCrashes)
{
    submit(1, "deadly", 1);
    pass(500ms);
    BOOST_TEST(startsOf("deadly", 0) == 2);
    BOOST_TEST(crashes == 2);
    const JobFailed *const failure = failureOf(1);
    BOOST_REQUIRE(failure != nullptr);
    BOOST_TEST((failure->reason == FailureReason::UpstreamCrashes));
}

// Guards against the same if an upstream is back only after the lease of the run has expired, when
// the task has been started elsewhere.
BOOST_AUTO_TEST_CASE(countsCrashesThatAreReportedAfterTheLease)
{
    outage = 700ms;
    submit(1, "deadly", 1, 5000ms);
    pass(600ms);
    outage = 150ms;
    pass(4s);
    // The first upstream reports its crash during the third run.
    BOOST_TEST(crashes == 3);
    const JobFailed *const failure = failureOf(1);
    BOOST_REQUIRE(failure != nullptr);
    BOOST_TEST((failure->reason == FailureReason::UpstreamCrashes));
}

// Guards against a job that is answered as failed, and tasks that run twice, because upstreams that
// are cut off refuse connections.
BOOST_AUTO_TEST_CASE(takesNoRefusedConnectionForACrash)
{
    submit(1, "healthy", 1);
    executeStarts();
    Upstream *const first = &std::ranges::find_if(upstreams, [](const auto &it) {
                                 return !it.second.active.empty();
                             })->second;
    first->isCutOff = true;
    pass(500ms);
    BOOST_TEST(startsOf("healthy", 0) == 1);
    while (startsOf("healthy", 0) < 2 && now < TimePoint{105s}) {
        pass(5ms);
    }
    for (auto &[id, upstream] : upstreams) {
        upstream.isCutOff = true;
    }
    pass(1200ms);
    BOOST_TEST(startsOf("healthy", 0) == 2);
    BOOST_TEST(answers.contains(CallerRequestId{1}));
    BOOST_TEST(failureOf(1) == nullptr);
}

// Guards against failing a healthy task because it ran on an upstream that another one crashed.
BOOST_AUTO_TEST_CASE(completesHealthyTasksOfCrashedUpstreams)
{
    submit(1, "healthy", 2);
    pass(50ms);
    submit(2, "deadly", 1);
    submit(3, "other", 1);
    pass(1000ms);
    BOOST_REQUIRE(answers.contains(CallerRequestId{1}));
    BOOST_TEST(std::holds_alternative<JobCompleted>(answers.at(CallerRequestId{1})));
    BOOST_REQUIRE(answers.contains(CallerRequestId{3}));
    BOOST_TEST(std::holds_alternative<JobCompleted>(answers.at(CallerRequestId{3})));
    BOOST_TEST(std::holds_alternative<JobFailed>(answers.at(CallerRequestId{2})));
}

// Guards against a suspected task that takes other tasks down with the next upstream.
BOOST_AUTO_TEST_CASE(startsNothingBesideASuspectedTask)
{
    submit(1, "deadly", 1);
    executeStarts();
    // The crash is detected while nothing else waits.
    while (orders.empty() && now < TimePoint{104s}) {
        answerPolls();
        send(TimerDue{});
        now += 5ms;
    }
    BOOST_REQUIRE(orders.size() == 1);
    const UpstreamId second = orders[0].upstream;
    submit(2, "healthy", 4);
    BOOST_TEST(std::ranges::count(orders, second, &StartOrder::upstream) == 1);
    BOOST_TEST(orders.size() == 3);
}

BOOST_AUTO_TEST_SUITE_END()
