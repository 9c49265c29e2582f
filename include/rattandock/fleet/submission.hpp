#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "rattandock/fleet/fleet_config.hpp"
#include "rattandock/fleet/fleet_job.hpp"

namespace rattandock::fleet {

/// A step of a job: a set of identical tasks.
struct StepSpec
{
    std::uint32_t taskCount = 0;
    Resources need;
    Duration estimate{};
    /// Indices of the earlier steps that must complete first.
    std::vector<std::uint32_t> after;
    std::string requiredLabel;
    RackId preferredRack;
    std::uint32_t maxPerUpstream = 0;
    /// The tasks write checkpoints.
    bool savesProgress = false;
    /// Gang scheduling: the tasks make progress only while all of them run.
    bool isGroup = false;
    /// The tasks should run in the same rack.
    bool wantsOneRack = false;
    /// Several copies of a task may run at the same time (speculative execution).
    bool mayRunTwice = false;
    /// The tasks do not end by themselves; they run until the job is cancelled.
    bool isEndless = false;
    /// The tasks use only capacity that other jobs leave unused.
    bool takesLeftovers = false;
};

/// A job as a caller sent it.
struct Submission
{
    JobId id;
    std::string payload;
    std::vector<StepSpec> steps;
    /// The caller waits for the answer until the job ends. The answer cannot be fetched later, so
    /// it is not stored.
    bool isAnsweredAtEnd = false;
    /// Number of scheduled repetitions of the steps; 0 means that they run once, immediately.
    std::uint32_t repeats = 0;
};

/// Why this version cannot run a submission.
enum class Unsupported : std::uint8_t {
    StoredJob,
    Schedule,
    SeveralSteps,
    Group,
    EndlessTasks,
    LeftoverTasks,
    Advice,
    NoTasks,
};
inline constexpr std::size_t unsupportedCount = 8;
std::string_view name(Unsupported reason);

/// Converts a submission to a job for the dispatcher, or returns why it is not supported.
/// `callerWaits`: how long the caller waits for the answer, from the submission.
/// Precondition: `queue` is the queue that the submission was sent to.
std::variant<FleetJob, Unsupported> toFleetJob(const Submission &submission, const QueueSpec &queue,
                                               Duration callerWaits);

} // namespace rattandock::fleet
