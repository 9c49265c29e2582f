#pragma once

#include <boost/json/object.hpp>
#include <string>

#include "rattandock/app/config_reading.hpp"

namespace rattandock::app {

/// What is told about one checked configuration.
struct ConfigReport
{
    /// Name of the file for people.
    std::string file;
    ConfigurationVersion version;
    bool isAccepted = false;
    /// The queues that could be read.
    std::size_t queues = 0;
    ConfigFindings findings;
};

/// Text for people: errors, then warnings, then a summary in one line. Control characters are shown
/// as `?`, so that text of a configuration cannot change the terminal.
std::string toText(const ConfigReport &report);

/// The same for programs; docs/config-check.md has the members.
boost::json::object toJson(const ConfigReport &report);

} // namespace rattandock::app
