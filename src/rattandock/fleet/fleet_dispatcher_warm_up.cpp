// Cold upstreams and the return of evacuated zones in a FleetDispatcher.
#include <algorithm>

#include "rattandock/fleet/fleet_dispatcher.hpp"

namespace rattandock::fleet {

namespace {

/// Maximum number of upstreams in a message. A process that reads the whole list first may find
/// more, which the other VMs know already.
constexpr std::size_t maxSentUpstreams = 200;

} // namespace

bool FleetDispatcher::recordColdUpstream(const UpstreamId &upstream, TimePoint until,
                                         std::string_view source, TimePoint now,
                                         FleetActions &actions)
{
    if (!m_warmUp.setColdUntil(upstream, until, now)) {
        return false;
    }
    if (m_keptUpstreams.contains(upstream)) {
        const Duration left = std::max(m_warmUp.coldUntil(upstream), now) - now;
        actions.emplace_back(FleetLogRecord{
                FleetLogRecordKind::UpstreamCold,
                source,
                {},
                upstream.value() + ", for " + std::to_string(toMilliseconds(left)) + " ms"});
    }
    return true;
}

void FleetDispatcher::recordColdUpstreams(const std::vector<UpstreamListRead::Cold> &cold,
                                          TimePoint now, FleetActions &actions)
{
    ColdUpstreams changes;
    for (const UpstreamListRead::Cold &it : cold) {
        if (recordColdUpstream(it.upstream, it.until, "store", now, actions)
            && changes.upstreams.size() < maxSentUpstreams) {
            const Duration left = std::max(m_warmUp.coldUntil(it.upstream), now) - now;
            changes.upstreams.push_back({it.upstream, left});
        }
    }
    if (changes.upstreams.empty()) {
        return;
    }
    for (const VmId &it : linkedVmsInOwnZone()) {
        const auto revision = m_peerRevisions.find(it);
        if (revision != m_peerRevisions.end() && revision->second >= coldUpstreamsRevision) {
            actions.emplace_back(SendToVm{it, changes});
        }
    }
}

void FleetDispatcher::handleEvent(const ColdUpstreamsReceived &event, TimePoint now,
                                  FleetActions &actions)
{
    // A link from before a pause may deliver a message whose times have passed meanwhile.
    if (!isLinkFresh(event.from) || event.report.upstreams.size() > maxSentUpstreams) {
        return;
    }
    for (const ColdUpstream &it : event.report.upstreams) {
        const Duration left = std::clamp(it.left, Duration{}, WarmUp::maxTime);
        recordColdUpstream(it.upstream, now + left, "peer", now, actions);
    }
}

double FleetDispatcher::runFactor(const UpstreamEntry &entry) const
{
    return m_runTimes.factor(entry.id, upstreamKind(entry)) * m_warmUp.runTimeFactor(entry.id);
}

Duration FleetDispatcher::warmRunTime(const UpstreamEntry &entry, const FleetJob &job) const
{
    return m_runTimes.expected(entry.id, upstreamKind(entry), predictedRun(job));
}

} // namespace rattandock::fleet
