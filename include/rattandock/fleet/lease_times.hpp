#pragma once

#include "rattandock/base/time.hpp"

namespace rattandock::fleet {

using namespace std::chrono_literals;

/// Time from a broken answer until its caller submits the job again. The platform states it.
inline constexpr Duration callerResubmitDelay = 1300ms;

/// Timing of the leases under which upstreams run tasks.
///
/// With a shorter lease, the runs of a failed lease holder end earlier and can be restarted sooner,
/// but the lease also expires on shorter communication gaps.
struct LeaseTimes
{
    /// Time that a run may continue without a renewal by its lease holder. Callers resubmit
    /// 1,300 ms after a broken answer; by then both the silence limit of peer links (600 ms) and
    /// the lease must have expired.
    Duration lease = 600ms;
    /// Longest lease that an upstream grants, whatever is requested. The platform sets this limit.
    Duration maxLease = 1000ms;
    /// Longest time that an upstream with running tasks holds a poll open; it answers earlier if a
    /// run ends. A quarter of the lease, so that there is time for two more polls if one is lost.
    Duration pollWait = 150ms;
    /// Poll interval of upstreams without running tasks, which detects that they are gone or have
    /// restarted.
    Duration idlePollInterval = 500ms;
    /// Delay before the first retry of a poll that failed. It doubles with each failure, up to
    /// `maxRetryDelay`.
    Duration firstRetryDelay = 20ms;
    Duration maxRetryDelay = 1s;
    /// An upstream's clock may be 2% slow according to the platform. This share of the lease is
    /// added before the lease counts as expired and its runs as ended.
    double maxClockDrift = 0.02;
    /// Added to the lease time to cover rounding to whole milliseconds and the network delay of an
    /// order.
    Duration expiryMargin = 25ms;
    /// Time after which an accepted stop order is sent again if no report has listed the end of the
    /// run. The upstream takes up to 50 ms, and the next report is at most 150 ms away.
    Duration stopRetryInterval = 200ms;
    /// Time that a VM may take to notice that a caller has left. It is part of the time until the
    /// caller submits the job again, in which the job's runs must end.
    Duration callerNoticeReserve = 300ms;
    /// Least time that a lease must have left for a start under it, so that two polls can renew it.
    Duration shortestStartLease = 300ms;

    /// Returns the time from the end of a lease as granted until it counts as expired.
    constexpr Duration expiryDelay() const { return expiryDelay(lease); }
    /// The same for a lease of length `granted`.
    constexpr Duration expiryDelay(Duration granted) const
    {
        return Duration{static_cast<Duration::rep>(static_cast<double>(granted.count())
                                                   * maxClockDrift)}
               + expiryMargin;
    }
    /// Returns the time from the end of a job of this VM's callers until none of its runs on this
    /// VM's upstreams can execute.
    constexpr Duration runsEndAfterJob() const { return callerResubmitDelay - callerNoticeReserve; }
    /// Returns the time from the failure of a VM, or of the link to it, until no run that depends
    /// on it can execute: its silence is detected after `peerSilence`, and leases that were renewed
    /// until then expire.
    constexpr Duration runsEndAfter(Duration peerSilence) const
    {
        return peerSilence + lease + expiryDelay();
    }
    /// Returns the longest silence limit of links with which no run of a job can execute any more
    /// when its caller submits it again after the failure of a VM or a link:
    /// silence + lease + lease * maxClockDrift + expiryMargin <= callerResubmitDelay.
    constexpr Duration maxSilence() const { return callerResubmitDelay - runsEndAfter({}); }
};

} // namespace rattandock::fleet
