#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>

#include "rattandock/base/ids.hpp"
#include "rattandock/base/time.hpp"
#include "rattandock/fleet/resources.hpp"

namespace rattandock::fleet {

/// Limits and predicts the work of upstreams that are slow for a while: cold ones, whose process
/// started recently, and those of a zone that was evacuated and taken back.
///
/// Load pattern: a zone with a third of the upstreams returns under load. All of them are free at
/// once and attract all waiting tasks, but runs take four times as long there for three seconds, so
/// that whole jobs miss their deadlines. The same happens on a smaller scale when upstreams start.
///
/// Cold upstreams state how long they stay so. An upstream that stood idle in an evacuated zone
/// gets a quarter of its CPU, then half, then all, each step after a run that ended about in time.
/// The ratio of run times on all of these to those on warm ones is measured over all of them.
/// Thread safety: none.
class WarmUp
{
public:
    enum class Step : std::uint8_t { None, Half, Full };

    /// Upper limit of the time that an upstream counts as cold or its work is limited.
    static constexpr Duration maxTime = std::chrono::seconds{60};
    /// Time without runs during an evacuation after which the work of an upstream is limited.
    static constexpr Duration minIdleTime = std::chrono::seconds{2};

    /// Records until when the upstream is cold; a time that is not after `now` means that it is
    /// warm. Times more than `maxTime` ahead are shortened. Returns true if the upstream changes
    /// between warm and cold, or stays cold for so much longer that its process was replaced.
    bool setColdUntil(const UpstreamId &upstream, TimePoint until, TimePoint now);
    /// Returns whether the upstream was cold at the last call of expire() or setColdUntil().
    bool isCold(const UpstreamId &upstream) const
    {
        return !m_coldUntil.empty() && m_coldUntil.contains(upstream);
    }
    /// Returns until when the upstream is cold, or `TimePoint::min()` if it has no record.
    TimePoint coldUntil(const UpstreamId &upstream) const;
    bool hasColdUpstreams() const { return !m_coldUntil.empty(); }

    /// Adds the run time of a successful run that was started on a cold upstream.
    /// `warmExpected`: its expected run time on the same upstream when warm.
    void addColdRun(Duration warmExpected, Duration elapsed);
    /// Adds a run on a cold upstream that has not ended after `elapsed`. It counts only if that is
    /// more than expected.
    void addUnfinishedColdRun(Duration warmExpected, Duration elapsed);
    /// Returns the ratio of run times on cold upstreams to those on warm ones, 1 to 16.
    double ratio() const;
    /// Returns the factor on the run time on this upstream: ratio() if it is cold, else 1.
    double runTimeFactor(const UpstreamId &upstream) const
    {
        return isCold(upstream) ? ratio() : 1;
    }

    /// Limits the work of the upstream to a quarter of its CPU. A limit that exists is kept.
    void limit(const UpstreamId &upstream, TimePoint now);
    bool isLimited(const UpstreamId &upstream) const { return m_limits.contains(upstream); }
    /// Records a successful run and returns the step to which the limit is raised. Only a run that
    /// started under the present limit and ended within 1.5 times its expected time raises it.
    Step runEnded(const UpstreamId &upstream, TimePoint startedAt, Duration expected,
                  Duration elapsed, TimePoint now);
    /// Returns the part of `free` that may be used now. An upstream without runs may start one task
    /// of any size.
    Resources usableRoom(const UpstreamId &upstream, const Resources &capacity,
                         const Resources &free, bool hasRuns) const;
    /// Returns the part of the free CPU to report to other VMs: of an upstream without runs enough
    /// for one task, not for several that would come back.
    std::uint32_t reportedCpu(const UpstreamId &upstream, const Resources &capacity,
                              const Resources &free, bool hasRuns) const;
    /// Returns the number of tasks that need `cpu` and may be started now.
    std::size_t usableStarts(const UpstreamId &upstream, const Resources &capacity,
                             const Resources &free, bool hasRuns, MilliCores cpu) const;
    /// Removes the limit, because this VM no longer keeps the upstream or its process was replaced.
    void unlimit(const UpstreamId &upstream) { m_limits.erase(upstream); }

    /// Drops records that have expired.
    void expire(TimePoint now);
    std::size_t limitedCount() const { return m_limits.size(); }

private:
    struct Limit
    {
        /// The work is limited to the CPU divided by this.
        std::uint32_t divisor = 4;
        TimePoint limitedAt;
        /// When the present step began.
        TimePoint stepAt;
    };

    void addLogRatio(double value);
    static std::uint32_t limitedCpu(const Limit &limit, const Resources &capacity,
                                    const Resources &free);

    std::unordered_map<UpstreamId, TimePoint> m_coldUntil;
    std::unordered_map<UpstreamId, Limit> m_limits;
    double m_logRatio = 0;
    double m_samples = 0;
};

} // namespace rattandock::fleet
