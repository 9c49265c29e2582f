#pragma once

#include <boost/json/value.hpp>
#include <string>
#include <string_view>

#include "rattandock/base/result.hpp"

namespace rattandock::adapters {

/// Parses one JSON object; comments and trailing commas are allowed.
/// Errors: one finding with the file and the line.
/// Thread safety: may be called from any thread.
Checked<boost::json::object> parseJsonDocument(std::string_view text, const std::string &file);

/// The whole file as text. Errors: one finding that names the file.
Checked<std::string> readTextFile(const std::string &file);

/// The same findings with `FILE: ` before each place.
Findings withFile(const Findings &findings, const std::string &file);

} // namespace rattandock::adapters
