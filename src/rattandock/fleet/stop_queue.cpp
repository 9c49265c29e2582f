#include "rattandock/fleet/stop_queue.hpp"

#include <algorithm>

namespace rattandock::fleet {

namespace {

/// Delay before an order is repeated that the upstream has not accepted.
constexpr Duration retryDelay = std::chrono::milliseconds{25};
/// The delay is this long for each run whose order was not accepted, if that is longer. It bounds
/// the retries to one upstream to a thousand a second.
constexpr Duration retryDelayPerRun = std::chrono::milliseconds{1};
/// Number of failures in a row after which the delay is the repeat interval. The lease of a run
/// whose job has ended is over by then.
constexpr unsigned quickRetries = 24;
/// An order without an answer is repeated after this time. An upstream takes up to 50 ms, and
/// orders that it received may be executed seconds late.
constexpr Duration answerTimeout = std::chrono::milliseconds{75};

} // namespace

void StopQueue::setDue(const ActiveRun &run, Stop &stop, TimePoint due)
{
    stop.due = due;
    m_due.emplace(due, run);
}

void StopQueue::add(const ActiveRun &run, TimePoint limit, TimePoint now)
{
    const auto [it, isNew] = m_stops.try_emplace(run, Stop{limit, {}, 0, false});
    if (isNew) {
        setDue(run, it->second, now);
    } else {
        it->second.limit = std::min(it->second.limit, limit);
    }
}

void StopQueue::remove(const ActiveRun &run)
{
    if (const auto it = m_stops.find(run); it != m_stops.end()) {
        m_failing -= it->second.failures > 0 ? 1 : 0;
        m_stops.erase(it);
    }
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
        stop->second.isAccepted = false;
        setDue(node.mapped(), stop->second, now + answerTimeout);
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
    if (it == m_stops.end() || it->second.isAccepted) {
        return;
    }
    Stop &stop = it->second;
    if (isAccepted) {
        m_failing -= stop.failures > 0 ? 1 : 0;
        stop.failures = 0;
        stop.isAccepted = true;
        return setDue(run, stop, now + m_repeatInterval);
    }
    m_failing += stop.failures == 0 ? 1 : 0;
    ++stop.failures;
    const auto failing = static_cast<Duration::rep>(m_failing);
    const Duration delay = stop.failures < quickRetries ? retryDelay : m_repeatInterval;
    setDue(run, stop, now + std::max(delay, failing * retryDelayPerRun));
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
