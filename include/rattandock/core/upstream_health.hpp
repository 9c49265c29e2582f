#pragma once

#include <deque>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "rattandock/core/job_handle.hpp"
#include "rattandock/core/slot_index.hpp"

namespace rattandock::core {

/// What an upstream may be given.
enum class HealthState : std::uint8_t {
    Healthy,
    /// Nothing until its pause is over.
    Ejected,
    /// One task, to see whether it works again.
    ProbeDue,
    /// Nothing until its probe has ended.
    Probing,
};

/// Ejects upstreams that fail repeatedly and brings them back by single tasks.
///
/// Five consecutive failures across at least two jobs eject an upstream. A job that failed on
/// three upstreams and succeeded on none is blamed itself and its failures do not count, unless
/// the upstream failed five jobs in a row. Thread safety: none.
class UpstreamHealth
{
public:
    enum class Change : std::uint8_t { None, Ejected, Restored };

    HealthState state(UpstreamIndex upstream) const;

    /// mayEject says whether the zone can spare the upstream.
    Change failed(UpstreamIndex upstream, JobHandle job, bool mayEject, TimePoint now);
    Change succeeded(UpstreamIndex upstream, JobHandle job);
    /// The attempt says nothing of the upstream, such as one that was withdrawn.
    void endedWithoutVerdict(UpstreamIndex upstream);

    /// Precondition: the state is ProbeDue.
    void probeStarted(UpstreamIndex upstream);

    /// Appends the upstreams whose pause is over; their state is now ProbeDue.
    void release(TimePoint now, std::vector<UpstreamIndex> &due);
    /// When release() next has an effect.
    std::optional<TimePoint> nextRelease() const;

    /// Forgets everything about the upstream.
    void forget(UpstreamIndex upstream);

private:
    struct Entry
    {
        HealthState state = HealthState::Healthy;
        /// Jobs of the latest consecutive failures, newest last.
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
    bool toBlame(JobHandle job) const;
    bool condemned(const Entry &entry) const;
    void eject(UpstreamIndex upstream, Entry &entry, TimePoint now);

    std::vector<Entry> m_entries;
    std::set<std::pair<TimePoint, UpstreamIndex>> m_pauses;
    std::unordered_map<JobHandle, JobHistory> m_jobs;
    std::deque<JobHandle> m_jobsByAge;
};

} // namespace rattandock::core
