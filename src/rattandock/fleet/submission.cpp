#include "rattandock/fleet/submission.hpp"

#include <algorithm>
#include <array>
#include <optional>

namespace rattandock::fleet {

namespace {

std::optional<Unsupported> unsupportedPart(const Submission &submission, const QueueSpec &queue)
{
    if (!submission.isAnsweredAtEnd) {
        return Unsupported::StoredJob;
    }
    if (submission.repeats > 0) {
        return Unsupported::Schedule;
    }
    if (queue.needsAdvice) {
        return Unsupported::Advice;
    }
    if (submission.steps.empty() || submission.steps.front().taskCount == 0) {
        return Unsupported::NoTasks;
    }
    if (submission.steps.size() > 1) {
        return Unsupported::SeveralSteps;
    }
    const StepSpec &step = submission.steps.front();
    if (step.isGroup) {
        return Unsupported::Group;
    }
    if (step.isEndless) {
        return Unsupported::EndlessTasks;
    }
    if (step.takesLeftovers) {
        return Unsupported::LeftoverTasks;
    }
    return std::nullopt;
}

} // namespace

std::string_view name(Unsupported reason)
{
    static constexpr std::array<std::string_view, unsupportedCount> names{
            "stored-job",    "schedule",       "several-steps", "group",
            "endless-tasks", "leftover-tasks", "advice",        "no-tasks"};
    return names.at(static_cast<std::size_t>(reason));
}

std::variant<FleetJob, Unsupported> toFleetJob(const Submission &submission, const QueueSpec &queue,
                                               Duration callerWaits)
{
    if (const auto reason = unsupportedPart(submission, queue)) {
        return *reason;
    }
    const StepSpec &step = submission.steps.front();
    FleetJob job;
    job.id = submission.id;
    job.queue = queue.id;
    job.service = queue.service;
    job.payload = submission.payload;
    job.taskCount = step.taskCount;
    job.need = step.need;
    job.estimate = step.estimate;
    job.requiredLabel = step.requiredLabel;
    job.preferredRack = step.preferredRack;
    job.maxPerUpstream = step.maxPerUpstream;
    job.deadline = callerWaits;
    if (queue.timeout > Duration{}) {
        job.deadline = std::min(callerWaits, queue.timeout);
    }
    const double work = queue.stretch * static_cast<double>(step.estimate.count());
    job.objective = Duration{static_cast<Duration::rep>(work)} + queue.targetLatency;
    job.stretch = queue.stretch;
    job.maxAttempts = std::max(queue.maxAttempts, 1U);
    job.priority = queue.priority;
    return job;
}

} // namespace rattandock::fleet
