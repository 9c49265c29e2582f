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
        setVms({vmA, vmB, vmC});
        for (int n = 59; n >= 0; --n) {
            const UpstreamId id{std::to_string(n)};
            if (dispatchingVm(id, {vmA, vmB, vmC}) == vmA) {
                upstreamOfA = id;
            }
        }
    }

    void setVms(const std::set<VmId> &vms)
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

    /// Delivers the messages and all replies to them, and returns the number of messages.
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
        brokers.at(by).request({{upstreamOfA, count}}, outbox);
        return deliver(by, outbox);
    }

    std::map<VmId, SlotBroker> brokers{
            {vmA, SlotBroker{vmA}}, {vmB, SlotBroker{vmB}}, {vmC, SlotBroker{vmC}}};
    /// An upstream with 8 slots whose dispatching VM is vmA.
    UpstreamId upstreamOfA;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(SlotBrokerTest, Fixture)

// Guards against VMs that disagree on the dispatching VM, and against upstreams whose dispatching
// VM changes although it has not left.
BOOST_AUTO_TEST_CASE(eachUpstreamHasOneDispatchingVmAndOnlyThoseOfALeavingVmMove)
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

// Guards against running more tasks on an upstream than it has slots.
BOOST_AUTO_TEST_CASE(grantsNeverExceedTheSlots)
{
    request(vmB, 8);
    request(vmC, 8);
    std::uint32_t taken = 0;
    for (auto &[vm, broker] : brokers) {
        while (broker.acquire(upstreamOfA)) {
            ++taken;
        }
    }
    BOOST_TEST(taken == 8);
    BOOST_TEST(brokers.at(vmC).available(upstreamOfA) == 0);
}

// Guards against one peer being granted all slots, and against a pending request that is never
// granted although slots become free.
BOOST_AUTO_TEST_CASE(grantsHalfOfTheFreeSlotsAndTheRestAsSlotsBecomeFree)
{
    request(vmB, 8);
    BOOST_TEST(brokers.at(vmB).available(upstreamOfA) == 4);
    while (brokers.at(vmA).acquire(upstreamOfA)) { }
    request(vmC, 1);
    BOOST_TEST(brokers.at(vmC).available(upstreamOfA) == 0);
    for (int n = 0; n < 4; ++n) {
        SlotBroker::Outbox outbox;
        brokers.at(vmA).release(upstreamOfA, 100ms, outbox);
        BOOST_TEST(deliver(vmA, outbox) == 1);
    }
    BOOST_TEST(brokers.at(vmB).available(upstreamOfA) == 8);
    SlotBroker::Outbox outbox;
    brokers.at(vmB).releaseIdle(outbox);
    BOOST_REQUIRE_EQUAL(outbox.size(), 1);
    deliver(vmB, outbox);
    BOOST_TEST(brokers.at(vmB).available(upstreamOfA) == 0);
    BOOST_TEST(brokers.at(vmC).available(upstreamOfA) == 1);
    BOOST_TEST(brokers.at(vmA).available(upstreamOfA) == 7);
}

// Guards against sending one message per slot or per upstream.
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

// Guards against slots that stay unavailable, on either side of the link, after the link to a peer
// is lost.
BOOST_AUTO_TEST_CASE(grantsExpireWhenThePeerIsLost)
{
    request(vmB, 4);
    BOOST_TEST(brokers.at(vmA).available(upstreamOfA) == 4);
    BOOST_TEST(brokers.at(vmB).acquire(upstreamOfA));
    brokers.at(vmA).setPeers({vmC});
    BOOST_TEST(brokers.at(vmA).available(upstreamOfA) == 8);
    brokers.at(vmB).setPeers({});
    BOOST_TEST(brokers.at(vmB).dispatchesHere(upstreamOfA));
    // The running task of vmB still uses a slot.
    BOOST_TEST(brokers.at(vmB).available(upstreamOfA) == 7);
    SlotBroker::Outbox outbox;
    brokers.at(vmB).release(upstreamOfA, 100ms, outbox);
    BOOST_TEST(outbox.empty());
    BOOST_TEST(brokers.at(vmB).available(upstreamOfA) == 8);
}

// Guards against using a grant that arrives from a VM that doesn't dispatch for the upstream.
BOOST_AUTO_TEST_CASE(grantFromANonDispatchingVmIsReleased)
{
    SlotBroker::Outbox outbox;
    brokers.at(vmC).on(vmB, SlotGrant{{{upstreamOfA, 3, 0}}}, outbox);
    BOOST_TEST(brokers.at(vmC).available(upstreamOfA) == 0);
    BOOST_REQUIRE_EQUAL(outbox.size(), 1);
    BOOST_TEST((outbox[0].first == vmB));
    BOOST_TEST(std::get<SlotRelease>(outbox[0].second).entries.at(0).count == 3);
}

// Guards against a forged or duplicate release message that frees slots which the sender doesn't
// hold.
BOOST_AUTO_TEST_CASE(releaseOfMoreThanGrantedFreesOnlyWhatWasGranted)
{
    request(vmB, 2);
    SlotBroker::Outbox outbox;
    brokers.at(vmA).on(vmB, SlotRelease{{{upstreamOfA, 100, 0}}}, outbox);
    brokers.at(vmA).on(vmC, SlotRelease{{{upstreamOfA, 100, 0}}}, outbox);
    BOOST_TEST(brokers.at(vmA).available(upstreamOfA) == 8);
}

BOOST_AUTO_TEST_SUITE_END()
