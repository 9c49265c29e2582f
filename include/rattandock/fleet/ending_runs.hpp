#pragma once

#include <string>
#include <unordered_map>

#include "rattandock/base/ids.hpp"
#include "rattandock/base/time.hpp"
#include "rattandock/fleet/task_ref.hpp"

namespace rattandock::fleet {

/// Tracks the runs that may still execute although their job has ended. A job that is submitted
/// again under the same id starts no task until they are over.
///
/// Load pattern: callers leave or submit a job again while its tasks run, and upstreams are lost
/// while they stop such tasks. An entry is removed with the last end of a run, or when the runs can
/// no longer execute. So there are at most as many entries as runs on the kept upstreams, plus the
/// jobs of the last 1.3 s that were held back for a limited time.
/// Thread safety: none.
class EndingRuns
{
public:
    /// Records that `job` ended while `runs` of its runs execute on kept upstreams. Each of them
    /// needs a call of runEnded(); the dispatcher makes it also when it loses an upstream.
    /// Precondition: `runs` is greater than 0, and `job` was not added before.
    void add(JobNumber job, const JobId &id, std::size_t runs);
    /// Records that a run of `job` has ended, or ends by `activeUntil` at the latest. No effect if
    /// `job` was not added.
    void runEnded(JobNumber job, TimePoint activeUntil);
    /// Holds back jobs with this id until `time`.
    void holdUntil(const JobId &id, TimePoint time);
    /// Returns true if a run of an ended job with this id may still execute.
    bool mayExecute(const JobId &id, TimePoint now) const;
    /// Removes the entries whose time has passed.
    void expire(TimePoint now);
    /// Returns the number of job ids that are held back.
    std::size_t size() const { return m_byId.size(); }

private:
    struct Ending
    {
        /// Runs that were not reported as ended.
        std::size_t runs = 0;
        /// Runs that were reported as ended, or that other VMs stop, may execute until then.
        TimePoint activeUntil = TimePoint::min();
    };
    struct EndedJob
    {
        std::string id;
        std::size_t runs = 0;
    };

    std::unordered_map<std::string, Ending> m_byId;
    std::unordered_map<JobNumber, EndedJob> m_jobs;
};

} // namespace rattandock::fleet
