#pragma once

#include <optional>
#include <unordered_map>

#include "rattandock/base/ids.hpp"
#include "rattandock/base/time.hpp"
#include "rattandock/fleet/task_ref.hpp"

namespace rattandock::fleet {

/// Quarantines upstreams on which runs fail or hang.
///
/// Load pattern: some upstreams immediately fail each run, or never end it, while their own health
/// check succeeds. Failing fast frees their room at once, which attracts more and more work.
/// Consecutive failures of the same job count once, because the job itself may be faulty. After a
/// pause, one run probes the upstream; the pause doubles with each failed probe.
/// Thread safety: none.
class UpstreamQuarantine
{
public:
    enum class Change : std::uint8_t { None, Quarantined, Restored };

    /// Records a successful run. It ends the quarantine of the upstream.
    Change succeeded(const UpstreamId &upstream);
    /// Records a run that failed, or that ran far beyond its expected time.
    Change failed(const UpstreamId &upstream, JobNumber job, TimePoint now);
    /// Records the start of a run. On a quarantined upstream, the run is the probe.
    void started(const UpstreamId &upstream);
    /// Records that a run ended without showing whether the upstream works. If it was the probe,
    /// another run may probe.
    void endedInconclusively(const UpstreamId &upstream);

    /// Returns true if the upstream is not quarantined, or if a probe is due and none is running.
    bool mayStart(const UpstreamId &upstream, TimePoint now) const;
    void erase(const UpstreamId &upstream) { m_records.erase(upstream); }

private:
    struct Record
    {
        /// Failed jobs since the last success.
        unsigned failedJobs = 0;
        std::optional<JobNumber> lastJob;
        bool isQuarantined = false;
        bool isProbing = false;
        TimePoint probeAt;
        Duration pause{};
    };

    std::unordered_map<UpstreamId, Record> m_records;
};

} // namespace rattandock::fleet
