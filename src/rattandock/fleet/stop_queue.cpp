#include "rattandock/fleet/stop_queue.hpp"

#include <algorithm>

namespace rattandock::fleet {

namespace {

/// Delay before an order is repeated that the upstream has not accepted. It doubles with each
/// failure, up to the repeat interval, so that an upstream that refuses hundreds of them is not
/// sent more than it can answer.
constexpr Duration firstRetryDelay = std::chrono::milliseconds{25};
/// Bounds the shift below; the repeat interval is reached before.
constexpr unsigned maxDoublings = 6;

} // namespace

void StopQueue::setDue(const ActiveRun &run, Stop &stop, TimePoint due)
{
    stop.due = due;
    m_due.emplace(due, run);
}

void StopQueue::add(const ActiveRun &run, TimePoint limit, TimePoint now)
{
    const auto [it, isNew] = m_stops.try_emplace(run, Stop{limit, std::nullopt, 0});
    if (isNew) {
        setDue(run, it->second, now);
    } else {
        it->second.limit = std::min(it->second.limit, limit);
    }
}

void StopQueue::remove(const ActiveRun &run)
{
    m_stops.erase(run);
    if (m_stops.empty()) {
        m_due.clear();
    }
}

std::vector<ActiveRun> StopQueue::takeDue(TimePoint now, std::size_t maxOpen)
{
    std::vector<ActiveRun> result;
    while (m_open.size() < maxOpen && !m_due.empty() && m_due.begin()->first <= now) {
        const auto node = m_due.extract(m_due.begin());
        const auto stop = m_stops.find(node.mapped());
        if (stop == m_stops.end() || stop->second.due != node.key()) {
            continue;
        }
        stop->second.due.reset();
        m_open.insert(node.mapped());
        result.push_back(node.mapped());
    }
    return result;
}

void StopQueue::answered(const ActiveRun &run, bool isAccepted, TimePoint now)
{
    const auto open = m_open.find(run);
    if (open == m_open.end()) {
        return;
    }
    m_open.erase(open);
    const auto it = m_stops.find(run);
    if (it == m_stops.end() || it->second.due) {
        return;
    }
    Stop &stop = it->second;
    if (isAccepted) {
        stop.failures = 0;
        return setDue(run, stop, now + m_repeatInterval);
    }
    const Duration delay = firstRetryDelay * (1U << std::min(stop.failures, maxDoublings));
    ++stop.failures;
    setDue(run, stop, now + std::min(delay, m_repeatInterval));
}

TimePoint StopQueue::earliestLimit() const
{
    TimePoint earliest = TimePoint::max();
    for (const auto &[run, stop] : m_stops) {
        earliest = std::min(earliest, stop.limit);
    }
    return earliest;
}

std::optional<TimePoint> StopQueue::nextDue() const
{
    return m_due.empty() ? std::nullopt : std::optional{m_due.begin()->first};
}

} // namespace rattandock::fleet
