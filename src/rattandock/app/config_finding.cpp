#include "rattandock/app/config_finding.hpp"

namespace rattandock::app {

namespace {

struct Rule
{
    std::string_view name;
    Severity severity{};
};

constexpr std::array<Rule, configRuleCount> rules{{
        {"too-large", Severity::Error},
        {"not-json", Severity::Error},
        {"wrong-value", Severity::Error},
        {"unknown-field", Severity::Error},
        {"duplicate-field", Severity::Error},
        {"no-version", Severity::Error},
        {"version-not-above", Severity::Error},
        {"no-service", Severity::Error},
        {"unknown-service", Severity::Error},
        {"duplicate-match", Severity::Error},
        {"host-never-matches", Severity::Error},
        {"prefix-never-matches", Severity::Error},
        {"prefix-hidden", Severity::Warning},
        {"host-upper-case", Severity::Warning},
        {"no-queues", Severity::Warning},
        {"no-services", Severity::Warning},
        {"no-name", Severity::Warning},
        {"duplicate-name", Severity::Warning},
        {"timeout-below-target", Severity::Warning},
        {"attempts-exceed-timeout", Severity::Warning},
        {"no-objective", Severity::Warning},
        {"advice-unsupported", Severity::Warning},
}};

} // namespace

std::string_view name(Severity severity)
{
    return severity == Severity::Error ? "error" : "warning";
}

std::string_view name(ConfigRule rule)
{
    return rules.at(static_cast<std::size_t>(rule)).name;
}

Severity severityOf(ConfigRule rule)
{
    return rules.at(static_cast<std::size_t>(rule)).severity;
}

void ConfigFindings::add(ConfigFinding finding)
{
    if (++m_counts.at(static_cast<std::size_t>(severityOf(finding.rule))) <= maxKept) {
        m_items.push_back(std::move(finding));
    }
}

std::size_t ConfigFindings::count(Severity severity) const
{
    return m_counts.at(static_cast<std::size_t>(severity));
}

std::size_t ConfigFindings::omitted() const
{
    return count(Severity::Error) + count(Severity::Warning) - m_items.size();
}

} // namespace rattandock::app
