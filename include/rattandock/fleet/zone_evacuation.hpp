#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "rattandock/base/ids.hpp"
#include "rattandock/base/time.hpp"

namespace rattandock::fleet {

/// Returns the highest age of the set of evacuated zones with which a task may be started, for a
/// limit on the time between the request of an evacuation and the last start in its zone.
Duration maxEvacuationAge(Duration limit);

/// The availability zones in which the operator requests that no task is started, and how recent
/// this knowledge is.
///
/// Load pattern: an operator evacuates one zone, or several at once, while VMs are paused, cut off
/// from the store or restarted, and while the store is slow or unavailable. No VM that can read the
/// store may start a task in the zone later than a limit after the request, and no VM may stop only
/// because the store is slow or unavailable. Thread safety: none.
class ZoneEvacuations
{
public:
    /// Zones whose evacuation was requested or withdrawn.
    struct Change
    {
        std::vector<ZoneId> begun;
        std::vector<ZoneId> ended;

        bool isEmpty() const { return begun.empty() && ended.empty(); }
    };

    /// Takes the set of zones at a version of the store. An older version than the known one is
    /// ignored. `asOf`: the set includes every request made before this time. A time before the
    /// last pause does not renew the age, because a clock may not have advanced during the pause.
    Change update(std::uint64_t version, const std::set<ZoneId> &zones, TimePoint asOf);
    /// Records the result of a read that was sent at this time. A read that was sent before the
    /// last pause is ignored, because it may have failed due to the pause.
    void recordRead(TimePoint sentAt, bool hasFailed);
    /// Records that the process did not run until `now`.
    void recordPause(TimePoint now);
    /// Records that another VM sent its set after the last pause of this process.
    void confirm() { m_isConfirmed = true; }

    bool isEvacuated(const ZoneId &zone) const
    {
        return !m_zones.empty() && m_zones.contains(zone);
    }
    /// Returns false if an evacuation may have been requested more than `limit` ago without being
    /// in the set. While reads fail the set is usable at any age, because nothing can be requested
    /// while the store is unavailable, and the other VMs send their set if the store rejects only
    /// this one. At the start and after a pause, a read or the set of another VM is needed first.
    bool isUsable(TimePoint now, Duration limit) const;
    /// Returns how long the next read may wait for changes. Two slow reads in a row then take less
    /// than maxEvacuationAge(), so that a slow store stops no VM. No wait if the set is not usable.
    Duration readWait(TimePoint now, std::optional<Duration> limit) const;
    /// Returns true if a set was read or received since the start or the last pause.
    bool isConfirmed() const { return m_isConfirmed; }

    const std::set<ZoneId> &zones() const { return m_zones; }
    std::uint64_t version() const { return m_version; }
    /// The set includes every request made before this time; `TimePoint::min()` if unknown.
    TimePoint asOf() const { return m_asOf; }

private:
    std::set<ZoneId> m_zones;
    std::uint64_t m_version = 0;
    TimePoint m_asOf = TimePoint::min();
    std::optional<TimePoint> m_pausedAt;
    bool m_isConfirmed = false;
    bool m_hasReadFailed = false;
};

} // namespace rattandock::fleet
