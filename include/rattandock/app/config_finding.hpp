#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace rattandock::app {

enum class Severity : std::uint8_t {
    /// The daemon refuses the configuration, or a part of it can have no effect.
    Error,
    /// The configuration can be put in force, but a part of it contradicts another.
    Warning
};

inline constexpr std::size_t severityCount = 2;
std::string_view name(Severity severity);

/// What a check of a configuration can find. docs/config-check.md has a row for each.
enum class ConfigRule : std::uint8_t {
    TooLarge,
    NotJson,
    WrongValue,
    UnknownField,
    DuplicateField,
    NoVersion,
    VersionNotAbove,
    NoService,
    UnknownService,
    DuplicateMatch,
    HostNeverMatches,
    PrefixNeverMatches,
    PrefixHidden,
    HostUpperCase,
    NoQueues,
    NoServices,
    NoName,
    DuplicateName,
    TimeoutBelowTarget,
    AttemptsExceedTimeout,
    NoObjective,
    AdviceUnsupported
};

inline constexpr std::size_t configRuleCount = 22;
/// Stable names for scripts.
std::string_view name(ConfigRule rule);
Severity severityOf(ConfigRule rule);

/// One fault of a configuration.
struct ConfigFinding
{
    ConfigRule rule{};
    /// Where it stands, in the names of the format that the configuration was written in.
    std::string place;
    /// What is wrong, as one sentence without a full stop.
    std::string message;
    /// What to do, as one sentence without a full stop.
    std::string remedy;
};

/// Collects findings so that they are reported together. Keeps a bounded number of each severity
/// and counts all. Thread safety: none.
class ConfigFindings
{
public:
    /// The findings kept of each severity: a file of 10,000 queues with the same fault in each must
    /// not need more memory than the configuration itself.
    static constexpr std::size_t maxKept = 1'000;

    void add(ConfigFinding finding);

    /// In the order in which they were added.
    const std::vector<ConfigFinding> &items() const { return m_items; }
    /// All that were added, also those that were not kept.
    std::size_t count(Severity severity) const;
    std::size_t omitted() const;

private:
    std::vector<ConfigFinding> m_items;
    std::array<std::size_t, severityCount> m_counts{};
};

} // namespace rattandock::app
