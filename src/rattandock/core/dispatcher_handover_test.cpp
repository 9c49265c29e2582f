#include <boost/test/unit_test.hpp>
#include <deque>
#include <functional>
#include <map>

#include "rattandock/core/dispatcher.hpp"

using namespace rattandock;
using namespace rattandock::core;
using namespace std::chrono_literals;

namespace {

/// Three VMs whose messages are delivered without delay. A test may drop selected messages.
struct Fixture
{
    Fixture()
    {
        for (std::uint64_t n = 1; n <= 3; ++n) {
            DispatcherOptions options;
            options.vm = VmId{"vm-" + std::to_string(n)};
            options.zone = ZoneId{n == 2 ? "b" : "a"};
            options.incarnation = Incarnation{n * 1000};
            vms.emplace(options.vm, Dispatcher{options, n});
        }
        UpstreamSpec upstream;
        upstream.id = UpstreamId{"u1"};
        upstream.slots = Slots{1};
        for (auto &[vm, it] : vms) {
            send(vm, ConfigurationAccepted{ConfigurationVersion{1}, {upstream}, {}});
            for (const auto &[peer, other] : vms) {
                if (peer != vm) {
                    send(vm, PeerLinkChanged{peer, true});
                }
            }
        }
        for (std::uint64_t n = 1; n <= 3; ++n) {
            broadcastHeartbeat(n, false);
        }
    }

    static VmId vmId(std::uint64_t n) { return VmId{"vm-" + std::to_string(n)}; }

    void broadcastHeartbeat(std::uint64_t n, bool draining)
    {
        Heartbeat heartbeat;
        heartbeat.vm = vmId(n);
        heartbeat.zone = ZoneId{n == 2 ? "b" : "a"};
        heartbeat.incarnation = Incarnation{n * 1000};
        heartbeat.draining = draining;
        for (auto &[vm, it] : vms) {
            send(vm, PeerMessageReceived{vmId(n), heartbeat});
        }
    }

    void send(const VmId &vm, const Event &event)
    {
        Actions actions;
        vms.at(vm).handle(event, now, actions);
        for (Action &it : actions) {
            if (auto *message = std::get_if<SendToPeer>(&it)) {
                if (!shouldDrop || !shouldDrop(message->message)) {
                    sent.emplace_back(vm, std::move(*message));
                }
            } else if (auto *answer = std::get_if<AnswerCaller>(&it)) {
                answers[answer->request.value()] = answer->outcome;
            } else if (auto *start = std::get_if<StartTask>(&it)) {
                starts.push_back(start->attempt);
            } else if (std::holds_alternative<Stopped>(it)) {
                stopped.push_back(vm);
            }
        }
    }

    void deliver()
    {
        while (!sent.empty()) {
            auto [from, message] = std::move(sent.front());
            sent.pop_front();
            send(message.peer, PeerMessageReceived{from, std::move(message.message)});
        }
    }

    /// Advances the clock by `span` and fires every timer that is due on the way.
    void advanceTime(Duration span)
    {
        const TimePoint end = now + span;
        deliver();
        while (true) {
            std::optional<TimePoint> next;
            for (const auto &[vm, it] : vms) {
                const auto timer = it.nextTimer();
                if (timer && (!next || *timer < *next)) {
                    next = timer;
                }
            }
            if (!next || *next > end) {
                now = end;
                return;
            }
            now = std::max(now, *next);
            for (auto &[vm, it] : vms) {
                if (it.nextTimer() && *it.nextTimer() <= now) {
                    send(vm, TimerFired{});
                }
            }
            deliver();
        }
    }

    JobSpec job(std::uint64_t home, const std::string &key)
    {
        JobSpec job;
        job.id = JobId{format(vms.at(vmId(home)).issueToken(now)) + '/' + key};
        job.deadline = 60s;
        job.tasks.resize(1, TaskSpec{"payload", 100ms, {}});
        return job;
    }

    JobOutcome submitAndGetOutcome(std::uint64_t vm, const JobSpec &job)
    {
        const std::uint64_t request = nextRequest++;
        send(vmId(vm), JobSubmitted{CallerRequestId{request}, job});
        deliver();
        BOOST_REQUIRE(answers.contains(request));
        return answers.at(request);
    }

    TimePoint now{200s};
    std::map<VmId, Dispatcher> vms;
    std::deque<std::pair<VmId, SendToPeer>> sent;
    std::function<bool(const PeerMessage &)> shouldDrop;
    std::map<std::uint64_t, JobOutcome> answers;
    std::vector<AttemptId> starts;
    std::vector<VmId> stopped;
    std::uint64_t nextRequest = 100;
};

bool isRecords(const PeerMessage &message)
{
    return std::holds_alternative<HandoverRecords>(message);
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(DispatcherHandoverTest, Fixture)

// Guards against a planned stop that loses answers or starts queued jobs, and against a successor
// that gives a wrong answer for the ids of a stopped VM.
BOOST_AUTO_TEST_CASE(successorsAnswerForStoppedVms)
{
    const JobSpec running = job(1, "running");
    const JobSpec queued = job(1, "queued");
    const JobSpec unseen = job(1, "unseen");
    send(vmId(1), JobSubmitted{CallerRequestId{1}, running});
    send(vmId(1), JobSubmitted{CallerRequestId{2}, queued});
    send(vmId(1), DrainRequested{});
    broadcastHeartbeat(1, true);
    const JobOutcome refused = NotRun{RefusalReason::Draining, Duration{}};
    BOOST_TEST((answers.at(2) == refused));
    advanceTime(1s);
    BOOST_TEST(stopped.empty());
    send(vmId(1), AttemptEnded{starts.at(0), AttemptCompleted{"x"}, 100ms, false});
    advanceTime(1s);
    BOOST_REQUIRE_EQUAL(stopped.size(), 1);
    BOOST_TEST((vms.at(vmId(3)).status().sealedSets == 1));

    const JobOutcome complete = Complete{{"x"}};
    const JobOutcome neverSeen = NotRun{RefusalReason::SealedNeverSeen, Duration{}};
    for (std::uint64_t vm = 2; vm <= 3; ++vm) {
        BOOST_TEST((submitAndGetOutcome(vm, running) == complete));
        BOOST_TEST((submitAndGetOutcome(vm, queued) == refused));
        BOOST_TEST((submitAndGetOutcome(vm, unseen) == neverSeen));
    }

    // The successor hands the set over in turn when it stops itself.
    vms.erase(vmId(1));
    send(vmId(2), PeerLinkChanged{vmId(1), false});
    send(vmId(3), PeerLinkChanged{vmId(1), false});
    send(vmId(3), DrainRequested{});
    advanceTime(1s);
    BOOST_REQUIRE_EQUAL(stopped.size(), 2);
    BOOST_TEST((submitAndGetOutcome(2, running) == complete));
    BOOST_TEST((submitAndGetOutcome(2, unseen) == neverSeen));
    BOOST_TEST(starts.size() == 1);
}

// Guards against a planned stop that never ends because no peer confirms the records.
BOOST_AUTO_TEST_CASE(stopsAtTheLimitWithoutSuccessor)
{
    shouldDrop = isRecords;
    send(vmId(1), DrainRequested{});
    advanceTime(29s);
    BOOST_TEST(stopped.empty());
    advanceTime(1s);
    BOOST_TEST(stopped.size() == 1);
}

// Guards against a successor that answers sealed-never-seen although a batch of the set is missing,
// and against a sender that does not try the next peer.
BOOST_AUTO_TEST_CASE(incompleteSetAnswersOnlyForItsRecords)
{
    for (int n = 0; n < 1500; ++n) {
        send(vmId(1), JobCancelled{job(1, "cancelled-" + std::to_string(n)).id});
    }
    int batches = 0;
    shouldDrop = [&batches](const PeerMessage &message) {
        return isRecords(message) && batches++ == 0;
    };
    send(vmId(1), DrainRequested{});
    deliver();
    const JobSpec unseen = job(1, "unseen");
    send(vmId(3), PeerLinkChanged{vmId(1), false});
    BOOST_TEST((submitAndGetOutcome(3, unseen)
                != JobOutcome{NotRun{RefusalReason::SealedNeverSeen, 0s}}));
    advanceTime(2s);
    BOOST_TEST(stopped.size() == 1);
    BOOST_TEST((vms.at(vmId(2)).status().sealedSets == 1));
}

BOOST_AUTO_TEST_SUITE_END()
