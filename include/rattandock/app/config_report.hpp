#pragma once

#include <boost/json/object.hpp>
#include <optional>
#include <string>

#include "rattandock/app/config_differences.hpp"
#include "rattandock/app/config_reading.hpp"

namespace rattandock::app {

/// How the checked configuration differs from another one.
struct ConfigComparison
{
    /// The file or the daemon that the other one is from.
    std::string source;
    ConfigurationVersion version;
    /// Nothing if the checked configuration is not accepted, as queues that cannot be read would
    /// look like removed ones.
    std::optional<ConfigDifferences> differences;
};

/// Result of the check of one configuration, for output.
struct ConfigReport
{
    /// Name of the file for people.
    std::string file;
    ConfigurationVersion version;
    bool isAccepted = false;
    /// The queues that could be read.
    std::size_t queues = 0;
    ConfigFindings findings;
    std::optional<ConfigComparison> comparison;
};

/// Text for people: errors, warnings, differences, then a summary in one line. Control characters
/// are shown as `?`, so that text of a configuration cannot change the terminal.
std::string toText(const ConfigReport &report);

/// The same for programs; docs/config-check.md has the members.
boost::json::object toJson(const ConfigReport &report);

} // namespace rattandock::app
