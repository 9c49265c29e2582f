#pragma once

#include <string>
#include <string_view>

#include "rattandock/base/result.hpp"
#include "rattandock/core/action.hpp"
#include "rattandock/core/dispatcher.hpp"
#include "rattandock/core/job_spec.hpp"

namespace rattandock::adapters {

/// Bounds of a submission.
struct JobLimits
{
    std::size_t maxTasks = 200;
    std::size_t maxPayloadBytes = 64U << 10U;
    Duration maxDeadline = std::chrono::seconds{60};
};

/// Reads the body of `POST /v1/jobs`. Errors: every finding, each with its JSON path.
/// Thread safety: may be called from any thread.
Checked<core::JobSpec> parseJob(std::string_view body, const JobLimits &limits);

/// The answer's body: `id`, `outcome`, and by outcome `results`, `reason`, `startedTasks`,
/// `retryAfterMs`.
std::string formatAnswer(const JobId &id, const core::JobOutcome &outcome);

/// The body of `GET /v1/jobs/ID`.
std::string formatView(const core::JobView &view);

/// An `error` object with the findings.
std::string formatError(std::string_view error, const Findings &findings);

/// HTTP status of an outcome.
unsigned statusOf(const core::JobOutcome &outcome);

} // namespace rattandock::adapters
