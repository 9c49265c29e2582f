#pragma once

#include <deque>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "rattandock/core/job_handle.hpp"
#include "rattandock/core/slot_index.hpp"

namespace rattandock::core {

/// Determines which tasks an upstream can receive.
enum class HealthState : std::uint8_t {
    Healthy,
    /// Receives no tasks until its pause has ended.
    Ejected,
    /// Receives a single task as a probe.
    ProbeDue,
    /// Receives no further task until its probe has ended.
    Probing,
};

/// Ejects upstreams that fail repeatedly and restores them after a successful probe.
///
/// Five consecutive failures across at least two jobs eject an upstream. Failures of a job that
/// failed on three upstreams and succeeded on none are attributed to the job and don't count,
/// unless the upstream's recent failures, with no success between them, come from five different
/// jobs. Thread safety: none.
class UpstreamHealth
{
public:
    enum class Change : std::uint8_t { None, Ejected, Restored };

    HealthState state(UpstreamIndex upstream) const;

    /// `mayEject` is false if the ejection limit of the availability zone has been reached.
    Change recordFailure(UpstreamIndex upstream, JobHandle job, bool mayEject, TimePoint now);
    Change recordSuccess(UpstreamIndex upstream, JobHandle job);
    /// Records an attempt whose outcome doesn't indicate the upstream's health, such as a withdrawn
    /// one. If it was a probe, a new probe becomes due.
    void recordInconclusive(UpstreamIndex upstream);

    /// Precondition: the state is ProbeDue.
    void probeStarted(UpstreamIndex upstream);

    /// Sets upstreams whose pause has ended to `ProbeDue` and appends them to `due`.
    void endExpiredPauses(TimePoint now, std::vector<UpstreamIndex> &due);
    /// Returns the earliest end of a pause, or `std::nullopt` if no upstream is paused.
    std::optional<TimePoint> nextPauseEnd() const;

    /// Resets the upstream to healthy with no failure history.
    void reset(UpstreamIndex upstream);

private:
    struct Entry
    {
        HealthState state = HealthState::Healthy;
        /// Jobs of the most recent consecutive failures, newest last.
        std::vector<JobHandle> failures;
        Duration pause{};
        TimePoint pauseEnd;
    };
    struct JobHistory
    {
        std::vector<UpstreamIndex> failedOn;
        bool succeeded = false;
    };

    Entry &entryOf(UpstreamIndex upstream);
    JobHistory &historyOf(JobHandle job);
    bool isJobAtFault(JobHandle job) const;
    bool meetsEjectionThreshold(const Entry &entry) const;
    void eject(UpstreamIndex upstream, Entry &entry, TimePoint now);

    std::vector<Entry> m_entries;
    std::set<std::pair<TimePoint, UpstreamIndex>> m_pauses;
    std::unordered_map<JobHandle, JobHistory> m_jobs;
    std::deque<JobHandle> m_jobsByAge;
};

} // namespace rattandock::core
