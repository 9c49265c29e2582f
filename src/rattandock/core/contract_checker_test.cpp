#include "contract_checker_test.hpp"

namespace rattandock::core::test {

std::string ContractChecker::expectedResult(const JobId &job, std::size_t task,
                                            const std::string &payload)
{
    return job.value() + '#' + std::to_string(task) + '=' + payload;
}

void ContractChecker::taskStarted(const JobId &job, TaskIndex task, const std::string &payload)
{
    const std::string name = job.value() + '#' + std::to_string(task.value());
    if (!m_starts.emplace(std::pair{job, task}, payload).second) {
        throw ContractViolation("started twice: " + name);
    }
    if (m_refused.contains({job, payload})) {
        throw ContractViolation("started after not-run: " + name);
    }
    m_started.insert({job, payload});
}

void ContractChecker::requestDelivered(CallerRequestId request, const JobSpec &job, int process)
{
    m_requests.emplace(request, Request{job, process});
}

void ContractChecker::requestAnswered(CallerRequestId request, const JobOutcome &outcome)
{
    const auto it = m_requests.find(request);
    if (it == m_requests.end()) {
        throw ContractViolation("answer to an unknown request");
    }
    if (it->second.answered) {
        throw ContractViolation("answered twice: " + it->second.job.id.value());
    }
    it->second.answered = true;
    check(it->second, outcome);
}

void ContractChecker::check(const Request &request, const JobOutcome &outcome)
{
    const JobSpec &job = request.job;
    const Submission submission{job.id, job.tasks.front().payload};
    if (const auto *complete = std::get_if<Complete>(&outcome)) {
        ++m_complete;
        if (complete->results.size() != job.tasks.size()) {
            throw ContractViolation("missing results: " + job.id.value());
        }
        for (std::size_t n = 0; n < job.tasks.size(); ++n) {
            if (complete->results[n] != expectedResult(job.id, n, job.tasks[n].payload)) {
                throw ContractViolation("unexpected result: " + complete->results[n]);
            }
        }
        m_completed.insert(submission);
    } else if (std::holds_alternative<NotRun>(outcome)) {
        ++m_notRun;
        const std::string reason{reasonName(outcome)};
        if (m_completed.contains(submission)) {
            throw ContractViolation("not-run (" + reason + ") after complete: " + job.id.value());
        }
        if (m_started.contains(submission)) {
            throw ContractViolation("not-run (" + reason + ") after a start: " + job.id.value());
        }
        m_refused.insert(submission);
    } else if (std::holds_alternative<Unknown>(outcome)) {
        ++m_unknown;
    }
}

void ContractChecker::waiveAnswer(CallerRequestId request)
{
    m_requests.at(request).waived = true;
}

void ContractChecker::waiveAnswersOf(int process)
{
    for (auto &[request, it] : m_requests) {
        it.waived = it.waived || it.process == process;
    }
}

std::size_t ContractChecker::openRequestCount(int process) const
{
    std::size_t n = 0;
    for (const auto &[request, it] : m_requests) {
        n += it.process == process && !it.answered && !it.waived ? 1 : 0;
    }
    return n;
}

void ContractChecker::requireAllAnswered() const
{
    for (const auto &[request, it] : m_requests) {
        if (!it.answered && !it.waived) {
            throw ContractViolation("no answer: " + it.job.id.value());
        }
    }
}

} // namespace rattandock::core::test
