#include "config_command.hpp"

#include <boost/json/serialize.hpp>
#include <fstream>
#include <iostream>

#include "control_request.hpp"
#include "rattandock/app/config_check.hpp"
#include "rattandock/app/config_report.hpp"
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
    ConfigReport report;
    report.file = options["FILE"].as<std::string>();
    const ConfigReading reading = format.read(readFile(report.file));
    report.version = reading.config.version;
    report.isAccepted = reading.isAccepted;
    report.queues = reading.config.queues.size();
    report.findings = checkConfiguration(reading, format, std::nullopt);
    if (options.count("json") > 0) {
        out << boost::json::serialize(toJson(report)) << '\n';
    } else {
        out << toText(report);
    }
    return report.findings.count(Severity::Error) > 0 ? exitFailed : exitOk;
}

} // namespace rattandock::app
