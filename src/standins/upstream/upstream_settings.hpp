#pragma once

#include <boost/asio/ip/address.hpp>
#include <string>
#include <string_view>

#include "rattandock/adapters/json_object_reader.hpp"
#include "rattandock/base/result.hpp"
#include "standins/upstream/run_time_model.hpp"

namespace rattandock::standins {

/// The settings of `upstream-standin`.
struct UpstreamStandinSettings
{
    /// Loopback only.
    boost::asio::ip::address address = boost::asio::ip::make_address("127.0.0.1");
    std::uint16_t firstPort = 7300;
    std::uint16_t count = 4;
    std::uint32_t slots = 8;
    std::size_t ioThreads = 2;
    /// Of one upstream.
    std::size_t maxConnections = 60;
    /// Empty: no start log.
    std::string startLog;
    RunTimeModel runTime;
};

/// Reads the keys of a run time model.
void readRunTimeModel(adapters::JsonObjectReader &reader, RunTimeModel &into);

/// Reads settings in JSON with comments. Errors: every finding with the file and its JSON path.
Checked<UpstreamStandinSettings> parseUpstreamSettings(std::string_view text,
                                                       const std::string &file);

/// The settings as one line that parseUpstreamSettings() reads.
std::string formatUpstreamSettings(const UpstreamStandinSettings &settings);

/// Faults that stand between keys, such as a port range that ends above 65535.
Findings checkUpstreamSettings(const UpstreamStandinSettings &settings);

} // namespace rattandock::standins
