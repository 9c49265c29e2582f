#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "load/scenario.hpp"

namespace rattandock::load {

/// One job of a run, before its id is known.
struct PlannedJob
{
    Duration at{};
    /// Unique in the run; the last part of the id.
    std::string key;
    std::string team;
    std::vector<std::chrono::milliseconds> estimates;
    bool resubmitted = false;
    /// Goes to an upstream without a daemon.
    bool direct = false;
};

/// All jobs in order of time. The same scenario gives the same plan.
std::vector<PlannedJob> planJobs(const Scenario &scenario);

/// Payload of a task; unique in the run, so that a crossed result is seen.
std::string payloadOf(const PlannedJob &job, std::size_t task);

/// Body of `POST /v1/jobs`.
std::string submissionOf(const PlannedJob &job, const std::string &id, Duration deadline);

/// Response time of the job alone on an idle fleet of upstreams, from their speeds and the tasks'
/// run times: longest task first, each to the slot where it ends first. A task names its run time
/// by `taskName(index)`, as in the start log.
Duration idealResponse(const standins::UpstreamStandinSettings &upstreams, const PlannedJob &job,
                       const std::string &id);

/// The name of a task in requests and in the start log: the percent-encoded id, `#`, the index.
std::string taskName(const std::string &id, std::size_t task);

} // namespace rattandock::load
