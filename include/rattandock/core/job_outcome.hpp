#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "rattandock/base/ids.hpp"
#include "rattandock/base/time.hpp"
#include "rattandock/core/reason.hpp"

namespace rattandock::core {

/// All tasks completed. Holds their results in task order.
struct Complete
{
    std::vector<std::string> results;

    friend bool operator==(const Complete &, const Complete &) = default;
};

/// At least one task has no result. Lists the tasks that started or may have started.
struct Failed
{
    FailureReason reason{};
    std::vector<TaskIndex> startedTasks;

    friend bool operator==(const Failed &, const Failed &) = default;
};

/// No task of the submission has been started, and none will be started under this id.
struct NotRun
{
    RefusalReason reason{};
    /// Time after which the caller may retry under a new id. Empty if a retry cannot succeed.
    std::optional<Duration> retryAfter;

    friend bool operator==(const NotRun &, const NotRun &) = default;
};

/// The job may have run. Used only if no more specific outcome can be determined.
struct Unknown
{
    UnknownReason reason{};

    friend bool operator==(const Unknown &, const Unknown &) = default;
};

/// The final answer to a submission.
using JobOutcome = std::variant<Complete, Failed, NotRun, Unknown>;

/// Returns the total size of the task results in bytes; 0 for outcomes without results.
std::uint64_t bodyBytes(const JobOutcome &outcome);

/// Returns the outcome without its results: Complete becomes Failed with reason answer-evicted and
/// all tasks listed as started. Other outcomes are returned unchanged.
JobOutcome withoutBody(const JobOutcome &outcome);

/// Returns `complete`, `failed`, `not-run` or `unknown`.
std::string_view name(const JobOutcome &outcome);

/// Returns the stable name of the reason, or an empty view for a complete job.
std::string_view reasonName(const JobOutcome &outcome);

} // namespace rattandock::core
