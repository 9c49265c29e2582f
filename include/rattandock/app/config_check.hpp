#pragma once

#include <optional>

#include "rattandock/app/config_reading.hpp"

namespace rattandock::app {

/// Checks a configuration for what the daemon would accept but not serve as meant: queues that no
/// job reaches or that have no service, and members that contradict each other. Returns the
/// decoder's findings and its own. Queues that could not be read are not checked further.
///
/// Handles configurations of 10,000 queues and more: the time grows with the number of queues n as
/// n log n. Without `activeVersion` the version is not compared.
/// Thread safety: may be called from any thread.
ConfigFindings checkConfiguration(const ConfigReading &reading, const ConfigFormat &format,
                                  std::optional<ConfigurationVersion> activeVersion);

} // namespace rattandock::app
