#include "rattandock/core/job_outcome.hpp"

#include "rattandock/base/overloaded.hpp"

namespace rattandock::core {

std::uint64_t bodyBytes(const JobOutcome &outcome)
{
    std::uint64_t n = 0;
    if (const auto *complete = std::get_if<Complete>(&outcome)) {
        for (const std::string &it : complete->results) {
            n += it.size();
        }
    }
    return n;
}

JobOutcome withoutBody(const JobOutcome &outcome)
{
    const auto *complete = std::get_if<Complete>(&outcome);
    if (complete == nullptr) {
        return outcome;
    }
    Failed failed{FailureReason::AnswerEvicted, {}};
    for (std::uint32_t n = 0; n < complete->results.size(); ++n) {
        failed.startedTasks.emplace_back(n);
    }
    return failed;
}

std::string_view name(const JobOutcome &outcome)
{
    return std::visit(Overloaded{[](const Complete &) { return "complete"; },
                                 [](const Failed &) { return "failed"; },
                                 [](const NotRun &) { return "not-run"; },
                                 [](const Unknown &) { return "unknown"; }},
                      outcome);
}

std::string_view reasonName(const JobOutcome &outcome)
{
    return std::visit(Overloaded{[](const Complete &) { return std::string_view{}; },
                                 [](const auto &it) { return name(it.reason); }},
                      outcome);
}

} // namespace rattandock::core
