#pragma once

#include <string>
#include <vector>

#include "rattandock/base/ids.hpp"
#include "rattandock/base/time.hpp"
#include "rattandock/base/units.hpp"

namespace rattandock::core {

/// What a task needs from an upstream.
struct Resources
{
    Cores cores{1};
    Megabytes memory{0};
    Accelerators accelerators{0};

    friend bool operator==(const Resources &, const Resources &) = default;
};

/// One task as its caller declared it.
struct TaskSpec
{
    std::string payload;
    /// Declared run time on an upstream of speed 1; often far off.
    Duration estimate{};
    Resources needs;

    friend bool operator==(const TaskSpec &, const TaskSpec &) = default;
};

/// One submission of a job. Shape: 1 to 200 tasks.
struct JobSpec
{
    JobId id;
    TeamId team;
    /// Time that the caller waits for the answer, from its arrival.
    Duration deadline{};
    std::vector<TaskSpec> tasks;

    friend bool operator==(const JobSpec &, const JobSpec &) = default;
};

/// Digest of everything but the id, to tell a resubmission from another job under the same id.
using SpecDigest = StrongValue<struct SpecDigestTag, std::uint64_t>;

SpecDigest digestOf(const JobSpec &job);

} // namespace rattandock::core
