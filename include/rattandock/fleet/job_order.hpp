#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "rattandock/fleet/job_value.hpp"
#include "rattandock/fleet/task_ref.hpp"

namespace rattandock::fleet {

/// Share of the time until its latest start that a guaranteed job waits behind jobs that arrive
/// later. The rest allows for wrong estimates, which otherwise make large jobs late first.
inline constexpr double guaranteedWaitShare = 0.3;

/// A job with waiting tasks, as the order sees it.
struct WaitingJob
{
    JobNumber number;
    std::uint32_t priority = 0;
    JobProtection protection;
    /// Expected CPU time of the tasks that wait.
    CoreWork remainingWork = 0;
    /// Expected CPU time of the tasks that run or have ended.
    CoreWork spentWork = 0;
    /// Expected CPU time of one task.
    CoreWork taskWork = 0;
    /// Mean work of the jobs of its queue, 0 if unknown.
    CoreWork queueMeanWork = 0;
    /// Expected run time of one task on the fastest upstreams.
    Duration expectedRun{};
    TimePoint arrived;
    /// Latest start of the last task with which the objective is met.
    TimePoint latestStart;
    /// Latest start of the last task of an answer that is late but still useful.
    TimePoint latestUsefulStart;
    /// Latest start that can still be answered before the deadline if the run is short.
    TimePoint latestPossibleStart;
    /// True if a task may have started. Such a job is never refused.
    bool isStarted = false;
    /// True if only a small part of a started job waits.
    bool isNearlyDone = false;
};

/// Inputs of orderWaitingJobs().
struct JobOrderView
{
    TimePoint now;
    /// Rate at which the waiting work of this VM is started, in thousandths of a core.
    double rate = 0;
    /// Rate at which work of newly admitted jobs arrives, in thousandths of a core. Much of it goes
    /// before jobs that are late.
    double arrivalRate = 0;
    std::vector<WaitingJob> jobs;
};

/// A job that is predicted to start too late to be useful.
struct HopelessJob
{
    JobNumber number;
    /// Time in which the work that goes before the job drains.
    Duration drainTime{};
};

/// Result of orderWaitingJobs().
struct JobOrder
{
    /// All waiting jobs. First those that are expected to meet their objective, by their latest
    /// start; then the others, by value per work; last the hopeless jobs.
    std::vector<JobNumber> order;
    /// Number of jobs at the front of `order` that are expected to meet their objective.
    std::size_t inTime = 0;
    /// Unstarted jobs that cannot be served in a useful time. They should be refused now unless
    /// free capacity fits them.
    std::vector<HopelessJob> hopeless;
};

/// Returns the order in which capacity is given to the waiting jobs, and the jobs that yield.
///
/// Load pattern: bursts of 1.2 to 2.6 times the capacity for 3 to 6.5 s, of queues with different
/// priority and with jobs of very different work. Jobs are scheduled by their latest start. If one
/// of them would start too late, the jobs with the least value per work among it and those before
/// it yield, which is the algorithm of Moore and Hodgson for the least number of late jobs with a
/// weight. Jobs that cannot meet their objective wait behind all that can, except for a started job
/// of which only a small part waits.
///
/// Bound against starvation: a guaranteed job (JobProtection) waits behind later jobs for at most
/// `guaranteedWaitShare` of its time, and yields only if the started and guaranteed jobs exceed the
/// capacity by themselves.
/// Cost: n log n in the number of jobs. Thread safety: any thread.
JobOrder orderWaitingJobs(const JobOrderView &view);

} // namespace rattandock::fleet
