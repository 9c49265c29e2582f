#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "rattandock/app/config_finding.hpp"
#include "rattandock/fleet/fleet_config.hpp"

namespace rattandock::app {

/// The members of a queue in a configuration.
enum class QueueField : std::uint8_t {
    Name,
    Host,
    PathPrefix,
    Service,
    Timeout,
    TargetLatency,
    Stretch,
    MaxAttempts,
    Priority,
    Advice
};

inline constexpr std::size_t queueFieldCount = 10;
/// The product's names, as in `GET /v1/configuration`.
std::string_view name(QueueField field);

/// A configuration as its decoder read it, with what the decoder found.
struct ConfigReading
{
    /// True if the daemon puts this configuration in force when its version is above the active
    /// one.
    bool isAccepted = false;
    /// The version, and the queues that could be read.
    fleet::FleetConfig config;
    /// For each queue of `config` its position among the queues as written, from 0.
    std::vector<std::size_t> positions;
    /// The services that the configuration defines.
    std::vector<fleet::ServiceId> services;
    ConfigFindings findings;
};

/// How configurations are written: the decoder, and the names of places in them.
struct ConfigFormat
{
    std::function<ConfigReading(std::string_view)> read;
    std::function<std::string(std::size_t position, QueueField)> queuePlace;
    std::string versionPlace;
    std::string queuesPlace;
    std::string servicesPlace;
};

} // namespace rattandock::app
