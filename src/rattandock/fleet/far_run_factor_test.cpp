// Tests of the start of tasks on another rack than the one that their job requests.
#include <boost/test/unit_test.hpp>

#include "rattandock/fleet/fleet_dispatcher.hpp"

using namespace rattandock;
using namespace rattandock::fleet;
using namespace std::chrono_literals;

namespace {

const VmId self{"a"};
const Incarnation incarnation{7};
const ZoneId zone{"z"};
const UpstreamId upstream{"u"};
const Resources full{MilliCores{64'000}, Megabytes{131'072}, Accelerators{0}};

/// A dispatcher that keeps one upstream, on rack "r1".
struct Keeper
{
    explicit Keeper(double farRunFactor)
        : dispatcher(options(farRunFactor))
    {
        send(MembersRead{std::vector{MemberRow{self, incarnation, zone, "127.0.0.1:1"}}});
        send(UpstreamListRead{
                {{upstream, ServiceId{"s"}, zone, "127.0.0.1:2", false, full, {"kind", "r1"}}},
                {},
                true});
        send(KeepersRead{{KeeperRow{upstream, zone, self, incarnation, 1, 1}}, true});
        // Ends the startup phase.
        pass(3s);
    }

    static FleetOptions options(double farRunFactor)
    {
        FleetOptions options;
        options.vm = self;
        options.incarnation = incarnation;
        options.zone = zone;
        options.farRunFactor = farRunFactor;
        return options;
    }
    void send(const FleetEvent &event)
    {
        FleetActions actions;
        dispatcher.handle(event, now, actions);
        for (const FleetAction &it : actions) {
            if (const auto *const poll = std::get_if<PollOrder>(&it)) {
                pendingPoll = poll->number;
            }
            starts += std::holds_alternative<StartOrder>(it) ? 1 : 0;
        }
    }
    void pass(Duration time)
    {
        for (const TimePoint end = now + time; now < end; now += 5ms) {
            if (const auto number = std::exchange(pendingPoll, std::nullopt)) {
                RunReport report;
                report.clock = UpstreamTime{now.time_since_epoch()};
                report.processStart = UpstreamProcessStart{1};
                send(RunReportReceived{upstream, *number, report});
            }
            send(UpstreamListRead{{}, {}, false, now});
            send(TimerDue{});
        }
    }
    /// Returns the number of starts of a job of one task of 600 ms with 1,500 ms until its
    /// deadline.
    int startsOfJobFor(const std::string &rack, Duration estimate)
    {
        FleetJob job;
        job.id = JobId{"job"};
        job.queue = QueueId{"q"};
        job.service = ServiceId{"s"};
        job.preferredRack = RackId{rack};
        job.taskCount = 1;
        job.need = {MilliCores{27'000}, Megabytes{64}, Accelerators{0}};
        job.estimate = estimate;
        job.deadline = 1500ms;
        job.objective = 1400ms;
        job.maxAttempts = 3;
        send(JobSubmitted{CallerRequestId{1}, job});
        return starts;
    }

    TimePoint now{100s};
    FleetDispatcher dispatcher;
    std::optional<PollNumber> pendingPoll;
    int starts = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(FarRunFactorTest)

// Guards against a fixed factor of 2. Where runs on other racks take longer, tasks were started
// there that could not end in time.
BOOST_AUTO_TEST_CASE(startsNothingOnARackWhereItCannotEndInTime)
{
    BOOST_TEST(Keeper{10}.startsOfJobFor("r2", 300ms) == 0);
    BOOST_TEST(Keeper{10}.startsOfJobFor("r1", 300ms) == 1);
    BOOST_TEST(Keeper{10}.startsOfJobFor("", 300ms) == 1);
}

// Guards against tasks that wait for their rack although they would end in time on another one.
BOOST_AUTO_TEST_CASE(startsOnAnotherRackThatIsAsFast)
{
    BOOST_TEST(Keeper{1}.startsOfJobFor("r2", 600ms) == 1);
}

BOOST_AUTO_TEST_SUITE_END()
