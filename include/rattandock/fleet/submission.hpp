#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "rattandock/fleet/fleet_config.hpp"
#include "rattandock/fleet/fleet_job.hpp"

namespace rattandock::fleet {

/// Tasks of a job that are alike.
struct StepSpec
{
    std::uint32_t taskCount = 0;
    Room need;
    Duration estimate{};
    /// Earlier steps that must be done first.
    std::vector<std::uint32_t> after;
    std::string requiredLabel;
    RackId preferredRack;
    std::uint32_t maxPerUpstream = 0;
    bool savesProgress = false;
    /// The tasks work only while all of them run.
    bool isGroup = false;
    bool wantsOneRack = false;
    /// Copies of a task may run side by side.
    bool mayRunTwice = false;
    /// The tasks run until the job is cancelled.
    bool isEndless = false;
    /// The tasks take only what others leave unused.
    bool takesLeftovers = false;
};

/// A job as a caller sent it.
struct Submission
{
    JobId id;
    std::string payload;
    std::vector<StepSpec> steps;
    /// The answer comes when the job has ended; nobody asks for it later, so it is not stored.
    bool isAnsweredAtEnd = false;
    /// Times that the steps run by a schedule; 0 for once and now.
    std::uint32_t repeats = 0;
};

/// Why a submission cannot be served by this version.
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

/// The job for the dispatcher, or why it cannot be served.
/// Precondition: the queue is the one that the submission was sent to.
std::variant<FleetJob, Unsupported> fleetJobOf(const Submission &submission, const QueueSpec &queue,
                                               Duration callerWaits);

} // namespace rattandock::fleet
