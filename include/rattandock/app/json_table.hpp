#pragma once

#include <boost/json/value.hpp>
#include <string>

namespace rattandock::app {

/// Text for people: one aligned `name  value` line for each scalar, then one table with a heading
/// for each array of objects. Control characters are shown as `?`, so that text of a job cannot
/// change the terminal.
std::string toTable(const boost::json::value &value);

} // namespace rattandock::app
