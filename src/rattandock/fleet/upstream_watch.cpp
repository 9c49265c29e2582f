#include "rattandock/fleet/upstream_watch.hpp"

#include <algorithm>

namespace rattandock::fleet {

namespace {

/// Jobs in a row that must fail on an upstream. Tasks fail by their own fault in 0.2% of runs, so
/// two in a row by chance are rare.
constexpr unsigned strikesToSetAside = 2;
/// First and longest pause before a probe: faulty upstreams recover within seconds.
constexpr Duration firstPause = std::chrono::milliseconds{700};
constexpr Duration lastPause = std::chrono::seconds{4};

} // namespace

UpstreamWatch::Change UpstreamWatch::succeeded(const UpstreamId &upstream)
{
    const auto it = m_records.find(upstream);
    if (it == m_records.end()) {
        return Change::None;
    }
    const bool wasAside = it->second.isAside;
    m_records.erase(it);
    return wasAside ? Change::Restored : Change::None;
}

UpstreamWatch::Change UpstreamWatch::failed(const UpstreamId &upstream, JobNumber job,
                                            TimePoint now)
{
    Record &record = m_records[upstream];
    if (record.isAside) {
        if (record.isProbed) {
            record.isProbed = false;
            record.pause = std::min(record.pause * 2, lastPause);
            record.probeAt = now + record.pause;
        }
        return Change::None;
    }
    if (record.lastJob != job) {
        record.lastJob = job;
        ++record.strikes;
    }
    if (record.strikes < strikesToSetAside) {
        return Change::None;
    }
    record.isAside = true;
    record.pause = firstPause;
    record.probeAt = now + record.pause;
    return Change::SetAside;
}

void UpstreamWatch::started(const UpstreamId &upstream)
{
    if (const auto it = m_records.find(upstream); it != m_records.end() && it->second.isAside) {
        it->second.isProbed = true;
    }
}

void UpstreamWatch::endedWithoutVerdict(const UpstreamId &upstream)
{
    if (const auto it = m_records.find(upstream); it != m_records.end()) {
        it->second.isProbed = false;
    }
}

bool UpstreamWatch::mayStart(const UpstreamId &upstream, TimePoint now) const
{
    const auto it = m_records.find(upstream);
    return it == m_records.end() || !it->second.isAside
           || (!it->second.isProbed && now >= it->second.probeAt);
}

} // namespace rattandock::fleet
