#include "rattandock/core/slot_broker.hpp"

#include <set>

#include <boost/test/unit_test.hpp>

using namespace rattandock;
using namespace rattandock::core;
using namespace std::chrono_literals;

namespace {

const VmId vmA{"vm-a"};
const VmId vmB{"vm-b"};
const VmId vmC{"vm-c"};

struct Fixture
{
    Fixture()
    {
        std::vector<UpstreamSpec> specs;
        for (int n = 0; n < 60; ++n) {
            specs.emplace_back().id = UpstreamId{std::to_string(n)};
        }
        for (auto &[vm, broker] : brokers) {
            broker.configure(specs);
        }
        setLive({vmA, vmB, vmC});
        for (int n = 59; n >= 0; --n) {
            const UpstreamId id{std::to_string(n)};
            if (dispatchingVm(id, {vmA, vmB, vmC}) == vmA) {
                ofA = id;
            }
        }
    }

    void setLive(const std::set<VmId> &vms)
    {
        for (auto &[vm, broker] : brokers) {
            std::vector<VmId> peers;
            for (const VmId &it : vms) {
                if (it != vm) {
                    peers.push_back(it);
                }
            }
            broker.setPeers(peers);
        }
    }

    /// Delivers all messages until none is left; returns their number.
    std::size_t deliver(const VmId &from, const SlotBroker::Outbox &outbox)
    {
        std::size_t count = 0;
        for (const auto &[to, message] : outbox) {
            ++count;
            SlotBroker::Outbox replies;
            SlotBroker &receiver = brokers.at(to);
            std::visit(
                    [&](const auto &it) {
                        if constexpr (requires { receiver.on(from, it, replies); }) {
                            receiver.on(from, it, replies);
                        }
                    },
                    message);
            count += deliver(to, replies);
        }
        return count;
    }

    std::size_t request(const VmId &by, std::uint32_t count)
    {
        SlotBroker::Outbox outbox;
        brokers.at(by).request({{ofA, count}}, outbox);
        return deliver(by, outbox);
    }

    std::map<VmId, SlotBroker> brokers{
            {vmA, SlotBroker{vmA}}, {vmB, SlotBroker{vmB}}, {vmC, SlotBroker{vmC}}};
    /// An upstream that vmA dispatches; it has 8 slots.
    UpstreamId ofA;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(SlotBrokerTest, Fixture)

// Guards against VMs that disagree on who dispatches, and against upstreams that move although
// their own VM stayed.
BOOST_AUTO_TEST_CASE(oneVmDispatchesAndOnlyItsUpstreamsMoveWhenItLeaves)
{
    std::map<VmId, int> count;
    for (int n = 0; n < 60; ++n) {
        const UpstreamId id{std::to_string(n)};
        const VmId before = dispatchingVm(id, {vmA, vmB, vmC});
        ++count[before];
        BOOST_TEST(dispatchingVm(id, {vmC, vmA, vmB}) == before);
        int here = 0;
        for (const auto &[vm, broker] : brokers) {
            here += broker.dispatchesHere(id) ? 1 : 0;
        }
        BOOST_TEST(here == 1);
        if (before != vmC) {
            BOOST_TEST(dispatchingVm(id, {vmA, vmB}) == before);
        }
    }
    BOOST_TEST(count.size() == 3);
}

// Guards against more tasks on an upstream than it has slots.
BOOST_AUTO_TEST_CASE(grantsNeverExceedTheSlots)
{
    request(vmB, 8);
    request(vmC, 8);
    std::uint32_t taken = 0;
    for (auto &[vm, broker] : brokers) {
        while (broker.take(ofA)) {
            ++taken;
        }
    }
    BOOST_TEST(taken == 8);
    BOOST_TEST(brokers.at(vmC).available(ofA) == 0);
}

// Guards against a peer that takes all slots, and against a waiting one that is forgotten.
BOOST_AUTO_TEST_CASE(grantsHalfAndTheRestAsSlotsBecomeFree)
{
    request(vmB, 8);
    BOOST_TEST(brokers.at(vmB).available(ofA) == 4);
    while (brokers.at(vmA).take(ofA)) { }
    request(vmC, 1);
    BOOST_TEST(brokers.at(vmC).available(ofA) == 0);
    for (int n = 0; n < 4; ++n) {
        SlotBroker::Outbox outbox;
        brokers.at(vmA).giveBack(ofA, 100ms, outbox);
        BOOST_TEST(deliver(vmA, outbox) == 1);
    }
    BOOST_TEST(brokers.at(vmB).available(ofA) == 8);
    SlotBroker::Outbox outbox;
    brokers.at(vmB).releaseIdle(outbox);
    BOOST_REQUIRE_EQUAL(outbox.size(), 1);
    deliver(vmB, outbox);
    BOOST_TEST(brokers.at(vmB).available(ofA) == 0);
    BOOST_TEST(brokers.at(vmC).available(ofA) == 1);
    BOOST_TEST(brokers.at(vmA).available(ofA) == 7);
}

// Guards against one message per slot or upstream.
BOOST_AUTO_TEST_CASE(requestsAreSentInOneMessagePerVm)
{
    std::vector<std::pair<UpstreamId, std::uint32_t>> wanted;
    for (int n = 0; n < 60; ++n) {
        wanted.emplace_back(std::to_string(n), 2);
    }
    SlotBroker::Outbox outbox;
    brokers.at(vmA).request(wanted, outbox);
    BOOST_TEST(outbox.size() == 2);
    std::size_t entries = 0;
    for (const auto &[vm, message] : outbox) {
        entries += std::get<SlotRequest>(message).entries.size();
    }
    BOOST_TEST(entries > 20);
    BOOST_TEST(entries < 60);
}

// Guards against slots that stay lost when a peer is cut off, on either side of the link.
BOOST_AUTO_TEST_CASE(grantsLapseWhenThePeerIsLost)
{
    request(vmB, 4);
    BOOST_TEST(brokers.at(vmA).available(ofA) == 4);
    BOOST_TEST(brokers.at(vmB).take(ofA));
    brokers.at(vmA).setPeers({vmC});
    BOOST_TEST(brokers.at(vmA).available(ofA) == 8);
    brokers.at(vmB).setPeers({});
    BOOST_TEST(brokers.at(vmB).dispatchesHere(ofA));
    // Its running task still uses a slot.
    BOOST_TEST(brokers.at(vmB).available(ofA) == 7);
    SlotBroker::Outbox outbox;
    brokers.at(vmB).giveBack(ofA, 100ms, outbox);
    BOOST_TEST(outbox.empty());
    BOOST_TEST(brokers.at(vmB).available(ofA) == 8);
}

// Guards against a late grant of a VM that no longer dispatches for the upstream.
BOOST_AUTO_TEST_CASE(lateGrantIsReleased)
{
    SlotBroker::Outbox outbox;
    brokers.at(vmC).on(vmB, SlotGrant{{{ofA, 3, 0}}}, outbox);
    BOOST_TEST(brokers.at(vmC).available(ofA) == 0);
    BOOST_REQUIRE_EQUAL(outbox.size(), 1);
    BOOST_TEST((outbox[0].first == vmB));
    BOOST_TEST(std::get<SlotRelease>(outbox[0].second).entries.at(0).count == 3);
}

// Guards against a peer that is granted nothing or everything by a forged or doubled release.
BOOST_AUTO_TEST_CASE(releaseOfMoreThanGrantedFreesOnlyWhatWasGranted)
{
    request(vmB, 2);
    SlotBroker::Outbox outbox;
    brokers.at(vmA).on(vmB, SlotRelease{{{ofA, 100, 0}}}, outbox);
    brokers.at(vmA).on(vmC, SlotRelease{{{ofA, 100, 0}}}, outbox);
    BOOST_TEST(brokers.at(vmA).available(ofA) == 8);
}

BOOST_AUTO_TEST_SUITE_END()
