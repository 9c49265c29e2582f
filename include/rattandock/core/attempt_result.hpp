#pragma once

#include <string>
#include <variant>

#include "rattandock/core/reason.hpp"

namespace rattandock::core {

/// The upstream ran the task and returned the result in `body`.
struct AttemptCompleted
{
    std::string body;
};

/// The task certainly did not start, so it may be sent again.
struct AttemptNotStarted
{
    NotStartedReason reason{};
};

/// The task started or may have started, and there is no result.
struct AttemptFailed
{
    AttemptFailure reason{};
};

using AttemptResult = std::variant<AttemptCompleted, AttemptNotStarted, AttemptFailed>;

} // namespace rattandock::core
