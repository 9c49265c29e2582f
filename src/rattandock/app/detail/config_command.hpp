#pragma once

#include <cxxopts.hpp>
#include <ostream>

#include "rattandock/app/config_reading.hpp"

namespace rattandock::app {

/// Runs `rattandockctl config check FILE` and returns its exit code: 0 without errors, 1 with some.
/// Errors: throws UsageError if the command line or a file cannot be used, Unreachable if the
/// daemon gives no answer, OperationFailed if its answer is no configuration.
int runConfigCommand(const cxxopts::ParseResult &options, const ConfigFormat &format,
                     std::ostream &out);

} // namespace rattandock::app
