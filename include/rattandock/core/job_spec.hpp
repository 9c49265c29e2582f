#pragma once

#include <string>
#include <vector>

#include "rattandock/base/ids.hpp"
#include "rattandock/base/time.hpp"
#include "rattandock/base/units.hpp"

namespace rattandock::core {

/// Resources that a task requires on its upstream.
struct Resources
{
    Cores cores{1};
    Megabytes memory{0};
    Accelerators accelerators{0};

    friend bool operator==(const Resources &, const Resources &) = default;
};

/// One task as declared by the caller.
struct TaskSpec
{
    std::string payload;
    /// Declared run time on an upstream of speed 1; 0 if not declared. Callers' estimates are often
    /// inaccurate.
    Duration estimate{};
    Resources needs;

    friend bool operator==(const TaskSpec &, const TaskSpec &) = default;
};

/// One submission of a job, with 1 to 200 tasks.
struct JobSpec
{
    JobId id;
    TeamId team;
    /// Time that the caller waits for the answer, counted from the arrival of the submission.
    Duration deadline{};
    std::vector<TaskSpec> tasks;

    friend bool operator==(const JobSpec &, const JobSpec &) = default;
};

/// Digest of all fields except the id. Distinguishes a resubmission from a different job that was
/// submitted under the same id.
using SpecDigest = StrongValue<struct SpecDigestTag, std::uint64_t>;

SpecDigest digestOf(const JobSpec &job);

} // namespace rattandock::core
