#pragma once

#include <ostream>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "rattandock/app/config_reading.hpp"

namespace rattandock::app {

/// One command of `rattandockctl`.
struct ControlCommand
{
    std::string_view name;
    std::string_view help;
    /// Name of the one positional argument; empty if there is none.
    std::string_view argument;
    /// What follows the name in the help text.
    std::string_view usage;
};

/// All commands, in the order of the help text.
std::span<const ControlCommand> controlCommands();

/// Runs `rattandockctl` with the given arguments (without the program's name). Configurations are
/// read in the given format.
/// Returns the exit code: 0 success, 1 the operation failed, its job did not complete or its
/// configuration has errors, 2 usage error or unreadable file, 4 no answer from the daemon.
int runControl(const std::vector<std::string> &arguments, std::string_view version,
               const ConfigFormat &format, std::ostream &out, std::ostream &err);

} // namespace rattandock::app
