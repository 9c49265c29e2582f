#include "rattandock/core/upstream_health.hpp"

#include <algorithm>
#include <cassert>

namespace rattandock::core {

namespace {

constexpr std::size_t failuresToEject = 5;
constexpr std::size_t jobsToEject = 2;
/// Failures kept per upstream. Exceeds `failuresToEject` because some failures may be attributed to
/// their jobs.
constexpr std::size_t maxRecentFailures = 16;
constexpr std::size_t failedUpstreamsForJobFault = 3;
/// Bounds the memory for per-job failure history; the oldest entries are evicted.
constexpr std::size_t maxJobHistories = 4096;
constexpr Duration initialPause = std::chrono::seconds{1};
constexpr Duration maxPause = std::chrono::seconds{60};

std::size_t countDistinct(std::vector<JobHandle> jobs)
{
    std::ranges::sort(jobs);
    return static_cast<std::size_t>(std::unique(jobs.begin(), jobs.end()) - jobs.begin());
}

} // namespace

HealthState UpstreamHealth::state(UpstreamIndex upstream) const
{
    return upstream.value() < m_entries.size() ? m_entries[upstream.value()].state
                                               : HealthState::Healthy;
}

UpstreamHealth::Change UpstreamHealth::recordFailure(UpstreamIndex upstream, JobHandle job,
                                                     bool mayEject, TimePoint now)
{
    JobHistory &history = historyOf(job);
    if (std::ranges::find(history.failedOn, upstream) == history.failedOn.end()
        && history.failedOn.size() < failedUpstreamsForJobFault) {
        history.failedOn.push_back(upstream);
    }
    Entry &entry = entryOf(upstream);
    if (entry.state == HealthState::Probing) {
        eject(upstream, entry, now);
        return Change::None;
    }
    entry.failures.push_back(job);
    if (entry.failures.size() > maxRecentFailures) {
        entry.failures.erase(entry.failures.begin());
    }
    if (entry.state == HealthState::Healthy && mayEject && meetsEjectionThreshold(entry)) {
        eject(upstream, entry, now);
        return Change::Ejected;
    }
    return Change::None;
}

UpstreamHealth::Change UpstreamHealth::recordSuccess(UpstreamIndex upstream, JobHandle job)
{
    historyOf(job).succeeded = true;
    Entry &entry = entryOf(upstream);
    entry.failures.clear();
    if (entry.state != HealthState::Probing) {
        return Change::None;
    }
    entry.state = HealthState::Healthy;
    entry.pause = {};
    return Change::Restored;
}

void UpstreamHealth::recordInconclusive(UpstreamIndex upstream)
{
    Entry &entry = entryOf(upstream);
    if (entry.state == HealthState::Probing) {
        entry.state = HealthState::ProbeDue;
    }
}

void UpstreamHealth::probeStarted(UpstreamIndex upstream)
{
    assert(state(upstream) == HealthState::ProbeDue);
    entryOf(upstream).state = HealthState::Probing;
}

void UpstreamHealth::endExpiredPauses(TimePoint now, std::vector<UpstreamIndex> &due)
{
    while (!m_pauses.empty() && m_pauses.begin()->first <= now) {
        const UpstreamIndex upstream = m_pauses.begin()->second;
        m_pauses.erase(m_pauses.begin());
        entryOf(upstream).state = HealthState::ProbeDue;
        due.push_back(upstream);
    }
}

std::optional<TimePoint> UpstreamHealth::nextPauseEnd() const
{
    if (m_pauses.empty()) {
        return std::nullopt;
    }
    return m_pauses.begin()->first;
}

void UpstreamHealth::reset(UpstreamIndex upstream)
{
    Entry &entry = entryOf(upstream);
    m_pauses.erase({entry.pauseEnd, upstream});
    entry = {};
}

UpstreamHealth::Entry &UpstreamHealth::entryOf(UpstreamIndex upstream)
{
    if (m_entries.size() <= upstream.value()) {
        m_entries.resize(upstream.value() + 1);
    }
    return m_entries[upstream.value()];
}

UpstreamHealth::JobHistory &UpstreamHealth::historyOf(JobHandle job)
{
    const auto [it, added] = m_jobs.try_emplace(job);
    if (added) {
        m_jobsByAge.push_back(job);
        if (m_jobsByAge.size() > maxJobHistories) {
            m_jobs.erase(m_jobsByAge.front());
            m_jobsByAge.pop_front();
        }
    }
    return it->second;
}

bool UpstreamHealth::isJobAtFault(JobHandle job) const
{
    const auto it = m_jobs.find(job);
    return it != m_jobs.end() && !it->second.succeeded
           && it->second.failedOn.size() >= failedUpstreamsForJobFault;
}

bool UpstreamHealth::meetsEjectionThreshold(const Entry &entry) const
{
    if (countDistinct(entry.failures) >= failuresToEject) {
        return true;
    }
    std::vector<JobHandle> counted = entry.failures;
    std::erase_if(counted, [this](JobHandle job) { return isJobAtFault(job); });
    return counted.size() >= failuresToEject && countDistinct(counted) >= jobsToEject;
}

void UpstreamHealth::eject(UpstreamIndex upstream, Entry &entry, TimePoint now)
{
    entry.pause = std::clamp(entry.pause * 2, initialPause, maxPause);
    entry.pauseEnd = now + entry.pause;
    entry.state = HealthState::Ejected;
    entry.failures.clear();
    m_pauses.emplace(entry.pauseEnd, upstream);
}

} // namespace rattandock::core
