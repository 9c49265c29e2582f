#pragma once

#include <map>
#include <vector>

#include "load/http_client.hpp"
#include "load/job_plan.hpp"
#include "load/job_record.hpp"
#include "load/scenario.hpp"

namespace rattandock::load {

/// Counts of the upstreams' own counters over the run.
struct UpstreamCounts
{
    std::uint64_t started = 0;
    std::uint64_t refused = 0;
};

struct LoadResult
{
    std::vector<PlannedJob> plan;
    std::vector<JobRecord> jobs;
    UpstreamCounts upstreams;
    /// Submissions, resubmissions and cancellations that were sent.
    std::map<std::string, std::uint64_t> callerMessages;
    std::size_t idleConnections = 0;
    /// From the first arrival to the last answer.
    Duration elapsed{};
    /// Scripted faults that an upstream did not take.
    std::uint64_t failedFaults = 0;
};

/// Runs the scenario against running daemons and stand-ins: each job starts at its planned time
/// however long the earlier ones take.
/// Thread safety: from outside the I/O threads. Blocks until the last answer or timeout.
LoadResult runLoad(const Scenario &scenario, adapters::IoThreads &threads);

/// Reads an answer of `POST /v1/jobs` into the record; a later answer is compared with the first.
void judgeAnswer(const PlannedJob &job, const Exchange &exchange, JobRecord &record);

} // namespace rattandock::load
