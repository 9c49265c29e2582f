#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <stdexcept>
#include <string>

#include "rattandock/core/job_outcome.hpp"
#include "rattandock/core/job_spec.hpp"

namespace rattandock::core::test {

/// A schedule led to a breach of the contract of docs/design.md, section 4.1.
class Breach : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Judges starts and answers. Throws Breach at the first one that breaks the contract.
class ContractChecker
{
public:
    /// The one right result of a task.
    static std::string resultOf(const JobId &job, std::size_t task, const std::string &payload);

    void started(const JobId &job, TaskIndex task, const std::string &payload);

    /// A request was delivered to a VM and waits for its answer.
    void asked(CallerRequestId request, const JobSpec &job, int process);
    void answered(CallerRequestId request, const JobOutcome &outcome);
    /// No answer is needed any more, but one may still come.
    void excuse(CallerRequestId request);
    void excuseAllOf(int process);
    /// Requests of a process that need an answer and have none.
    std::size_t openOf(int process) const;
    /// Throws if a request has no answer.
    void finish() const;

    std::size_t unknownAnswers() const { return m_unknown; }
    std::size_t completeAnswers() const { return m_complete; }
    std::size_t notRunAnswers() const { return m_notRun; }

private:
    struct Request
    {
        JobSpec job;
        int process = 0;
        bool answered = false;
        bool excused = false;
    };
    /// A body under an id; a refusal speaks of one body only.
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
