#include "rattandock/fleet/fleet_dispatcher.hpp"

#include <algorithm>

namespace rattandock::fleet {

namespace {

/// Interval of the checks for deadlines, overdue runs and missing upstreams while there are jobs.
constexpr Duration housekeepingInterval = std::chrono::milliseconds{20};

/// Returns true if the event can add capacity by itself, without a change to a job or a run.
bool mayChangeCapacity(const FleetEvent &event)
{
    return std::holds_alternative<UpstreamListRead>(event)
           || std::holds_alternative<UpstreamListReadFailed>(event)
           || std::holds_alternative<EvacuationsRead>(event)
           || std::holds_alternative<EvacuationsReadFailed>(event)
           || std::holds_alternative<EvacuationStateReceived>(event)
           || std::holds_alternative<RunReportReceived>(event)
           || std::holds_alternative<PeerLinkChanged>(event)
           || std::holds_alternative<PeerCapacityReported>(event);
}

} // namespace

FleetDispatcher::FleetDispatcher(FleetOptions options)
    : m_options(std::move(options))
    , m_members(m_options.memberTimeout)
    , m_sharedRoom(m_options.zone)
{
}

void FleetDispatcher::handle(const FleetEvent &event, TimePoint now, FleetActions &actions)
{
    if (!m_startedAt) {
        m_startedAt = now;
        m_nextAssignment = now + m_options.assignmentInterval;
    }
    std::visit([&](const auto &it) { handleEvent(it, now, actions); }, event);
    m_isDispatchDue = m_isDispatchDue || mayChangeCapacity(event);
    const bool isHousekeepingDue = now >= m_nextHousekeeping;
    if (isHousekeepingDue) {
        m_nextHousekeeping = now + housekeepingInterval;
        m_isDispatchDue = true;
        returnUnstartedTasks(now, actions);
        withdrawUnansweredOffers(now, actions);
        expireJobs(now, actions);
        handleOverdueRuns(now, actions);
        expireUnlisted(now, actions);
        m_endingRuns.expire(now);
        refuseUnservedJobs(now, actions);
        updateSuspicions(now, actions);
        m_warmUp.expire(now);
    }
    stepLedgers(now, actions);
    dispatch(now, actions);
    if (isHousekeepingDue) {
        reportScarceRoom(now, actions);
    }
    if (now >= m_nextAssignment) {
        m_nextAssignment = now + m_options.assignmentInterval;
        if (m_isAssignmentDue) {
            updateAssignment(now, actions);
        }
    }
}

std::optional<TimePoint> FleetDispatcher::nextTimer() const
{
    if (!m_startedAt) {
        return std::nullopt;
    }
    TimePoint next = m_nextAssignment;
    if (!m_jobs.empty()) {
        next = std::min(next, m_nextHousekeeping);
    }
    for (const auto &[id, kept] : m_keptUpstreams) {
        if (const auto due = kept.ledger.nextTimer()) {
            next = std::min(next, *due);
        }
    }
    return next;
}

FleetStatus FleetDispatcher::status() const
{
    FleetStatus status{m_keptUpstreams.size(), m_listedUpstreams.size(), m_jobs.size(),      0, 0,
                       m_linkedVms.size(),     m_stopAt.has_value(),     m_endingRuns.size()};
    for (const auto &[number, job] : m_jobs) {
        status.waitingTasks += job.waiting;
    }
    for (const auto &[id, kept] : m_keptUpstreams) {
        status.runs += kept.ledger.runCount();
    }
    for (const auto &[zone, since] : m_evacuatedSince) {
        status.evacuations.push_back({zone, since});
    }
    if (m_evacuations.asOf() != TimePoint::min()) {
        status.evacuationsAsOf = m_evacuations.asOf();
    }
    status.limitedUpstreams = m_warmUp.limitedCount();
    return status;
}

CapacityReport FleetDispatcher::roomReport(TimePoint now) const
{
    CapacityReport report;
    if (m_stopAt) {
        return report;
    }
    for (const auto &[id, kept] : m_keptUpstreams) {
        if (!mayPlaceOn(kept, now)) {
            continue;
        }
        const UpstreamEntry &entry = kept.ledger.entry();
        const auto percent = static_cast<std::uint32_t>(100 * runFactor(entry));
        report.usableCpu += entry.capacity.cpu.value();
        report.fastestPercent =
                report.fastestPercent == 0 ? percent : std::min(report.fastestPercent, percent);
        const std::uint32_t free = m_warmUp.reportedCpu(id, entry.capacity, kept.ledger.freeRoom(),
                                                        kept.ledger.runCount() > 0);
        if (free > 0) {
            report.free.push_back({free, percent});
        }
    }
    limitReportedUpstreams(report.free);
    report.queuedWork = static_cast<std::uint64_t>(queuedWork(TimePoint::max()));
    return report;
}

bool FleetDispatcher::canAcceptJobs() const
{
    const auto acceptsStarts = [this](const auto &it) {
        const UpstreamLedger &ledger = it.second.ledger;
        return ledger.takesOrders() && !m_evacuations.isEvacuated(ledger.entry().zone);
    };
    return std::ranges::any_of(m_keptUpstreams, acceptsStarts) || m_sharedRoom.usableCpu() > 0;
}

bool FleetDispatcher::isStopped() const
{
    return m_stopAt && m_jobs.empty() && m_keptUpstreams.empty() && m_zonesBeingWritten.empty();
}

bool FleetDispatcher::isInOwnZone(const VmId &vm) const
{
    const MemberRow *const row = m_members.find(vm);
    return row != nullptr && row->zone == m_options.zone;
}

std::vector<VmId> FleetDispatcher::linkedVmsInOwnZone() const
{
    std::vector<VmId> result;
    std::ranges::copy_if(m_linkedVms, std::back_inserter(result),
                         [this](const VmId &it) { return isInOwnZone(it); });
    return result;
}

std::vector<VmId> FleetDispatcher::linkedVmsInOtherZones(std::uint64_t revision) const
{
    std::vector<VmId> result;
    std::ranges::copy_if(m_linkedVms, std::back_inserter(result), [&](const VmId &it) {
        const auto known = m_peerRevisions.find(it);
        return known != m_peerRevisions.end() && known->second >= revision && !isInOwnZone(it);
    });
    return result;
}

bool FleetDispatcher::isLinkFresh(const VmId &vm) const
{
    return m_linkedVms.contains(vm) && !m_staleLinks.contains(vm);
}

const UpstreamEntry *FleetDispatcher::findKeptUpstream(const UpstreamId &id) const
{
    const auto it = m_keptUpstreams.find(id);
    return it == m_keptUpstreams.end() ? nullptr : &it->second.ledger.entry();
}

void FleetDispatcher::handleEvent(const PeerLinkChanged &event, TimePoint now,
                                  FleetActions &actions)
{
    actions.emplace_back(FleetLogRecord{
            FleetLogRecordKind::PeerLink, event.isUp ? "up" : "down", {}, event.vm.value()});
    m_members.setLink(event.vm, event.isUp);
    m_isAssignmentDue = true;
    m_staleLinks.erase(event.vm);
    m_evacuationsSentTo.erase(event.vm);
    if (event.isUp) {
        m_linkedVms.insert(event.vm);
        sendHeldRefusals(event.vm, actions);
        return;
    }
    m_linkedVms.erase(event.vm);
    m_sharedRoom.remove(event.vm);
    m_peerRevisions.erase(event.vm);
    endOffersOf(event.vm, now, actions);
}

void FleetDispatcher::handleEvent(const PeerInputClosed &event, TimePoint now,
                                  FleetActions &actions)
{
    // The offering process may be gone. The next one uses the same numbers for other offers.
    m_heldRefusals.erase(event.vm);
    // Answers to further offers could not arrive before the VM connects again.
    m_sharedRoom.remove(event.vm);
    endOffersOf(event.vm, now, actions);
}

void FleetDispatcher::handleEvent(const PeerCapacityReported &event, TimePoint now,
                                  FleetActions &actions)
{
    if (event.incarnation
        && m_members.recordHeartbeat(event.vm, *event.incarnation, event.draining)) {
        m_isAssignmentDue = true;
    }
    const bool isLinked = m_linkedVms.contains(event.vm);
    if (isLinked) {
        m_peerRevisions[event.vm] = event.revision;
    }
    if (event.draining || !isLinked) {
        m_sharedRoom.remove(event.vm);
    } else {
        m_sharedRoom.update(event.vm, event.zone, event.room, knowsReturns(event.vm));
    }
    sendEvacuations(event.vm, now, actions);
}

void FleetDispatcher::handleEvent(const StopRequested & /*event*/, TimePoint now,
                                  FleetActions & /*actions*/)
{
    if (!m_stopAt) {
        m_stopAt = now + m_options.stopLimit;
        m_isAssignmentDue = true;
        m_nextAssignment = now;
    }
}

void FleetDispatcher::handleEvent(const ProcessPaused &event, TimePoint now, FleetActions &actions)
{
    actions.emplace_back(FleetLogRecord{FleetLogRecordKind::Paused,
                                        "paused",
                                        {},
                                        std::to_string(toMilliseconds(event.length)) + " ms, "
                                                + std::to_string(m_jobs.size()) + " jobs"});
    m_pausedAt = now;
    m_staleLinks = m_linkedVms;
    // Each other VM that ran has seen this one as silent and ended what the two shared. One that
    // paused too would otherwise keep a link whose messages count as outdated here.
    actions.emplace_back(ResetPeerConnections{});
    m_hasListReadFailed = false;
    m_evacuations.recordPause(now);
    m_listAsOf = TimePoint::min();
    std::vector<JobNumber> all;
    for (const auto &[number, job] : m_jobs) {
        all.push_back(number);
    }
    // Callers may have resubmitted their jobs to other VMs during the pause.
    for (const JobNumber it : all) {
        abortJob(it, TurnAwayReason::Paused, BreakOffReason::Paused, now, actions);
    }
}

void FleetDispatcher::handleEvent(const TimerDue & /*event*/, TimePoint /*now*/,
                                  FleetActions & /*actions*/)
{
}

} // namespace rattandock::fleet
