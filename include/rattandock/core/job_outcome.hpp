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

/// Every task's result, in task order.
struct Complete
{
    std::vector<std::string> results;

    friend bool operator==(const Complete &, const Complete &) = default;
};

/// No whole answer; lists the tasks that started or may have started.
struct Failed
{
    FailureReason reason{};
    std::vector<TaskIndex> startedTasks;

    friend bool operator==(const Failed &, const Failed &) = default;
};

/// No task of the submission was started or ever will be under this id.
struct NotRun
{
    RefusalReason reason{};
    /// When the caller may try again, under a new id; nothing if it is of no use.
    std::optional<Duration> retryAfter;

    friend bool operator==(const NotRun &, const NotRun &) = default;
};

/// The job may have run. Never given when a better answer is known.
struct Unknown
{
    UnknownReason reason{};

    friend bool operator==(const Unknown &, const Unknown &) = default;
};

/// The one final answer of a submission.
using JobOutcome = std::variant<Complete, Failed, NotRun, Unknown>;

/// Size of the task results.
std::uint64_t bodyBytes(const JobOutcome &outcome);

/// What remains of an outcome when its results are dropped: a complete job becomes failed
/// (answer-evicted) with all tasks started.
JobOutcome withoutBody(const JobOutcome &outcome);

/// `complete`, `failed`, `not-run` or `unknown`.
std::string_view name(const JobOutcome &outcome);

/// The stable name of the reason, or an empty view for a complete job.
std::string_view reasonName(const JobOutcome &outcome);

} // namespace rattandock::core
