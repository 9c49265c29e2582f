#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <stdexcept>
#include <string>

#include "rattandock/core/job_outcome.hpp"
#include "rattandock/core/job_spec.hpp"

namespace rattandock::core::test {

/// Thrown if a schedule violates the contract in docs/design.md, section 4.1.
class ContractViolation : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Checks task starts and answers against the contract.
/// Throws `ContractViolation` at the first one that violates it.
class ContractChecker
{
public:
    /// Returns the only correct result of a task.
    static std::string expectedResult(const JobId &job, std::size_t task,
                                      const std::string &payload);

    void taskStarted(const JobId &job, TaskIndex task, const std::string &payload);

    /// Records a request that was delivered to a VM and requires an answer.
    void requestDelivered(CallerRequestId request, const JobSpec &job, int process);
    void requestAnswered(CallerRequestId request, const JobOutcome &outcome);
    /// Marks a request as no longer requiring an answer. An answer is still accepted.
    void waiveAnswer(CallerRequestId request);
    void waiveAnswersOf(int process);
    /// Returns the number of requests to a process that require an answer and have none.
    std::size_t openRequestCount(int process) const;
    /// Throws if a request that requires an answer has none.
    void requireAllAnswered() const;

    std::size_t unknownAnswers() const { return m_unknown; }
    std::size_t completeAnswers() const { return m_complete; }
    std::size_t notRunAnswers() const { return m_notRun; }

private:
    struct Request
    {
        JobSpec job;
        int process = 0;
        bool answered = false;
        bool waived = false;
    };
    /// A job id and payload. A refusal applies to this payload only, as callers may reuse ids.
    using Submission = std::pair<JobId, std::string>;

    void check(const Request &request, const JobOutcome &outcome);

    std::map<CallerRequestId, Request> m_requests;
    std::map<std::pair<JobId, TaskIndex>, std::string> m_starts;
    std::set<Submission> m_started;
    std::set<Submission> m_refused;
    std::set<Submission> m_completed;
    std::size_t m_unknown = 0;
    std::size_t m_complete = 0;
    std::size_t m_notRun = 0;
};

} // namespace rattandock::core::test
