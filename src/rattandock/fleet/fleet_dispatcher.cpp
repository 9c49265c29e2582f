#include "rattandock/fleet/fleet_dispatcher.hpp"

#include <algorithm>

namespace rattandock::fleet {

namespace {

/// Deadlines and overdue runs are looked for this often while there are jobs.
constexpr Duration housekeepingInterval = std::chrono::milliseconds{20};

} // namespace

FleetDispatcher::FleetDispatcher(FleetOptions options)
    : m_options(std::move(options))
    , m_members(m_options.memberSilence)
    , m_shared(m_options.zone)
{
}

void FleetDispatcher::handle(const FleetEvent &event, TimePoint now, FleetActions &actions)
{
    if (!m_startedAt) {
        m_startedAt = now;
        m_nextAssignment = now + m_options.assignmentInterval;
    }
    std::visit([&](const auto &it) { on(it, now, actions); }, event);
    if (now >= m_nextHousekeeping) {
        m_nextHousekeeping = now + housekeepingInterval;
        expireJobs(now, actions);
        judgeRuns(now, actions);
        expireUnlisted(now, actions);
    }
    stepLedgers(now, actions);
    dispatch(now, actions);
    if (now >= m_nextAssignment) {
        m_nextAssignment = now + m_options.assignmentInterval;
        if (m_isAssignmentDue) {
            considerAssignment(now, actions);
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
    for (const auto &[id, kept] : m_kept) {
        if (const auto due = kept.ledger.nextTimer()) {
            next = std::min(next, *due);
        }
    }
    return next;
}

FleetStatus FleetDispatcher::status() const
{
    FleetStatus status{m_kept.size(),   m_listed.size(),     m_jobs.size(), 0, 0,
                       m_linked.size(), m_stopAt.has_value()};
    for (const auto &[number, job] : m_jobs) {
        status.waitingTasks += job.waiting;
    }
    for (const auto &[id, kept] : m_kept) {
        status.runs += kept.ledger.runCount();
    }
    return status;
}

RoomReport FleetDispatcher::roomReport(TimePoint now) const
{
    RoomReport report;
    if (m_stopAt) {
        return report;
    }
    for (const auto &[id, kept] : m_kept) {
        if (!mayPlaceOn(kept, now)) {
            continue;
        }
        const UpstreamEntry &entry = kept.ledger.entry();
        const auto percent = static_cast<std::uint32_t>(100 * m_times.factor(id, kindOf(entry)));
        report.usableCpu += entry.capacity.cpu.value();
        report.fastestPercent =
                report.fastestPercent == 0 ? percent : std::min(report.fastestPercent, percent);
        if (const std::uint32_t free = kept.ledger.freeRoom().cpu.value(); free > 0) {
            report.free.push_back({free, percent});
        }
    }
    report.queuedWork = static_cast<std::uint64_t>(queuedWork(TimePoint::max()));
    return report;
}

bool FleetDispatcher::canServe() const
{
    const auto takesOrders = [](const auto &it) { return it.second.ledger.takesOrders(); };
    return std::ranges::any_of(m_kept, takesOrders) || m_shared.usableCpu() > 0;
}

bool FleetDispatcher::isStopped() const
{
    return m_stopAt && m_jobs.empty() && m_kept.empty() && m_writing.empty();
}

std::vector<VmId> FleetDispatcher::linkedInZone() const
{
    std::vector<VmId> result;
    std::ranges::copy_if(m_linked, std::back_inserter(result), [&](const VmId &it) {
        const MemberRow *const row = m_members.find(it);
        return row != nullptr && row->zone == m_options.zone;
    });
    return result;
}

bool FleetDispatcher::isLinkFresh(const VmId &vm) const
{
    return m_linked.contains(vm) && !m_staleLinks.contains(vm);
}

const UpstreamEntry *FleetDispatcher::keptUpstream(const UpstreamId &id) const
{
    const auto it = m_kept.find(id);
    return it == m_kept.end() ? nullptr : &it->second.ledger.entry();
}

void FleetDispatcher::on(const PeerLink &event, TimePoint now, FleetActions &actions)
{
    actions.emplace_back(
            FleetNote{FleetNoteKind::PeerLink, event.isUp ? "up" : "down", {}, event.vm.value()});
    m_members.setLink(event.vm, event.isUp);
    m_isAssignmentDue = true;
    m_staleLinks.erase(event.vm);
    if (event.isUp) {
        m_linked.insert(event.vm);
        return;
    }
    m_linked.erase(event.vm);
    m_shared.forget(event.vm);
    std::vector<JobNumber> lost;
    std::erase_if(m_offers, [&](const auto &it) {
        if (it.second.vm == event.vm) {
            lost.push_back(it.second.job);
            if (const auto job = m_jobs.find(it.second.job); job != m_jobs.end()) {
                actions.emplace_back(FleetNote{FleetNoteKind::OfferEnded, "link-down",
                                               job->second.spec.id, event.vm.value()});
            }
        }
        return it.second.vm == event.vm;
    });
    for (const JobNumber it : lost) {
        giveUp(it, TurnedAway::Overload, BrokenOff::PeerLost, now, actions);
    }
    std::vector<JobNumber> taken;
    for (const auto &[offer, job] : m_jobOfOffer) {
        if (offer.first == event.vm) {
            taken.push_back(job);
        }
    }
    // The other VM answers its callers now, and they may come back with the same id.
    for (const JobNumber it : taken) {
        endJob(it, JobBrokenOff{BrokenOff::PeerLost}, now, actions);
    }
}

void FleetDispatcher::on(const PeerRoomSeen &event, TimePoint /*now*/, FleetActions & /*actions*/)
{
    if (event.incarnation && m_members.recordHeartbeat(event.vm, *event.incarnation, event.draining)) {
        m_isAssignmentDue = true;
    }
    if (event.draining || !m_linked.contains(event.vm)) {
        m_shared.forget(event.vm);
    } else {
        m_shared.report(event.vm, event.zone, event.room);
    }
}

void FleetDispatcher::on(const StopRequested & /*event*/, TimePoint now, FleetActions & /*actions*/)
{
    if (!m_stopAt) {
        m_stopAt = now + m_options.stopLimit;
        m_isAssignmentDue = true;
        m_nextAssignment = now;
    }
}

void FleetDispatcher::on(const ProcessPaused &event, TimePoint now, FleetActions &actions)
{
    actions.emplace_back(FleetNote{FleetNoteKind::Paused,
                                   "paused",
                                   {},
                                   std::to_string(toMilliseconds(event.length)) + " ms, "
                                           + std::to_string(m_jobs.size()) + " jobs"});
    m_pausedAt = now;
    m_staleLinks = m_linked;
    m_isListUnread = false;
    m_listAsOf = TimePoint::min();
    std::vector<JobNumber> all;
    for (const auto &[number, job] : m_jobs) {
        all.push_back(number);
    }
    // Callers have gone elsewhere meanwhile, and their jobs may run there.
    for (const JobNumber it : all) {
        giveUp(it, TurnedAway::Paused, BrokenOff::Paused, now, actions);
    }
}

void FleetDispatcher::on(const TimerDue & /*event*/, TimePoint /*now*/, FleetActions & /*actions*/)
{
}

} // namespace rattandock::fleet
