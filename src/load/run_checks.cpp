#include "load/run_checks.hpp"

#include <sstream>

namespace rattandock::load {

namespace {

std::uint32_t startsOf(const Starts &starts, const std::string &id, std::size_t task)
{
    const auto it = starts.find(taskName(id, task));
    return it == starts.end() ? 0 : it->second;
}

void checkJob(const Scenario &scenario, const JobRecord &job, const Starts &starts,
              std::vector<std::string> &violations)
{
    const auto report = [&](const std::string &sentence) {
        violations.push_back(sentence + ": " + job.id);
    };
    std::size_t started = 0;
    for (std::size_t n = 0; n < job.tasks; ++n) {
        started += startsOf(starts, job.id, n) > 0 ? 1 : 0;
    }
    if (job.partial) {
        report("partial answer");
    }
    if (job.crossed) {
        report("crossed answer");
    }
    // For a reused id the refusal speaks of the refused submission only.
    if (job.outcome == "not-run" && job.reason != "id-reused" && started > 0) {
        report("not-run job with " + std::to_string(started) + " starts");
    }
    if (job.outcome == "complete" && started != job.tasks) {
        report("complete job with " + std::to_string(started) + " of " + std::to_string(job.tasks)
               + " tasks started");
    }
    for (const std::string &it : job.contradictions) {
        report(job.outcome + " answer followed by " + it);
    }
    const bool answered =
            job.outcome != "lost" && job.outcome != "not-connected" && !job.outcome.empty();
    if (!answered && !scenario.lostAnswersExpected) {
        report("no answer (" + job.outcome + ")");
    }
    if (job.outcome == "error") {
        report("answer that is no outcome (" + job.reason + ")");
    }
}

} // namespace

Checked<Starts> readStartLog(std::istream &in)
{
    Findings findings;
    Starts starts;
    std::size_t number = 0;
    for (std::string line; std::getline(in, line);) {
        ++number;
        std::istringstream fields{line};
        std::string time;
        std::string upstream;
        std::string task;
        std::string attempt;
        std::string rest;
        if (!(fields >> time >> upstream >> task >> attempt) || fields >> rest) {
            findings.add("line " + std::to_string(number), "must have four fields");
            continue;
        }
        ++starts[task];
    }
    if (!findings.empty()) {
        return findings;
    }
    return starts;
}

std::vector<std::string> checkRun(const Scenario &scenario, const LoadResult &result,
                                  const Starts &starts)
{
    std::vector<std::string> violations;
    for (const auto &[task, count] : starts) {
        if (count > 1) {
            violations.push_back("task started " + std::to_string(count) + " times: " + task);
        }
    }
    for (const JobRecord &it : result.jobs) {
        checkJob(scenario, it, starts, violations);
    }
    if (result.jobs.empty()) {
        violations.emplace_back("no job was submitted");
    }
    if (starts.empty()) {
        violations.emplace_back("no task started");
    }
    if (result.failedFaults > 0) {
        violations.push_back(std::to_string(result.failedFaults)
                             + " scripted faults were not taken");
    }
    if (result.idleConnections != scenario.idleConnections) {
        violations.push_back("held " + std::to_string(result.idleConnections) + " of "
                             + std::to_string(scenario.idleConnections) + " idle connections");
    }
    return violations;
}

} // namespace rattandock::load
