#pragma once

#include <optional>
#include <unordered_map>

#include "rattandock/base/ids.hpp"
#include "rattandock/base/time.hpp"
#include "rattandock/fleet/task_ref.hpp"

namespace rattandock::fleet {

/// Sets upstreams aside that fail or hang what they run.
///
/// Load pattern: some upstreams fail all that they start at once, or never end it, while their own
/// health answer is good; being free at once, they attract ever more work. Failures of one job
/// count once, as the job itself may be at fault. After a pause that doubles, one run probes.
/// Thread safety: none.
class UpstreamWatch
{
public:
    enum class Change : std::uint8_t { None, SetAside, Restored };

    Change succeeded(const UpstreamId &upstream);
    /// A run failed, or ran far beyond its expected time.
    Change failed(const UpstreamId &upstream, JobNumber job, TimePoint now);
    /// A run began; it may be the probe.
    void started(const UpstreamId &upstream);
    /// The probe ended without a verdict.
    void endedWithoutVerdict(const UpstreamId &upstream);

    bool mayStart(const UpstreamId &upstream, TimePoint now) const;
    void forget(const UpstreamId &upstream) { m_records.erase(upstream); }

private:
    struct Record
    {
        unsigned strikes = 0;
        std::optional<JobNumber> lastJob;
        bool isAside = false;
        bool isProbed = false;
        TimePoint probeAt;
        Duration pause{};
    };

    std::unordered_map<UpstreamId, Record> m_records;
};

} // namespace rattandock::fleet
