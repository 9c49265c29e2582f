#pragma once

#include <map>

#include "rattandock/fleet/admission.hpp"
#include "rattandock/fleet/fleet_job.hpp"

namespace rattandock::fleet {

/// Records what arrives in each queue: its priority, the mean work of its jobs and the rate of
/// arriving work.
///
/// Load pattern: queues of different priority share a service, and one of them rises to 1.8 times
/// its usual load within a second. At most 256 queues are recorded; the jobs of further queues
/// are ordered by their own work only. Thread safety: none.
class QueueProfiles
{
public:
    /// Records a job that a caller submitted, before it is admitted or refused.
    void recordArrival(const FleetJob &job, CoreWork work, TimePoint now);
    /// Adds the work of an admitted job to the arrival rate. Precondition: recordArrival().
    void recordAdmission(const FleetJob &job, CoreWork work, TimePoint now);
    /// Records the priority of a job that another VM offered. Its work is not recorded, as the
    /// offer may contain only a part of the job.
    void recordOffer(const FleetJob &job, TimePoint now);

    /// Returns true if jobs of different priority have arrived for the service recently.
    bool hasSeveralPriorities(const ServiceId &service, TimePoint now) const;
    /// Returns the mean work of the queue's jobs, 0 if there were none.
    CoreWork meanWork(const QueueId &queue) const;
    /// Returns the rate of admitted work of the service, in thousandths of a core.
    double arrivalRate(const ServiceId &service, TimePoint now) const;

private:
    struct Profile
    {
        ServiceId service;
        std::uint32_t priority = 0;
        TimePoint lastSeen;
        CoreWork meanWork = 0;
        /// Number of jobs in `meanWork`.
        double jobs = 0;
        /// Admitted work, decayed exponentially since `decayedAt`.
        CoreWork recentWork = 0;
        TimePoint decayedAt;
    };
    Profile *find(const FleetJob &job, TimePoint now);

    std::map<QueueId, Profile> m_profiles;
};

} // namespace rattandock::fleet
