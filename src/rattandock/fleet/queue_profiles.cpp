#include "rattandock/fleet/queue_profiles.hpp"

#include <algorithm>
#include <cmath>
#include <optional>

namespace rattandock::fleet {

namespace {

constexpr std::size_t maxQueues = 256;
/// A queue counts as in use for this long after its last job, so that the rules do not alternate
/// when a queue is quiet for some seconds.
constexpr Duration memory = std::chrono::seconds{60};
/// Weight of a job in the mean work of its queue. The mean follows a change within fifty jobs.
constexpr double jobWeight = 0.02;
/// Time constant of the arrival rate. Bursts last at least 3 s, so it is known early in a burst.
constexpr double rateTime = 1e6;

double decayOver(Duration time)
{
    return std::exp(-static_cast<double>(std::max(time, Duration{}).count()) / rateTime);
}

} // namespace

QueueProfiles::Profile *QueueProfiles::find(const FleetJob &job, TimePoint now)
{
    const auto known = m_profiles.find(job.queue);
    if (known == m_profiles.end() && m_profiles.size() >= maxQueues) {
        std::erase_if(m_profiles,
                      [&](const auto &it) { return now - it.second.lastSeen > memory; });
        if (m_profiles.size() >= maxQueues) {
            return nullptr;
        }
    }
    Profile &profile = m_profiles[job.queue];
    profile.service = job.service;
    profile.priority = job.priority;
    profile.lastSeen = now;
    return &profile;
}

void QueueProfiles::recordArrival(const FleetJob &job, CoreWork work, TimePoint now)
{
    if (Profile *const profile = find(job, now)) {
        profile->jobs += 1;
        profile->meanWork += (work - profile->meanWork) * std::max(jobWeight, 1 / profile->jobs);
    }
}

void QueueProfiles::recordAdmission(const FleetJob &job, CoreWork work, TimePoint now)
{
    if (Profile *const profile = find(job, now)) {
        profile->recentWork = profile->recentWork * decayOver(now - profile->decayedAt) + work;
        profile->decayedAt = now;
    }
}

void QueueProfiles::recordOffer(const FleetJob &job, TimePoint now)
{
    find(job, now);
}

bool QueueProfiles::hasSeveralPriorities(const ServiceId &service, TimePoint now) const
{
    std::optional<std::uint32_t> first;
    for (const auto &[queue, it] : m_profiles) {
        if (it.service != service || now - it.lastSeen > memory) {
            continue;
        }
        if (first && *first != it.priority) {
            return true;
        }
        first = it.priority;
    }
    return false;
}

CoreWork QueueProfiles::meanWork(const QueueId &queue) const
{
    const auto it = m_profiles.find(queue);
    return it == m_profiles.end() ? 0 : it->second.meanWork;
}

double QueueProfiles::arrivalRate(const ServiceId &service, TimePoint now) const
{
    CoreWork sum = 0;
    for (const auto &[queue, it] : m_profiles) {
        sum += it.service == service ? it.recentWork * decayOver(now - it.decayedAt) : 0;
    }
    return sum / rateTime;
}

} // namespace rattandock::fleet
