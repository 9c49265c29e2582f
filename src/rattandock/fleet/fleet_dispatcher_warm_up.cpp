// Cold upstreams and the return of evacuated zones in a FleetDispatcher.
#include <algorithm>

#include "rattandock/fleet/fleet_dispatcher.hpp"

namespace rattandock::fleet {

namespace {

/// Maximum number of upstreams in a message. A process that reads the whole list first may find
/// more, which the other VMs have received already.
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

void FleetDispatcher::limitReturningUpstreams(const ZoneId &zone, TimePoint since, TimePoint now,
                                              FleetActions &actions)
{
    std::size_t count = 0;
    for (const auto &[id, kept] : m_keptUpstreams) {
        // Idle time before the evacuation does not count: without one nothing is limited.
        const TimePoint idleSince = std::max(kept.idleSince, since);
        if (kept.ledger.entry().zone == zone && kept.ledger.isIdle()
            && now - idleSince >= WarmUp::minIdleTime) {
            m_warmUp.limit(id, now);
            ++count;
        }
    }
    if (count > 0) {
        actions.emplace_back(FleetLogRecord{FleetLogRecordKind::UpstreamsLimited,
                                            "zone-returned",
                                            {},
                                            zone.value() + ", upstreams " + std::to_string(count)});
    }
}

void FleetDispatcher::raiseLimit(const UpstreamId &upstream, const Task &task, Duration elapsed,
                                 TimePoint now, FleetActions &actions)
{
    // Slowness that is expected must not count as being in time.
    const double ratio = task.isColdRun ? m_warmUp.ratio() : 1;
    const Duration warm{
            static_cast<Duration::rep>(static_cast<double>(task.expected.count()) / ratio)};
    const WarmUp::Step step = m_warmUp.runEnded(upstream, task.startedAt, warm, elapsed, now);
    if (step != WarmUp::Step::None) {
        actions.emplace_back(FleetLogRecord{FleetLogRecordKind::UpstreamLimitRaised,
                                            step == WarmUp::Step::Half ? "half" : "full",
                                            {},
                                            upstream.value()});
    }
}

Resources FleetDispatcher::usableRoom(const KeptUpstream &kept) const
{
    const UpstreamLedger &ledger = kept.ledger;
    return m_warmUp.usableRoom(ledger.entry().id, ledger.entry().capacity, ledger.freeRoom(),
                               ledger.runCount() > 0);
}

double FleetDispatcher::runFactor(const UpstreamEntry &entry) const
{
    // Without a shared ratio, each upstream of a zone that returns had to be found slow by its own
    // runs, and at high load more jobs missed their deadlines than without a limit.
    const bool maybeSlow = m_warmUp.isCold(entry.id) || m_warmUp.isLimited(entry.id);
    return m_runTimes.factor(entry.id, upstreamKind(entry)) * (maybeSlow ? m_warmUp.ratio() : 1);
}

Duration FleetDispatcher::warmRunTime(const UpstreamEntry &entry, const FleetJob &job) const
{
    return m_runTimes.expected(entry.id, upstreamKind(entry), predictedRun(job));
}

} // namespace rattandock::fleet
