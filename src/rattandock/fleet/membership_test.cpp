// Tests of the failure detector with reads that take longer than a beat.
#include "rattandock/fleet/membership.hpp"

#include <boost/test/unit_test.hpp>
#include <chrono>

using namespace rattandock;
using namespace rattandock::fleet;
using namespace std::chrono_literals;

namespace {

struct Fixture
{
    /// Reads the row. The read was sent at `sentAt`, counted from the start.
    void read(Duration sentAt, Duration length)
    {
        members.updateRow(row);
        members.readSucceeded(start + sentAt + length, row.zone, start + sentAt);
    }
    bool isAlive() const { return members.isAlive(row.vm, row.incarnation); }

    const TimePoint start{10s};
    Membership members{1400ms};
    MemberRow row{VmId{"v"}, Incarnation{1}, ZoneId{"z"}, "127.0.0.1:1", 1, false, 1};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(MembershipTest, Fixture)

// Guards against taking over the upstreams of a VM that writes its row, because the rows are read
// over a slow link.
BOOST_AUTO_TEST_CASE(keepsAVmWhoseRowChangesBetweenSlowReads)
{
    Duration sentAt{};
    for (int n = 0; n < 6; ++n) {
        read(sentAt, 2000ms);
        BOOST_TEST(isAlive());
        sentAt += 2700ms;
        row.beat += 3;
    }
}

// Guards against counting the time that an answer takes as silence of a VM whose row it shows as it
// was when the call was sent.
BOOST_AUTO_TEST_CASE(countsTheTimeBetweenReadsFromTheirStart)
{
    read(0ms, 5ms);
    read(750ms, 2000ms);
    BOOST_TEST(isAlive());
}

// Guards against a later detection of a VM that failed: two reads without a change are enough.
BOOST_AUTO_TEST_CASE(detectsAFailedVmAtTheSecondReadWithoutAChange)
{
    read(0ms, 5ms);
    row.beat = 2;
    read(705ms, 5ms);
    BOOST_TEST(isAlive());
    read(1410ms, 5ms);
    BOOST_TEST(!isAlive());
    // The same for a change that was read after a long gap.
    row.beat = 3;
    read(4000ms, 5ms);
    BOOST_TEST(isAlive());
    read(4705ms, 5ms);
    BOOST_TEST(!isAlive());
}

BOOST_AUTO_TEST_SUITE_END()
