#include "config_command.hpp"

#include <boost/json/serialize.hpp>
#include <fstream>
#include <iostream>

#include "control_request.hpp"
#include "rattandock/app/config_check.hpp"
#include "rattandock/app/config_report.hpp"
#include "rattandock/app/configuration_json.hpp"
#include "rattandock/app/exit_code.hpp"

namespace rattandock::app {

namespace {

/// More than five times what a daemon can read; a larger file is none that was meant.
constexpr std::size_t maxFileBytes = 16U << 20U;

std::string readAll(std::istream &in, const std::string &file)
{
    std::string text;
    std::string buf(64U << 10U, '\0');
    while (in.read(buf.data(), static_cast<std::streamsize>(buf.size())) || in.gcount() > 0) {
        text.append(buf, 0, static_cast<std::size_t>(in.gcount()));
        if (text.size() > maxFileBytes) {
            throw UsageError{file + " is larger than " + std::to_string(maxFileBytes) + " bytes"};
        }
    }
    if (in.bad()) {
        throw UsageError{file + " cannot be read"};
    }
    return text;
}

std::string readFile(const std::string &file)
{
    if (file == "-") {
        return readAll(std::cin, "standard input");
    }
    std::ifstream in{file, std::ios::binary};
    if (!in) {
        throw UsageError{file + " cannot be read"};
    }
    return readAll(in, file);
}

/// A configuration to compare with, and where it is from.
struct OtherConfig
{
    std::string source;
    fleet::FleetConfig config;
};

OtherConfig readOther(const std::string &file, const ConfigFormat &format)
{
    ConfigReading reading = format.read(readFile(file));
    if (!reading.isAccepted) {
        const auto &findings = reading.findings.items();
        throw UsageError{"--against " + file + " has no configuration"
                         + (findings.empty() ? std::string{}
                                             : ": " + findings.front().place + ": "
                                                       + findings.front().message)};
    }
    return {file, std::move(reading.config)};
}

OtherConfig askForOther(const cxxopts::ParseResult &options)
{
    const std::string source = "the daemon at " + options["operator"].as<std::string>();
    const auto answer = askDaemon(options, "operator", "GET", "/v1/configuration");
    if (answer.status != 200) {
        throw OperationFailed{
                source + " gives no configuration (status " + std::to_string(answer.status)
                + "): none is in force, or it is of an older build or without a fleet"};
    }
    auto config = parseConfiguration(answer.body);
    if (!config) {
        const Finding &it = config.error().items().front();
        throw OperationFailed{source + " gives a configuration that cannot be read: " + it.place
                              + ": " + it.message};
    }
    return {source, std::move(config.value())};
}

std::optional<OtherConfig> otherConfig(const cxxopts::ParseResult &options,
                                       const ConfigFormat &format)
{
    if (options.count("against-active") > 0) {
        if (options.count("against") > 0) {
            throw UsageError{"--against and --against-active exclude each other"};
        }
        return askForOther(options);
    }
    if (options.count("against") == 0) {
        return std::nullopt;
    }
    return readOther(options["against"].as<std::string>(), format);
}

ConfigComparison compare(const OtherConfig &other, const ConfigReading &reading)
{
    ConfigComparison comparison{other.source, other.config.version, std::nullopt};
    if (reading.isAccepted) {
        comparison.differences = compareConfigurations(other.config, reading.config);
    }
    return comparison;
}

} // namespace

int runConfigCommand(const cxxopts::ParseResult &options, const ConfigFormat &format,
                     std::ostream &out)
{
    if (options.count("ACTION") == 0 || options["ACTION"].as<std::string>() != "check") {
        throw UsageError{"config needs the action check"};
    }
    if (options.count("FILE") == 0) {
        throw UsageError{"FILE is missing"};
    }
    const auto other = otherConfig(options, format);
    ConfigReport report;
    report.file = options["FILE"].as<std::string>();
    const ConfigReading reading = format.read(readFile(report.file));
    report.version = reading.config.version;
    report.isAccepted = reading.isAccepted;
    report.queues = reading.config.queues.size();
    if (other) {
        report.findings = checkConfiguration(reading, format, other->config.version);
        report.comparison = compare(*other, reading);
    } else {
        report.findings = checkConfiguration(reading, format, std::nullopt);
    }
    if (options.count("json") > 0) {
        out << boost::json::serialize(toJson(report)) << '\n';
    } else {
        out << toText(report);
    }
    return report.findings.count(Severity::Error) > 0 ? exitFailed : exitOk;
}

} // namespace rattandock::app
