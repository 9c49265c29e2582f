#include "rattandock/fleet/upstream_quarantine.hpp"

#include <algorithm>
#include <limits>

namespace rattandock::fleet {

namespace {

/// Number of consecutive jobs that must fail on an upstream before it is quarantined. Tasks fail
/// through their own fault in 0.2% of runs, so two consecutive failures by chance are rare.
constexpr unsigned failedJobsToQuarantine = 2;
/// First and longest pause before a probe. Faulty upstreams recover within seconds.
constexpr Duration firstPause = std::chrono::milliseconds{700};
constexpr Duration lastPause = std::chrono::seconds{4};
/// Longest pause while most upstreams are quarantined. It is about the time of a short task, so the
/// capacity is used again soon, and an upstream that fails at once gets ten tasks a second.
constexpr Duration widespreadPause = std::chrono::milliseconds{100};
/// Concurrent runs after the first successful probe.
constexpr std::uint32_t firstRunLimit = 2;
/// Limit from which an upstream is trusted again. No upstream has more slots.
constexpr std::uint32_t trustedRunLimit = 8;
/// With fewer upstreams, more than half of them fail by chance when 15% are faulty: 1.2% of the
/// cases with four, 0.3% with eight.
constexpr std::size_t minUpstreamsToCompare = 8;

} // namespace

bool UpstreamQuarantine::isWidespread(std::size_t quarantined, std::size_t kept)
{
    return kept >= minUpstreamsToCompare && 2 * quarantined > kept;
}

const UpstreamQuarantine::Record *UpstreamQuarantine::find(const UpstreamId &upstream) const
{
    const auto it = m_records.find(upstream);
    return it == m_records.end() ? nullptr : &it->second;
}

void UpstreamQuarantine::quarantine(Record &record)
{
    UpstreamTrust &trust = record.trust;
    trust.level = TrustLevel::Quarantined;
    trust.runLimit = 0;
    if (trust.pause == Duration{}) {
        trust.pause = firstPause;
    } else if (!record.isWidespread) {
        trust.pause = std::min(trust.pause * 2, lastPause);
    }
    record.probe.reset();
}

UpstreamQuarantine::Change UpstreamQuarantine::succeeded(const UpstreamId &upstream)
{
    const auto it = m_records.find(upstream);
    if (it == m_records.end()) {
        return Change::None;
    }
    Record &record = it->second;
    UpstreamTrust &trust = record.trust;
    record.failedJobs = 0;
    record.lastJob.reset();
    switch (trust.level) {
    case TrustLevel::Trusted:
        if (trust.pause == Duration{}) {
            m_records.erase(it);
        }
        return Change::None;
    case TrustLevel::Quarantined:
        trust.level = TrustLevel::Limited;
        trust.runLimit = firstRunLimit;
        record.probe.reset();
        return Change::Restored;
    case TrustLevel::Limited:
        trust.runLimit *= 2;
        if (trust.runLimit >= trustedRunLimit) {
            // Keeps the pause, which is doubled if the upstream fails again soon.
            trust.level = TrustLevel::Trusted;
            trust.runLimit = 0;
            record.limitedRuns.clear();
        }
        return Change::None;
    }
    return Change::None;
}

UpstreamQuarantine::Change UpstreamQuarantine::failed(const UpstreamId &upstream, JobNumber job,
                                                      TimePoint now)
{
    Record &record = m_records[upstream];
    if (record.trust.level == TrustLevel::Trusted) {
        if (now - record.lastFailure >= healthyTime) {
            record.trust.pause = Duration{};
        }
        record.lastFailure = now;
        if (record.lastJob != job) {
            record.lastJob = job;
            ++record.failedJobs;
        }
        if (record.failedJobs < failedJobsToQuarantine) {
            return Change::None;
        }
        quarantine(record);
        return Change::Quarantined;
    }
    const bool wasLimited = record.trust.level == TrustLevel::Limited;
    const bool counts =
            wasLimited ? std::ranges::any_of(record.limitedRuns,
                                             [job](const TaskRef &it) { return it.job == job; })
                       : record.probe && record.probe->job == job;
    if (!counts) {
        // The run was started before the quarantine and shows nothing new.
        return Change::None;
    }
    record.lastFailure = now;
    quarantine(record);
    return wasLimited ? Change::Quarantined : Change::None;
}

void UpstreamQuarantine::started(const UpstreamId &upstream, const TaskRef &run)
{
    if (const auto it = m_records.find(upstream);
        it != m_records.end() && it->second.trust.level != TrustLevel::Trusted) {
        it->second.limitedRuns.insert(run);
        if (it->second.trust.level == TrustLevel::Quarantined) {
            it->second.probe = run;
        }
    }
}

void UpstreamQuarantine::ended(const UpstreamId &upstream, const TaskRef &run)
{
    if (const auto it = m_records.find(upstream); it != m_records.end()) {
        it->second.limitedRuns.erase(run);
    }
}

void UpstreamQuarantine::setWidespread(const UpstreamId &upstream, bool isWidespread)
{
    if (const auto it = m_records.find(upstream); it != m_records.end()) {
        it->second.isWidespread = isWidespread;
    }
}

std::size_t UpstreamQuarantine::startsLeft(const UpstreamId &upstream, TimePoint now) const
{
    const Record *const record = find(upstream);
    if (record == nullptr || record->trust.level == TrustLevel::Trusted) {
        return std::numeric_limits<std::size_t>::max();
    }
    const std::size_t runs = record->limitedRuns.size();
    if (record->trust.level == TrustLevel::Limited) {
        return record->trust.runLimit - std::min<std::size_t>(runs, record->trust.runLimit);
    }
    const Duration pause = record->isWidespread ? std::min(record->trust.pause, widespreadPause)
                                                : record->trust.pause;
    return runs == 0 && now >= record->lastFailure + pause ? 1 : 0;
}

UpstreamTrust UpstreamQuarantine::trust(const UpstreamId &upstream) const
{
    const Record *const record = find(upstream);
    return record == nullptr ? UpstreamTrust{} : record->trust;
}

std::optional<TimePoint> UpstreamQuarantine::lastFailure(const UpstreamId &upstream) const
{
    const Record *const record = find(upstream);
    return record == nullptr ? std::nullopt : std::optional{record->lastFailure};
}

bool UpstreamQuarantine::adopt(const UpstreamId &upstream, const UpstreamTrust &trust,
                               TimePoint lastFailure)
{
    const auto [it, isNew] = m_records.try_emplace(upstream);
    if (!isNew) {
        return false;
    }
    Record &record = it->second;
    record.trust = trust;
    record.trust.pause = std::min(trust.pause, lastPause);
    if (trust.level == TrustLevel::Limited) {
        record.trust.runLimit = std::clamp(trust.runLimit, firstRunLimit, trustedRunLimit);
    }
    record.lastFailure = lastFailure;
    return true;
}

} // namespace rattandock::fleet
