#pragma once

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>

#include "contract_checker_test.hpp"
#include "contract_platform_test.hpp"
#include "contract_schedule_test.hpp"
#include "rattandock/core/dispatcher.hpp"

namespace rattandock::core::test {

/// Number of occurrences of each fault and note over all schedules of a test run.
using FaultCounts = std::map<std::string, std::uint64_t>;

/// Single-threaded in-memory simulation of three VMs with their callers, upstreams, network and
/// platform. Runs the dispatchers through one schedule and throws `ContractViolation` if the
/// contract is violated.
class ContractWorld
{
public:
    ContractWorld(const Schedule &schedule, const SafetyRules &rules, FaultCounts &counts);

    void run();

private:
    static constexpr std::size_t vmCount = 3;

    /// One run of a daemon. A paused process can be replaced and resumed afterwards.
    struct Process
    {
        int number = 0;
        std::size_t slot = 0;
        Incarnation incarnation;
        std::unique_ptr<Dispatcher> core;
        Duration clockOffset{};
        /// Clock drift in parts per thousand; positive if the clock runs fast.
        int clockDrift = 0;
        bool alive = true;
        bool paused = false;
        bool draining = false;
        /// Events received while paused, in order of arrival.
        std::deque<Event> inbox;
        std::optional<TimePoint> timer;
    };
    struct Job
    {
        JobSpec spec;
        bool keyForm = false;
        TimePoint firstSent;
    };
    struct ScheduledAction
    {
        TimePoint time;
        std::uint64_t order = 0;
        std::function<void()> run;

        bool operator>(const ScheduledAction &other) const
        {
            return std::tie(time, order) > std::tie(other.time, other.order);
        }
    };

    static VmId vmName(std::size_t slot) { return VmId{std::to_string(slot) + "-vm"}; }
    static ZoneId zoneOf(std::size_t slot) { return ZoneId{slot == 2 ? "b" : "a"}; }
    DispatcherOptions optionsOf(std::size_t slot, Incarnation incarnation) const;
    void startProcess(std::size_t slot);
    void terminate(Process &process);
    Process &at(std::size_t slot) { return *m_processes.at(m_current.at(slot)); }
    TimePoint localTime(const Process &process) const;

    void execute(const Step &step);
    void submitNew(const Step &step);
    void sendCopy(const Job &job, std::size_t slot);
    void receive(int process, const Job &job);
    void cutLink(std::size_t a, std::size_t b, bool cut);
    void resume(Process &process);
    void handle(Process &process, const Event &event);
    void post(int process, const Event &event);
    void passTime(Duration span);
    void recoverAndCheckAnswers();

    void perform(Process &process, Action &action);
    /// Terminates a process that completed its planned stop and starts its successor. Throws if a
    /// request is unanswered.
    void completePlannedStop(int number);
    void startTask(Process &process, const StartTask &task);
    void sendToPeer(Process &process, const SendToPeer &message);
    void accessTable(Process &process, const ReadTable &read);
    void accessTable(Process &process, const TransactTable &transaction);
    template <typename Apply>
    void accessTable(int process, const TableOperationId &operation, Apply apply);
    void sendHeartbeats(int process);

    void scheduleAfter(Duration delay, std::function<void()> run);
    Duration delay(int lowMs, int highMs);
    bool chance(int percent);
    void count(const std::string &fault) { ++m_counts[fault]; }

    const Schedule &m_schedule;
    SafetyRules m_rules;
    FaultCounts &m_counts;
    ContractChecker m_checker;
    FakeTable m_table;
    std::mt19937_64 m_random;
    TimePoint m_now{};
    std::uint64_t m_order = 0;
    std::priority_queue<ScheduledAction, std::vector<ScheduledAction>, std::greater<>>
            m_scheduledActions;
    std::vector<std::unique_ptr<Process>> m_processes;
    std::array<std::size_t, vmCount> m_current{};
    std::array<std::array<bool, vmCount>, vmCount> m_cut{};
    std::vector<Job> m_jobs;
    std::vector<std::pair<int, CallerRequestId>> m_deliveredRequests;
    std::map<std::pair<int, AttemptId>, bool> m_running;
    std::uint64_t m_nextRequest = 1;
    std::array<bool, vmCount> m_platformUnreachable{};
    int m_messageLoss = 0;
    int m_replyLoss = 0;
    int m_upstreamFaults = 0;
};

} // namespace rattandock::core::test
