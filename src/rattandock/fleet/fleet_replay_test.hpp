#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "fleet_replay_jobs_test.hpp"
#include "rattandock/fleet/fleet_dispatcher.hpp"

namespace rattandock::fleet::fleet_replay {

/// What a VM learns of the free room of other VMs.
enum class PeerState : std::uint8_t {
    /// Their present state, before each of its decisions.
    True,
    /// Their heartbeats.
    Late,
    /// That they exist, but no free room.
    None,
};

struct Options
{
    std::uint64_t seed = 1;
    PeerState peerState = PeerState::Late;
    double perSecond = 743;
    double burst = 1;
    Duration length = 24s;
    Duration deadline = 1500ms;
    /// Share of the upstreams that are gone from the start.
    double lostShare = 0;
    /// Share of the upstreams on which the runs of the seconds 8 to 14 hang.
    double hangingShare = 0;
    /// All upstreams have speed 1 if false.
    bool hasSpeeds = true;
};

/// Served jobs of one queue, and of the tenth of it with the most work.
struct QueueResult
{
    double jobs = 0;
    double completed = 0;
    double largeJobs = 0;
    double largeCompleted = 0;
    /// Sum over the large jobs of the time from the arrival to the last start, in ms.
    double largeLastStart = 0;
    /// Sum over the large jobs of the share of their tasks that started on fast upstreams.
    double largeOnFast = 0;
    /// Jobs that were accepted and then broken off.
    double brokenOff = 0;

    double share() const { return completed / jobs; }
    double largeShare() const { return largeCompleted / largeJobs; }
    void add(const QueueResult &other);
};

struct Result
{
    std::array<QueueResult, queueLoads.size()> queues{};
    double offers = 0;
    double offersInVain = 0;
    double messages = 0;

    void add(const Result &other);
};

/// Replays the arrivals of a fleet of 38 VMs in four zones with 350 upstreams of three speeds on
/// the real dispatchers, in virtual time and without faults but those of the options. The VMs
/// differ in weight, so the small ones keep five upstreams each.
class FleetReplay
{
public:
    explicit FleetReplay(const Options &options);

    Result run();

private:
    struct Vm
    {
        VmId id;
        std::size_t zone = 0;
        double weight = 0;
        std::uint64_t beat = 0;
        std::unique_ptr<FleetDispatcher> dispatcher;
        std::set<std::size_t> links;
        std::optional<TimePoint> timerAt;
    };
    struct Run
    {
        RunName name;
        RunNumber number;
        bool isStopping = false;
    };
    struct Poll
    {
        std::size_t vm = 0;
        PollNumber number;
    };
    struct Upstream
    {
        UpstreamEntry entry;
        double speed = 1;
        bool hangs = false;
        std::vector<Run> runs;
        std::vector<EndedRun> ended;
        std::uint64_t nextEnd = 1;
        std::optional<Poll> poll;
        FencingToken token;
    };
    struct Outcome
    {
        bool isCompleted = false;
        bool isBrokenOff = false;
        TimePoint lastStart;
        std::size_t starts = 0;
        std::size_t fastStarts = 0;
    };

    void addVms();
    void addUpstreams();
    void schedule(Duration delay, std::function<void()> action);
    void post(std::size_t vm, FleetEvent event, Duration delay);
    void handle(std::size_t vm, const FleetEvent &event);
    void armTimer(std::size_t vm);
    void execute(std::size_t vm, FleetActions &actions);
    void sendToVm(std::size_t from, const SendToVm &message);
    void start(std::size_t vm, const StartOrder &order);
    void stop(std::size_t vm, const StopOrder &order);
    void poll(std::size_t vm, const PollOrder &order);
    void endRun(std::size_t upstream, const RunName &name, RunNumber number, RunEndKind kind);
    void answerPoll(std::size_t upstream);
    void writeKeepers(std::size_t vm, const WriteKeepers &order);
    void sendHeartbeat(std::size_t vm, const std::vector<VmId> &vms);
    void heartbeat(std::size_t vm);
    void readStore(std::size_t vm);
    CapacityReport reportOf(std::size_t vm) const;
    void deliverTrueState(std::size_t vm);
    bool isHanging(const Upstream &upstream) const;
    Result result() const;

    /// One-way delay within a zone and between zones, with the handling of a message.
    Duration delayBetween(std::size_t zone, std::size_t other) const
    {
        return zone == other ? 500us : 1200us;
    }

    Options m_options;
    std::mt19937_64 m_random;
    TimePoint m_now{100s};
    TimePoint m_start;
    std::multimap<TimePoint, std::function<void()>> m_queue;
    std::vector<Vm> m_vms;
    std::map<VmId, std::size_t> m_vmById;
    std::vector<Upstream> m_upstreams;
    std::unordered_map<UpstreamId, std::size_t> m_upstreamById;
    std::map<VmId, MemberRow> m_memberRows;
    std::map<UpstreamId, KeeperRow> m_keeperRows;
    std::uint64_t m_storeVersion = 1;
    std::vector<JobTimes> m_jobs;
    std::unordered_map<std::string, std::size_t> m_jobById;
    std::vector<Outcome> m_outcomes;
    /// VM of each caller, by zone.
    std::vector<std::vector<std::size_t>> m_vmOfCaller;
    Result m_result;
};

} // namespace rattandock::fleet::fleet_replay
