#pragma once

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "rattandock/fleet/fleet_dispatcher.hpp"

namespace rattandock::fleet::test {

/// A dispatcher that has claimed one upstream with room for two tasks of 27 cores, with links to
/// the VMs b and c.
struct OffersFixture
{
    OffersFixture()
    {
        FleetOptions options;
        options.vm = VmId{"a"};
        options.incarnation = Incarnation{7};
        options.zone = zone;
        dispatcher = std::make_unique<FleetDispatcher>(options);
        send(MembersRead{std::vector{MemberRow{VmId{"a"}, Incarnation{7}, zone, "127.0.0.1:1"}}});
        send(UpstreamListRead{{{upstream,
                                ServiceId{"s"},
                                zone,
                                "127.0.0.1:2",
                                false,
                                {MilliCores{64'000}, Megabytes{131'072}, Accelerators{0}},
                                {"kind"}}},
                              {},
                              true});
        send(KeepersRead{{KeeperRow{upstream, zone, VmId{"a"}, Incarnation{7}, 1, 1}}, true});
        answerPoll();
        pass(3s);
        for (const VmId &it : {b, c}) {
            send(PeerLinkChanged{it, true});
            report(it, {});
        }
        recorded.clear();
    }

    void send(const FleetEvent &event)
    {
        FleetActions actions;
        dispatcher->handle(event, now, actions);
        for (FleetAction &it : actions) {
            if (const auto *const poll = std::get_if<PollOrder>(&it)) {
                pollNumber = poll->number;
                isPollPending = true;
            } else if (const auto *const start = std::get_if<StartOrder>(&it)) {
                started.push_back(*start);
            } else {
                recorded.push_back(std::move(it));
            }
        }
    }
    void answerPoll()
    {
        RunReport runs;
        runs.clock = UpstreamTime{now.time_since_epoch()};
        runs.processStart = UpstreamProcessStart{1};
        runs.active = active;
        runs.ended = ended;
        isPollPending = false;
        send(RunReportReceived{upstream, pollNumber, runs});
    }
    /// Advances the clock in steps of 5 ms. Starts are confirmed and polls answered at each step.
    void pass(Duration time)
    {
        for (const TimePoint end = now + time; now < end; now += 5ms) {
            step();
        }
    }
    void step()
    {
        for (const StartOrder &it : std::exchange(started, {})) {
            if (startResult == OrderResult::Done) {
                active.push_back({it.name, it.number});
            }
            starts.push_back(it);
            send(StartOrderCompleted{upstream, it.name, it.number, startResult, std::nullopt});
        }
        if (isPollPending) {
            answerPoll();
        }
        send(UpstreamListRead{{}, {}, false, now});
        send(TimerDue{});
    }
    /// Ends all active runs with success.
    void finishRuns()
    {
        for (const ActiveRun &it : std::exchange(active, {})) {
            ended.push_back({EndNumber{++lastEnd}, it.name, it.number, RunEndKind::Done});
        }
        pass(5ms);
        BOOST_REQUIRE(isPollPending || !ended.empty());
        pass(20ms);
    }
    /// Sends a heartbeat of a peer with the given free upstreams.
    void report(const VmId &vm, std::vector<FreeCapacity> free, std::uint64_t queuedWork = 0,
                std::uint64_t revision = fleetRevision)
    {
        std::uint32_t fastest = 100;
        for (const FreeCapacity &it : free) {
            fastest = std::min(fastest, it.runTimePercent);
        }
        send(PeerCapacityReported{vm,
                                  zone,
                                  false,
                                  {std::move(free), fastest, 640'000, queuedWork},
                                  std::nullopt,
                                  revision});
    }
    static FleetJob job(const std::string &id, std::uint32_t tasks, Duration estimate)
    {
        FleetJob job;
        job.id = JobId{id};
        job.queue = QueueId{"q"};
        job.service = ServiceId{"s"};
        job.taskCount = tasks;
        job.need = {MilliCores{27'000}, Megabytes{64}, Accelerators{0}};
        job.estimate = estimate;
        job.deadline = 1500ms;
        job.objective = 1400ms;
        job.maxAttempts = 3;
        return job;
    }
    void submit(std::uint64_t request, const FleetJob &job)
    {
        send(JobSubmitted{CallerRequestId{request}, job});
    }
    /// Fills the upstream with the runs of a job of this VM.
    void occupy(Duration estimate = 1000ms)
    {
        submit(1, job("own", 2, estimate));
        step();
        BOOST_REQUIRE(active.size() == 2);
        starts.clear();
    }
    /// Removes and returns the messages of type T that were sent, with their receivers.
    template <typename T>
    std::vector<std::pair<VmId, T>> taken()
    {
        std::vector<std::pair<VmId, T>> found;
        std::erase_if(recorded, [&](FleetAction &it) {
            auto *const message = std::get_if<SendToVm>(&it);
            auto *const one = message != nullptr ? std::get_if<T>(&message->message) : nullptr;
            if (one != nullptr) {
                found.emplace_back(message->vm, std::move(*one));
            }
            return one != nullptr;
        });
        return found;
    }
    /// Removes and returns the answer of a job, if it was answered. Fails if there are several.
    std::optional<JobEnd> answerOf(const std::string &id)
    {
        std::vector<JobEnd> found;
        std::erase_if(recorded, [&](const FleetAction &it) {
            const auto *const answer = std::get_if<AnswerJob>(&it);
            const bool isFound = answer != nullptr && answer->job.value() == id;
            if (isFound) {
                found.push_back(answer->end);
            }
            return isFound;
        });
        BOOST_TEST(found.size() <= 1);
        return found.empty() ? std::nullopt : std::optional{found[0]};
    }
    /// Removes the log records of a job and returns the text of the last one of this kind.
    std::string lastRecord(FleetLogRecordKind kind, const std::string &id)
    {
        std::string text;
        std::erase_if(recorded, [&](const FleetAction &it) {
            const auto *const record = std::get_if<FleetLogRecord>(&it);
            if (record == nullptr || record->job.value() != id) {
                return false;
            }
            text = record->kind == kind ? record->detail : text;
            return true;
        });
        return text;
    }
    /// Submits a job whose tasks are all offered to b, and returns the number of the offer.
    std::uint64_t offerToB(std::uint32_t tasks)
    {
        occupy();
        report(b, {{64'000, 100}, {64'000, 100}});
        submit(2, job("offered", tasks, 300ms));
        const auto offers = taken<TaskOffer>();
        BOOST_REQUIRE(offers.size() == 1);
        BOOST_TEST(offers[0].second.tasks.size() == tasks);
        report(b, {});
        return offers[0].second.number;
    }
    /// Advances to shortly before the offered job's deadline, when the offer was withdrawn.
    void passUntilWithdrawn(std::uint64_t offer)
    {
        pass(1400ms);
        BOOST_TEST(taken<TaskOfferWithdrawn>().empty());
        pass(60ms);
        BOOST_TEST(!answerOf("offered"));
        const auto withdrawn = taken<TaskOfferWithdrawn>();
        BOOST_REQUIRE(withdrawn.size() == 1);
        BOOST_TEST(withdrawn[0].second.number == offer);
    }

    const VmId b{"b"};
    const VmId c{"c"};
    const ZoneId zone{"z"};
    const UpstreamId upstream{"u"};
    TimePoint now{100s};
    std::unique_ptr<FleetDispatcher> dispatcher;
    std::vector<FleetAction> recorded;
    /// Start orders that were not confirmed yet, and those that were.
    std::vector<StartOrder> started;
    std::vector<StartOrder> starts;
    /// What the upstream answers to start orders.
    OrderResult startResult = OrderResult::Done;
    std::vector<ActiveRun> active;
    std::vector<EndedRun> ended;
    std::uint64_t lastEnd = 0;
    PollNumber pollNumber;
    bool isPollPending = false;
};

} // namespace rattandock::fleet::test
