#include "rattandock/core/job_outcome.hpp"

#include "rattandock/base/overloaded.hpp"

namespace rattandock::core {

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
