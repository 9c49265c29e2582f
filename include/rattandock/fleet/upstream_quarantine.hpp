#pragma once

#include <optional>
#include <set>
#include <unordered_map>

#include "rattandock/base/ids.hpp"
#include "rattandock/base/time.hpp"
#include "rattandock/fleet/task_ref.hpp"
#include "rattandock/fleet/upstream_trust.hpp"

namespace rattandock::fleet {

/// Quarantines upstreams on which runs fail or hang.
///
/// Load pattern: some upstreams immediately fail each run, or never end it, while their own health
/// check succeeds. Failing fast frees their room at once, which attracts more and more work. Others
/// work and fail in turn within seconds. Health reports are ignored, as they are false in either
/// direction.
///
/// Consecutive failures of the same job count once, because the job itself may be faulty. After a
/// pause, one run probes the upstream. A failed probe doubles the pause; a successful one allows
/// two concurrent runs, and each further success doubles that number until the upstream is trusted
/// again. An upstream that is quarantined again soon gets twice its last pause.
///
/// If most upstreams are quarantined, the cause is more likely in the jobs. The pauses are short
/// then and do not grow, but still only one run at a time is started on each of the upstreams.
/// Thread safety: none.
class UpstreamQuarantine
{
public:
    enum class Change : std::uint8_t { None, Quarantined, Restored };

    /// Time without a counted failure after which earlier pauses and another keeper's record no
    /// longer count. It is longer than the longest pause, and faults come in
    /// bursts of a few seconds.
    static constexpr Duration healthyTime = std::chrono::seconds{10};

    /// Returns true if so many of the upstreams of a zone are quarantined that the cause is more
    /// likely in the jobs than in the upstreams.
    static bool isWidespread(std::size_t quarantined, std::size_t kept);

    /// Records a successful run.
    Change succeeded(const UpstreamId &upstream);
    /// Records a run that failed, or that ran far beyond its expected time.
    Change failed(const UpstreamId &upstream, JobNumber job, TimePoint now);
    /// Records the start of a run. On an upstream that is not trusted it counts against the limit
    /// until ended().
    void started(const UpstreamId &upstream, const TaskRef &run = {});
    /// Records that a run has ended or was never started. Its result is recorded before.
    void ended(const UpstreamId &upstream, const TaskRef &run);
    /// Sets whether the quarantine is one of many; see isWidespread().
    void setWidespread(const UpstreamId &upstream, bool isWidespread);

    /// Returns the number of runs that may be started on the upstream now, in addition to those
    /// that run there.
    std::size_t startsLeft(const UpstreamId &upstream, TimePoint now) const;
    bool mayStart(const UpstreamId &upstream, TimePoint now) const
    {
        return startsLeft(upstream, now) > 0;
    }
    UpstreamTrust trust(const UpstreamId &upstream) const;
    /// Returns when the last failure was counted, or `std::nullopt` if none is remembered.
    std::optional<TimePoint> lastFailure(const UpstreamId &upstream) const;
    /// Takes over another keeper's record of the upstream. Returns false if there is a record
    /// already, which stays.
    bool adopt(const UpstreamId &upstream, const UpstreamTrust &trust, TimePoint lastFailure);
    void erase(const UpstreamId &upstream) { m_records.erase(upstream); }

private:
    struct Record
    {
        UpstreamTrust trust;
        /// Jobs that failed since the last success, while the upstream is trusted.
        unsigned failedJobs = 0;
        std::optional<JobNumber> lastJob;
        /// When a failure was last counted. A pause starts here.
        TimePoint lastFailure;
        /// The run that was started last while the upstream is quarantined, until its result.
        std::optional<TaskRef> probe;
        /// Runs that were started since the upstream is not trusted and have not ended.
        std::set<TaskRef> limitedRuns;
        bool isWidespread = false;
    };

    const Record *find(const UpstreamId &upstream) const;
    static void quarantine(Record &record);

    std::unordered_map<UpstreamId, Record> m_records;
};

} // namespace rattandock::fleet
