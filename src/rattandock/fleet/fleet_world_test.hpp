#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "rattandock/fleet/fleet_dispatcher.hpp"

namespace rattandock::fleet::test {

inline constexpr std::size_t vmCount = 3;
inline constexpr std::size_t upstreamCount = 6;
inline constexpr Duration tick = std::chrono::milliseconds{10};
inline constexpr Duration travel = std::chrono::microseconds{500};
inline constexpr Duration orderTimeout = std::chrono::milliseconds{250};
inline constexpr Duration linkSilence = std::chrono::milliseconds{600};
inline constexpr Duration resendAfter = std::chrono::milliseconds{1300};
inline constexpr Duration leaseMaximum = std::chrono::milliseconds{1000};
/// What a stop takes at most.
inline constexpr Duration stopTime = std::chrono::milliseconds{50};

/// Shares of orders and spans of faults; a schedule is drawn from them by its seed.
struct WorldFaults
{
    /// Orders without an answer: not carried out, carried out, or carried out 2 to 12 s later.
    double lost = 0;
    double answerLost = 0;
    double late = 0;
    /// Chances per second of simulated time.
    double kill = 0;
    double freeze = 0;
    double upstreamCrash = 0;
    double upstreamCut = 0;
    double linkCut = 0;
    double storeDown = 0;
    /// Share of callers that leave before their deadline.
    double callerLeaves = 0;
    /// Mean time between jobs; below 100 ms more arrives than fits.
    Duration arrivalInterval = std::chrono::milliseconds{150};
    /// Share of runs that fail.
    double failures = 0.002;
    /// Share of runs that never end.
    double hangs = 0;
};

/// A fleet of three VMs and a few upstreams in virtual time, with a store, callers that resubmit,
/// and faults. It keeps a list of every broken promise.
class FleetWorld
{
public:
    FleetWorld(std::uint64_t seed, const WorldFaults &faults);

    void run(Duration length);
    /// Called with one line for each order, end, decision and fault; slow, for tracing a seed.
    void trace(std::function<void(const std::string &)> sink) { m_trace = std::move(sink); }

    const std::vector<std::string> &breaches() const { return m_breaches; }
    std::size_t submitted() const { return m_submitted; }
    std::size_t completed() const { return m_completed; }
    std::size_t turnedAway() const { return m_turnedAway; }
    std::size_t brokenOff() const { return m_brokenOff; }
    std::size_t starts() const { return m_starts; }
    std::size_t faultsInjected() const { return m_faultsInjected; }

private:
    struct Vm
    {
        VmId id;
        ZoneId zone;
        Incarnation incarnation;
        std::unique_ptr<FleetDispatcher> dispatcher;
        std::uint64_t beat = 0;
        /// Grows with each start, so that events of a former process are dropped.
        std::uint64_t process = 0;
        TimePoint frozenUntil;
        TimePoint lastHandled;
        std::vector<FleetEvent> held;
        std::optional<TimePoint> armed;
    };
    struct Active
    {
        Room need;
        TimePoint ends;
        bool fails = false;
    };
    using RunKey = std::pair<RunName, std::uint32_t>;
    struct Waiting
    {
        std::size_t vm = 0;
        std::uint64_t process = 0;
        PollNumber number;
        TimePoint until;
    };
    struct Upstream
    {
        UpstreamEntry entry;
        std::uint64_t life = 1;
        Duration clockOffset{};
        FencingToken fence;
        TimePoint leaseUntil;
        std::map<RunKey, Active> active;
        std::vector<EndedRun> ended;
        std::uint64_t nextEnd = 1;
        std::map<RunName, std::uint32_t> highestEnded;
        std::optional<Waiting> waiting;
        TimePoint darkUntil;
        std::set<std::size_t> cutFrom;
    };
    struct Caller
    {
        FleetJob job;
        TimePoint firstSent;
        std::size_t vm = 0;
        std::uint64_t process = 0;
        CallerRequestId request;
        bool isOpen = false;
        int answers = 0;
        bool everBrokenOff = false;
    };
    enum class Fate { CarriedOut, Lost, AnswerLost, Late };

    void at(TimePoint time, std::function<void()> action);
    double chance();
    Duration between(Duration low, Duration high);
    void breach(const std::string &what);
    template <typename... Parts>
    void note(const Parts &...parts);

    void startVm(std::size_t vm);
    void killVm(std::size_t vm);
    void post(std::size_t vm, std::uint64_t process, FleetEvent event, Duration delay);
    void deliver(std::size_t vm, const FleetEvent &event);
    void handle(std::size_t vm, const FleetEvent &event);
    void arm(std::size_t vm);
    void carryOut(std::size_t vm, FleetActions &actions);
    void beat(std::size_t vm, std::uint64_t process);
    void readStore(std::size_t vm, std::uint64_t process);
    void writeKeepers(std::size_t vm, const WriteKeepers &order);
    void sendPeer(std::size_t from, const SendToVm &message);
    bool linked(std::size_t a, std::size_t b) const;
    void setLink(std::size_t a, std::size_t b, bool up);
    bool storeIsUp() const { return m_now >= m_storeDownUntil; }

    Fate drawFate();
    bool reaches(std::size_t vm, const Upstream &upstream) const;
    Upstream &upstreamOf(const UpstreamId &id);
    UpstreamTime clockOf(const Upstream &upstream) const;
    void order(std::size_t vm, const UpstreamId &id,
               const std::function<OrderResult(Upstream &)> &carryOut,
               const std::function<void(OrderResult, std::optional<UpstreamTime>)> &answer);
    OrderResult startRun(Upstream &upstream, const StartOrder &order);
    OrderResult stopRun(Upstream &upstream, const StopOrder &order);
    void look(std::size_t vm, const PollOrder &order);
    void answerLook(Upstream &upstream);
    void stepUpstream(Upstream &upstream);
    void endRun(Upstream &upstream, const RunKey &key, RunEndKind how);

    void submitNew();
    void submit(std::size_t caller);
    void answered(std::size_t caller, const JobEnd &end);
    void brokenConnection(std::size_t caller);
    void injectFaults();

    struct Scheduled
    {
        std::function<void()> action;
    };

    std::mt19937_64 m_random;
    WorldFaults m_faults;
    TimePoint m_now{std::chrono::seconds{100}};
    std::multimap<TimePoint, Scheduled> m_queue;
    std::vector<Vm> m_vms;
    std::vector<Upstream> m_upstreams;
    std::set<std::pair<std::size_t, std::size_t>> m_cutLinks;
    std::set<std::pair<std::size_t, std::size_t>> m_upLinks;
    std::map<VmId, MemberRow> m_memberRows;
    std::map<UpstreamId, KeeperRow> m_keeperRows;
    std::uint64_t m_storeVersion = 0;
    TimePoint m_storeDownUntil;
    std::vector<Caller> m_callers;
    std::map<std::string, std::size_t> m_callerOfJob;
    std::set<std::string> m_neverRuns;
    std::uint64_t m_nextRequest = 1;
    std::uint64_t m_nextIncarnation = 1;
    std::function<void(const std::string &)> m_trace;
    std::vector<std::string> m_breaches;
    std::size_t m_submitted = 0;
    std::size_t m_completed = 0;
    std::size_t m_turnedAway = 0;
    std::size_t m_brokenOff = 0;
    std::size_t m_starts = 0;
    std::size_t m_faultsInjected = 0;
};

template <typename... Parts>
void FleetWorld::note(const Parts &...parts)
{
    if (m_trace) {
        std::ostringstream line;
        line << toMilliseconds(m_now.time_since_epoch()) << " ms: ";
        (line << ... << parts);
        m_trace(line.str());
    }
}

} // namespace rattandock::fleet::test
