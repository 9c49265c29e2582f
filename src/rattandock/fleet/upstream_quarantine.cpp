#include "rattandock/fleet/upstream_quarantine.hpp"

#include <algorithm>

namespace rattandock::fleet {

namespace {

/// Number of consecutive jobs that must fail on an upstream before it is quarantined. Tasks fail
/// through their own fault in 0.2% of runs, so two consecutive failures by chance are rare.
constexpr unsigned failedJobsToQuarantine = 2;
/// First and longest pause before a probe. Faulty upstreams recover within seconds.
constexpr Duration firstPause = std::chrono::milliseconds{700};
constexpr Duration lastPause = std::chrono::seconds{4};

} // namespace

UpstreamQuarantine::Change UpstreamQuarantine::succeeded(const UpstreamId &upstream)
{
    const auto it = m_records.find(upstream);
    if (it == m_records.end()) {
        return Change::None;
    }
    const bool wasQuarantined = it->second.isQuarantined;
    m_records.erase(it);
    return wasQuarantined ? Change::Restored : Change::None;
}

UpstreamQuarantine::Change UpstreamQuarantine::failed(const UpstreamId &upstream, JobNumber job,
                                                      TimePoint now)
{
    Record &record = m_records[upstream];
    if (record.isQuarantined) {
        if (record.isProbing) {
            record.isProbing = false;
            record.pause = std::min(record.pause * 2, lastPause);
            record.probeAt = now + record.pause;
        }
        return Change::None;
    }
    if (record.lastJob != job) {
        record.lastJob = job;
        ++record.failedJobs;
    }
    if (record.failedJobs < failedJobsToQuarantine) {
        return Change::None;
    }
    record.isQuarantined = true;
    record.pause = firstPause;
    record.probeAt = now + record.pause;
    return Change::Quarantined;
}

void UpstreamQuarantine::started(const UpstreamId &upstream)
{
    if (const auto it = m_records.find(upstream);
        it != m_records.end() && it->second.isQuarantined) {
        it->second.isProbing = true;
    }
}

void UpstreamQuarantine::endedInconclusively(const UpstreamId &upstream)
{
    if (const auto it = m_records.find(upstream); it != m_records.end()) {
        it->second.isProbing = false;
    }
}

bool UpstreamQuarantine::mayStart(const UpstreamId &upstream, TimePoint now) const
{
    const auto it = m_records.find(upstream);
    return it == m_records.end() || !it->second.isQuarantined
           || (!it->second.isProbing && now >= it->second.probeAt);
}

} // namespace rattandock::fleet
