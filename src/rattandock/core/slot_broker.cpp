#include "rattandock/core/slot_broker.hpp"

#include <algorithm>
#include <cassert>

#include <xxhash.h>

namespace rattandock::core {

namespace {

std::uint64_t rendezvousHash(const UpstreamId &upstream, const VmId &vm)
{
    const std::uint64_t seed = XXH3_64bits(vm.value().data(), vm.value().size());
    return XXH3_64bits_withSeed(upstream.value().data(), upstream.value().size(), seed);
}

template <typename Message>
void send(std::map<VmId, Message> &messages, SlotBroker::Outbox &outbox)
{
    for (auto &[vm, message] : messages) {
        outbox.emplace_back(vm, std::move(message));
    }
}

} // namespace

const VmId &dispatchingVm(const UpstreamId &upstream, const std::vector<VmId> &vms)
{
    assert(!vms.empty());
    return *std::ranges::max_element(vms, {}, [&upstream](const VmId &vm) {
        return std::pair{rendezvousHash(upstream, vm), vm};
    });
}

SlotBroker::SlotBroker(VmId self)
    : m_self(std::move(self))
    , m_vms{m_self}
{
}

void SlotBroker::configure(const std::vector<UpstreamSpec> &upstreams)
{
    std::map<UpstreamId, Upstream> old = std::exchange(m_upstreams, {});
    for (const UpstreamSpec &it : upstreams) {
        Upstream &upstream = m_upstreams[it.id];
        if (const auto known = old.find(it.id); known != old.end()) {
            upstream = std::move(known->second);
        }
        upstream.slots = it.slots.value();
    }
    reassignDispatchers();
}

void SlotBroker::setPeers(const std::vector<VmId> &peers)
{
    m_vms = peers;
    m_vms.push_back(m_self);
    reassignDispatchers();
}

bool SlotBroker::dispatchesHere(const UpstreamId &upstream) const
{
    const auto it = m_upstreams.find(upstream);
    return it != m_upstreams.end() && it->second.dispatcher == m_self;
}

std::uint32_t SlotBroker::available(const UpstreamId &upstream) const
{
    const auto it = m_upstreams.find(upstream);
    return it == m_upstreams.end() ? 0 : freeSlots(it->second);
}

bool SlotBroker::acquire(const UpstreamId &upstream)
{
    if (available(upstream) == 0) {
        return false;
    }
    ++m_upstreams.at(upstream).used;
    return true;
}

void SlotBroker::release(const UpstreamId &upstream, Duration measured, Outbox &outbox)
{
    const auto it = m_upstreams.find(upstream);
    if (it == m_upstreams.end()) {
        // The upstream was removed from the configuration while the task ran.
        return;
    }
    Upstream &entry = it->second;
    if (measured > Duration{}) {
        entry.measuredTime += measured;
        ++entry.measuredTasks;
    }
    if (entry.usedUnderEarlierDispatcher > 0) {
        --entry.usedUnderEarlierDispatcher;
    } else {
        assert(entry.used > 0);
        --entry.used;
    }
    if (entry.dispatcher == m_self) {
        grantPendingRequests(upstream, entry, outbox);
    }
}

void SlotBroker::request(const std::vector<std::pair<UpstreamId, std::uint32_t>> &wanted,
                         Outbox &outbox)
{
    std::map<VmId, SlotRequest> requests;
    for (const auto &[id, count] : wanted) {
        const auto it = m_upstreams.find(id);
        if (it != m_upstreams.end() && it->second.dispatcher != m_self && count > 0) {
            requests[it->second.dispatcher].entries.push_back({id, count, 0});
        }
    }
    send(requests, outbox);
}

void SlotBroker::releaseIdle(Outbox &outbox)
{
    std::map<VmId, SlotRelease> releases;
    for (auto &[id, it] : m_upstreams) {
        const std::uint32_t idle = it.dispatcher == m_self ? 0 : freeSlots(it);
        if (idle == 0) {
            continue;
        }
        const auto mean = it.measuredTasks == 0 ? Duration::rep{0}
                                                : it.measuredTime.count() / it.measuredTasks;
        releases[it.dispatcher].entries.push_back({id, idle, static_cast<std::uint64_t>(mean)});
        it.held -= idle;
        it.measuredTime = {};
        it.measuredTasks = 0;
    }
    send(releases, outbox);
}

void SlotBroker::on(const VmId &from, const SlotRequest &message, Outbox &outbox)
{
    if (std::ranges::find(m_vms, from) == m_vms.end()) {
        return;
    }
    SlotGrant grant;
    for (const SlotEntry &it : message.entries) {
        const auto known = m_upstreams.find(it.upstream);
        if (known == m_upstreams.end() || known->second.dispatcher != m_self) {
            continue;
        }
        Upstream &upstream = known->second;
        const std::uint32_t wanted = std::min(it.count, upstream.slots);
        const std::uint32_t granted = std::min(wanted, (freeSlots(upstream) + 1) / 2);
        if (granted > 0) {
            upstream.granted[from] += granted;
            grant.entries.push_back({it.upstream, granted, 0});
        }
        // The newest request of a peer replaces its earlier pending request.
        std::erase_if(upstream.pendingRequests,
                      [&from](const PendingRequest &entry) { return entry.peer == from; });
        if (granted < wanted) {
            upstream.pendingRequests.push_back({from, wanted - granted});
        }
    }
    if (!grant.entries.empty()) {
        outbox.emplace_back(from, std::move(grant));
    }
}

void SlotBroker::on(const VmId &from, const SlotGrant &message, Outbox &outbox)
{
    SlotRelease unwanted;
    for (const SlotEntry &it : message.entries) {
        const auto known = m_upstreams.find(it.upstream);
        if (known != m_upstreams.end() && known->second.dispatcher == from) {
            known->second.held = std::min(known->second.held + it.count, known->second.slots);
        } else {
            unwanted.entries.push_back({it.upstream, it.count, 0});
        }
    }
    if (!unwanted.entries.empty()) {
        outbox.emplace_back(from, std::move(unwanted));
    }
}

void SlotBroker::on(const VmId &from, const SlotRelease &message, Outbox &outbox)
{
    for (const SlotEntry &it : message.entries) {
        const auto known = m_upstreams.find(it.upstream);
        if (known == m_upstreams.end()) {
            continue;
        }
        const auto granted = known->second.granted.find(from);
        if (granted == known->second.granted.end()) {
            continue;
        }
        granted->second -= std::min(granted->second, it.count);
        if (granted->second == 0) {
            known->second.granted.erase(granted);
        }
        grantPendingRequests(it.upstream, known->second, outbox);
    }
}

std::uint32_t SlotBroker::freeSlots(const Upstream &upstream) const
{
    std::uint32_t taken = upstream.used;
    if (upstream.dispatcher == m_self) {
        taken += upstream.usedUnderEarlierDispatcher;
        for (const auto &[vm, count] : upstream.granted) {
            taken += count;
        }
    }
    const std::uint32_t total = upstream.dispatcher == m_self ? upstream.slots : upstream.held;
    return total > taken ? total - taken : 0;
}

void SlotBroker::grantPendingRequests(const UpstreamId &id, Upstream &upstream, Outbox &outbox)
{
    while (!upstream.pendingRequests.empty() && freeSlots(upstream) > 0) {
        PendingRequest &first = upstream.pendingRequests.front();
        const std::uint32_t count = std::min(first.count, freeSlots(upstream));
        upstream.granted[first.peer] += count;
        outbox.emplace_back(first.peer, SlotGrant{{{id, count, 0}}});
        first.count -= count;
        if (first.count == 0) {
            upstream.pendingRequests.pop_front();
        }
    }
}

void SlotBroker::reassignDispatchers()
{
    const auto isPresent = [this](const VmId &vm) {
        return std::ranges::find(m_vms, vm) != m_vms.end();
    };
    for (auto &[id, it] : m_upstreams) {
        std::erase_if(it.granted, [&](const auto &entry) { return !isPresent(entry.first); });
        std::erase_if(it.pendingRequests,
                      [&](const PendingRequest &entry) { return !isPresent(entry.peer); });
        const VmId &now = dispatchingVm(id, m_vms);
        if (now == it.dispatcher) {
            continue;
        }
        it.dispatcher = now;
        it.granted.clear();
        it.pendingRequests.clear();
        it.usedUnderEarlierDispatcher += it.used;
        it.used = 0;
        it.held = 0;
    }
}

} // namespace rattandock::core
