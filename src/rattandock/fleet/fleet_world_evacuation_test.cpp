// The operator's requests for evacuations in the simulated fleet.
#include <algorithm>

#include "fleet_world_test.hpp"

namespace rattandock::fleet::test {

namespace {

/// Pause of a VM after a failed call.
constexpr Duration storeRetryPause = std::chrono::milliseconds{250};
/// Share of answers to a frozen VM that are lost, because its connection ended meanwhile.
constexpr double answerLostWhileFrozen = 0.5;

} // namespace

void FleetWorld::requestEvacuation(const ZoneId &zone)
{
    if (m_evacuatedSince.emplace(zone, m_now).second) {
        trace("the operator evacuates ", zone);
        ++m_evacuationsRequested;
        m_operatorVersion = ++m_storeVersion;
    }
}

void FleetWorld::withdrawEvacuation(const ZoneId &zone)
{
    if (m_evacuatedSince.erase(zone) > 0) {
        trace("the operator no longer evacuates ", zone);
        m_operatorVersion = ++m_storeVersion;
    }
}

void FleetWorld::callOperatorTable(std::size_t n, std::uint64_t process)
{
    Vm &vm = m_vms[n];
    if (vm.process != process || !vm.dispatcher) {
        return;
    }
    if (m_now < vm.frozenUntil) {
        schedule(vm.frozenUntil, [this, n, process] { callOperatorTable(n, process); });
        return;
    }
    // The first call reads the whole table and does not wait.
    const Duration wait =
            vm.operatorVersion == 0 ? Duration{} : vm.dispatcher->evacuationReadWait(m_now);
    vm.operatorCall = OperatorCall{process, m_now, wait};
}

void FleetWorld::advanceOperatorTable()
{
    const double tickSeconds = static_cast<double>(tick.count()) / 1e6;
    if (storeIsUp() && drawUniform() < m_faults.evacuation * tickSeconds) {
        const ZoneId zone{drawUniform() < 0.5 ? "a" : "b"};
        m_evacuatedSince.contains(zone) ? withdrawEvacuation(zone) : requestEvacuation(zone);
    }
    if (drawUniform() < m_faults.storeReject * tickSeconds) {
        Vm &vm = m_vms[static_cast<std::size_t>(
                drawDuration(Duration{0}, Duration{vmCount - 1}).count())];
        trace("the store rejects ", vm.id);
        vm.rejectedUntil = std::max(vm.rejectedUntil, m_now + drawDuration(500ms, 8s));
    }
    for (std::size_t n = 0; n < vmCount; ++n) {
        Vm &vm = m_vms[n];
        if (!vm.dispatcher || !canReadStore(n)) {
            vm.canReadSince.reset();
        } else if (!vm.canReadSince) {
            vm.canReadSince = m_now;
        }
        if (!vm.operatorCall) {
            continue;
        }
        const OperatorCall call = *vm.operatorCall;
        if (call.process != vm.process || !vm.dispatcher) {
            vm.operatorCall.reset();
        } else if (!canReadStore(n)) {
            if (m_now >= call.sentAt + call.wait + storeCallLimit) {
                vm.operatorCall.reset();
                post(n, call.process, EvacuationsReadFailed{call.sentAt}, Duration{});
                schedule(m_now + storeRetryPause,
                         [this, n, call] { callOperatorTable(n, call.process); });
            }
        } else if (m_operatorVersion > vm.operatorVersion || vm.operatorVersion == 0
                   || m_now >= call.sentAt + call.wait) {
            vm.operatorCall.reset();
            if (m_now < vm.frozenUntil && drawUniform() < answerLostWhileFrozen) {
                post(n, call.process, EvacuationsReadFailed{call.sentAt}, Duration{});
                schedule(vm.frozenUntil + storeRetryPause,
                         [this, n, call] { callOperatorTable(n, call.process); });
                continue;
            }
            vm.operatorVersion = m_storeVersion;
            EvacuationsRead read{vm.operatorVersion, {}, call.sentAt};
            for (const auto &[zone, since] : m_evacuatedSince) {
                read.zones.insert(zone);
            }
            const Duration delay = drawUniform() < m_faults.storeSlow ? drawDuration(100ms, 650ms)
                                                                      : drawDuration(1ms, 8ms);
            post(n, call.process, std::move(read), delay);
            schedule(m_now + delay, [this, n, call] { callOperatorTable(n, call.process); });
        }
    }
}

void FleetWorld::checkEvacuation(std::size_t n, const Upstream &upstream)
{
    const auto evacuated = m_evacuatedSince.find(upstream.entry.zone);
    if (evacuated == m_evacuatedSince.end() || m_now - evacuated->second <= evacuationLimit) {
        return;
    }
    const Vm &vm = m_vms[n];
    if (!vm.canReadSince || m_now - *vm.canReadSince <= evacuationLimit) {
        ++m_startsOfCutOffVms;
        return;
    }
    reportViolation("a task starts in zone " + upstream.entry.zone.value() + " "
                    + std::to_string(toMilliseconds(m_now - evacuated->second))
                    + " ms after the request of its evacuation by " + vm.id.value());
}

} // namespace rattandock::fleet::test
