#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "rattandock/fleet/fleet_dispatcher.hpp"

namespace rattandock::fleet::test {

inline const ZoneId zone{"z"};
inline const ZoneId otherZone{"y"};
inline const VmId self{"a"};
inline const VmId peer{"b"};
inline const UpstreamId upstream{"u"};
inline const UpstreamId second{"v"};

/// A dispatcher with a limit for evacuations that keeps one upstream of zone `z` with room for two
/// tasks of 27 cores, beside a linked VM of zone `y` with an upstream of its own.
struct EvacuationFixture
{
    EvacuationFixture()
    {
        send(MembersRead{std::vector{MemberRow{self, Incarnation{7}, zone, "127.0.0.1:1"},
                                     MemberRow{peer, Incarnation{8}, otherZone, "127.0.0.1:2", 1,
                                               false, 1, evacuationMessageLevel}}});
        send(PeerLinkChanged{peer, true});
        read(1, {});
        send(UpstreamListRead{{entry(upstream, zone), entry(second, otherZone)}, {}, true});
        keep(upstream, zone, 1);
        // Ends the startup phase, in which the VM accepts jobs before its view of the fleet is
        // complete.
        pass(3s);
        recorded.clear();
    }

    static FleetOptions options()
    {
        FleetOptions options;
        options.vm = self;
        options.incarnation = Incarnation{7};
        options.zone = zone;
        options.evacuationLimit = 5s;
        return options;
    }
    static UpstreamEntry entry(const UpstreamId &id, const ZoneId &of)
    {
        return {id,      ServiceId{"s"},
                of,      "127.0.0.1:3",
                false,   {MilliCores{64'000}, Megabytes{131'072}, Accelerators{0}},
                {"kind"}};
    }
    static FleetJob job(const std::string &id, std::uint32_t tasks)
    {
        FleetJob job;
        job.id = JobId{id};
        job.queue = QueueId{"q"};
        job.service = ServiceId{"s"};
        job.taskCount = tasks;
        job.need = {MilliCores{27'000}, Megabytes{64}, Accelerators{0}};
        job.estimate = 100ms;
        job.deadline = 1500ms;
        job.objective = 1400ms;
        job.maxAttempts = 3;
        return job;
    }
    void send(const FleetEvent &event)
    {
        FleetActions actions;
        dispatcher.handle(event, now, actions);
        for (FleetAction &it : actions) {
            if (const auto *const order = std::get_if<PollOrder>(&it)) {
                polls[order->upstream] = order->number;
            } else {
                recorded.push_back(std::move(it));
            }
        }
    }
    void read(std::uint64_t version, const std::set<ZoneId> &zones)
    {
        readVersion = version;
        evacuated = zones;
        send(EvacuationsRead{version, zones, now});
    }
    void keep(const UpstreamId &id, const ZoneId &of, std::uint64_t version)
    {
        send(KeepersRead{{KeeperRow{id, of, self, Incarnation{7}, 1, version}}, true});
        answerPolls();
    }
    void answerPolls()
    {
        for (const auto &[id, number] : std::exchange(polls, {})) {
            RunReport report;
            report.clock = UpstreamTime{now.time_since_epoch()};
            report.processStart = UpstreamProcessStart{1};
            report.active = active[id];
            report.ended = std::exchange(ended[id], {});
            send(RunReportReceived{id, number, report});
        }
    }
    /// Advances the clock. Upstreams answer at once; the list of upstreams and the requests are
    /// read unless the test has stopped that.
    void pass(Duration time)
    {
        for (const TimePoint end = now + time; now < end; now += 5ms) {
            answerPolls();
            send(UpstreamListRead{{}, {}, false, now});
            if (canReadRequests) {
                send(EvacuationsRead{readVersion, evacuated, now});
            }
            send(TimerDue{});
        }
    }
    void submit(std::uint64_t request, const FleetJob &job)
    {
        send(JobSubmitted{CallerRequestId{request}, job});
    }
    /// Confirms all ordered starts. The runs stay active until finishRuns().
    void confirmStarts()
    {
        for (const StartOrder &it : take<StartOrder>()) {
            active[it.upstream].push_back({it.name, it.number});
            send(StartOrderCompleted{it.upstream, it.name, it.number, OrderResult::Done,
                                     std::nullopt});
        }
    }
    void finishRuns()
    {
        for (auto &[id, runs] : active) {
            for (const ActiveRun &it : std::exchange(runs, {})) {
                ended[id].push_back({EndNumber{++lastEnd}, it.name, it.number, RunEndKind::Done});
            }
        }
        answerPolls();
    }
    /// Heartbeat of the other VM, with room for two tasks.
    void reportRoomOfPeer()
    {
        send(PeerCapacityReported{peer, otherZone, false, {{{64'000, 100}}, 100, 64'000, 0}});
    }
    /// Removes and returns the recorded actions of type T.
    template <typename T>
    std::vector<T> take()
    {
        std::vector<T> found;
        std::erase_if(recorded, [&](FleetAction &it) {
            auto *const one = std::get_if<T>(&it);
            if (one != nullptr) {
                found.push_back(std::move(*one));
            }
            return one != nullptr;
        });
        return found;
    }
    /// Removes all recorded messages and returns those of type T.
    template <typename T>
    std::vector<T> takeMessages()
    {
        std::vector<T> found;
        for (SendToVm &it : take<SendToVm>()) {
            if (auto *const message = std::get_if<T>(&it.message)) {
                found.push_back(std::move(*message));
            }
        }
        return found;
    }
    /// The reasons of the refusals that were sent to callers.
    std::vector<TurnAwayReason> takeRefusals()
    {
        std::vector<TurnAwayReason> reasons;
        for (const AnswerJob &it : take<AnswerJob>()) {
            if (const auto *const end = std::get_if<JobTurnedAway>(&it.end)) {
                reasons.push_back(end->reason);
            }
        }
        return reasons;
    }

    bool canReadRequests = true;
    std::uint64_t readVersion = 0;
    std::set<ZoneId> evacuated;
    TimePoint now{100s};
    FleetDispatcher dispatcher{options()};
    std::vector<FleetAction> recorded;
    std::map<UpstreamId, PollNumber> polls;
    std::map<UpstreamId, std::vector<ActiveRun>> active;
    std::map<UpstreamId, std::vector<EndedRun>> ended;
    std::uint64_t lastEnd = 0;
};

} // namespace rattandock::fleet::test
