// Evacuation of availability zones in a FleetDispatcher.
#include <algorithm>

#include "rattandock/fleet/fleet_dispatcher.hpp"

namespace rattandock::fleet {

namespace {

/// A message can wait this long in a buffer of this process without a pause being noticed.
constexpr Duration maxMessageDelay = std::chrono::milliseconds{1000};
/// Bounds the age in a message, which another process computed.
constexpr Duration maxMessageAge = std::chrono::hours{1};

} // namespace

void FleetDispatcher::handleEvent(const EvacuationsRead &event, TimePoint now,
                                  FleetActions &actions)
{
    m_evacuations.recordRead(event.asOf, false);
    applyEvacuationChange(m_evacuations.update(event.version, event.zones, event.asOf), "store",
                          now, actions);
}

void FleetDispatcher::handleEvent(const EvacuationsReadFailed &event, TimePoint /*now*/,
                                  FleetActions & /*actions*/)
{
    m_evacuations.recordRead(event.sentAt, true);
}

void FleetDispatcher::handleEvent(const EvacuationStateReceived &event, TimePoint now,
                                  FleetActions &actions)
{
    const EvacuationState &state = event.state;
    // The set of an equal version is not taken: if two VMs read different sets at one version, they
    // would send them to each other without end.
    const std::set<ZoneId> zones = state.version == m_evacuations.version()
                                           ? m_evacuations.zones()
                                           : std::set(state.zones.begin(), state.zones.end());
    const TimePoint asOf = now - std::clamp(state.age, Duration{}, maxMessageAge) - maxMessageDelay;
    const auto change = m_evacuations.update(state.version, zones, asOf);
    // A link that was up before a pause can deliver a message from before it.
    if (isLinkFresh(event.from)) {
        m_evacuations.confirm();
    }
    applyEvacuationChange(change, "peer", now, actions);
}

bool FleetDispatcher::areEvacuationsUsable(TimePoint now) const
{
    return !m_options.evacuationLimit || m_evacuations.isUsable(now, *m_options.evacuationLimit);
}

void FleetDispatcher::applyEvacuationChange(const ZoneEvacuations::Change &change,
                                            std::string_view source, TimePoint now,
                                            FleetActions &actions)
{
    if (change.isEmpty()) {
        return;
    }
    for (const ZoneId &it : change.begun) {
        m_evacuatedSince[it] = now;
        actions.emplace_back(
                FleetLogRecord{FleetLogRecordKind::EvacuationRequested, source, {}, it.value()});
    }
    for (const ZoneId &it : change.ended) {
        const TimePoint since = m_evacuatedSince[it];
        const Duration length = now - since;
        m_evacuatedSince.erase(it);
        actions.emplace_back(FleetLogRecord{
                FleetLogRecordKind::EvacuationWithdrawn,
                source,
                {},
                it.value() + ", after " + std::to_string(toMilliseconds(length)) + " ms"});
        limitReturningUpstreams(it, since, now, actions);
    }
    m_evacuationsSentTo.clear();
    for (const VmId &it : m_linkedVms) {
        sendEvacuations(it, now, actions);
    }
    updateUnservedServices();
    refuseUnservedJobs(now, actions);
    if (!areKeptUpstreamsEvacuated()) {
        return;
    }
    // The VMs that offered these tasks place them elsewhere.
    std::vector<JobNumber> unstarted;
    for (const auto &[offer, number] : m_jobsByOffer) {
        if (m_jobs.at(number).isUnstarted()) {
            unstarted.push_back(number);
        }
    }
    for (const JobNumber it : unstarted) {
        abortJob(it, TurnAwayReason::NoUpstreams, BreakOffReason::DeadlinePassed, now, actions);
    }
}

void FleetDispatcher::sendEvacuations(const VmId &vm, TimePoint now, FleetActions &actions)
{
    const MemberRow *const row = m_members.find(vm);
    const bool decodes = row != nullptr && row->messageLevel >= evacuationMessageLevel
                         && m_members.isRowCurrent(vm);
    if (!decodes || !m_linkedVms.contains(vm) || !m_evacuations.isConfirmed()
        || !m_evacuationsSentTo.insert(vm).second) {
        return;
    }
    const std::set<ZoneId> &zones = m_evacuations.zones();
    const TimePoint asOf = std::max(m_evacuations.asOf(), now - maxMessageAge);
    actions.emplace_back(SendToVm{
            vm,
            EvacuationState{m_evacuations.version(), {zones.begin(), zones.end()}, now - asOf}});
}

void FleetDispatcher::updateUnservedServices()
{
    m_unservedServices.clear();
    if (m_evacuations.zones().empty()) {
        return;
    }
    std::set<ServiceId> served;
    for (const auto &[id, listed] : m_listedUpstreams) {
        const UpstreamEntry &entry = listed.entry;
        (m_evacuations.isEvacuated(entry.zone) ? m_unservedServices : served).insert(entry.service);
    }
    for (const ServiceId &it : served) {
        m_unservedServices.erase(it);
    }
}

void FleetDispatcher::refuseUnservedJobs(TimePoint now, FleetActions &actions)
{
    if (m_unservedServices.empty()) {
        return;
    }
    std::vector<JobNumber> unstarted;
    for (const auto &[number, job] : m_jobs) {
        if (job.isUnstarted() && m_unservedServices.contains(job.spec.service)) {
            unstarted.push_back(number);
        }
    }
    for (const JobNumber it : unstarted) {
        abortJob(it, TurnAwayReason::NoUpstreams, BreakOffReason::DeadlinePassed, now, actions);
    }
}

bool FleetDispatcher::areKeptUpstreamsEvacuated() const
{
    return !m_evacuations.zones().empty() && !m_keptUpstreams.empty()
           && std::ranges::all_of(m_keptUpstreams, [this](const auto &it) {
                  return m_evacuations.isEvacuated(it.second.ledger.entry().zone);
              });
}

} // namespace rattandock::fleet
