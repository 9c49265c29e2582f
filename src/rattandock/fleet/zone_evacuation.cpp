#include "rattandock/fleet/zone_evacuation.hpp"

#include <algorithm>
#include <iterator>

namespace rattandock::fleet {

namespace {

/// An upstream may execute a start order this long after it was sent, until the order's lease ends.
constexpr Duration startOrderDelay = std::chrono::milliseconds{600};
/// A call to the store without an answer is given up this long after its wait for changes. An
/// answer that arrives slowly can take up to 5 s; the set is not usable once it is too old, because
/// the answer may hold a request.
constexpr Duration storeCallLimit = std::chrono::milliseconds{700};
/// A connection that went silent is detected after the wait and the limit of the call. A
/// configuration, which the same call reads, must be in force after 3,000 ms.
constexpr Duration maxReadWait = std::chrono::milliseconds{1000};
/// Prevents a busy loop of reads if the limit is short.
constexpr Duration minReadWait = std::chrono::milliseconds{100};

} // namespace

Duration maxEvacuationAge(Duration limit)
{
    return limit - startOrderDelay;
}

ZoneEvacuations::Change ZoneEvacuations::update(std::uint64_t version,
                                                const std::set<ZoneId> &zones, TimePoint asOf)
{
    Change change;
    if (version < m_version) {
        return change;
    }
    m_version = version;
    if (!m_pausedAt || asOf > *m_pausedAt) {
        m_asOf = std::max(m_asOf, asOf);
        m_isConfirmed = true;
    }
    std::ranges::set_difference(zones, m_zones, std::back_inserter(change.begun));
    std::ranges::set_difference(m_zones, zones, std::back_inserter(change.ended));
    m_zones = zones;
    return change;
}

void ZoneEvacuations::recordRead(TimePoint sentAt, bool hasFailed)
{
    if (!m_pausedAt || sentAt > *m_pausedAt) {
        m_hasReadFailed = hasFailed;
    }
}

void ZoneEvacuations::recordPause(TimePoint now)
{
    m_pausedAt = now;
    m_asOf = TimePoint::min();
    m_isConfirmed = false;
    m_hasReadFailed = false;
}

bool ZoneEvacuations::isUsable(TimePoint now, Duration limit) const
{
    if (!m_isConfirmed) {
        return false;
    }
    // Compared without a difference, as `m_asOf` may be the lowest time.
    return m_hasReadFailed || m_asOf + maxEvacuationAge(limit) >= now;
}

Duration ZoneEvacuations::readWait(TimePoint now, std::optional<Duration> limit) const
{
    if (!limit) {
        return maxReadWait;
    }
    return isUsable(now, *limit) ? std::clamp(maxEvacuationAge(*limit) / 2 - storeCallLimit,
                                              minReadWait, maxReadWait)
                                 : Duration{};
}

} // namespace rattandock::fleet
