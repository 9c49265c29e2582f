#include <cxxopts.hpp>
#include <iostream>

#include "rattandock/adapters/json_document.hpp"
#include "rattandock/app/exit_code.hpp"
#include "standins/stop_signals.hpp"
#include "standins/upstream/upstream_fleet.hpp"

using namespace rattandock;
using namespace rattandock::standins;

namespace {

cxxopts::Options commandLine()
{
    cxxopts::Options options{"upstream-standin", "Many upstreams on loopback ports, for tests."};
    options.add_options()("s,settings", "settings file, JSON with comments",
                          cxxopts::value<std::string>())("first-port", "port of the first upstream",
                                                         cxxopts::value<std::uint16_t>())(
            "count", "number of upstreams", cxxopts::value<std::uint16_t>())(
            "slots", "slots of each", cxxopts::value<std::uint32_t>())(
            "start-log", "file that gets a line per started task", cxxopts::value<std::string>())(
            "check-settings", "report every fault of the settings and exit")(
            "version", "print the version")("h,help", "print this help");
    return options;
}

template <typename T>
void takeOption(const cxxopts::ParseResult &arguments, const std::string &option, T &into)
{
    if (arguments.count(option) > 0) {
        into = arguments[option].as<T>();
    }
}

Checked<UpstreamStandinSettings> settingsFrom(const cxxopts::ParseResult &arguments)
{
    UpstreamStandinSettings settings;
    if (arguments.count("settings") > 0) {
        const auto file = arguments["settings"].as<std::string>();
        const auto text = adapters::readTextFile(file);
        if (!text) {
            return text.error();
        }
        const auto parsed = parseUpstreamSettings(text.value(), file);
        if (!parsed) {
            return parsed.error();
        }
        settings = parsed.value();
    }
    takeOption(arguments, "first-port", settings.firstPort);
    takeOption(arguments, "count", settings.count);
    takeOption(arguments, "slots", settings.slots);
    takeOption(arguments, "start-log", settings.startLog);
    if (auto findings = checkUpstreamSettings(settings); !findings.empty()) {
        return findings;
    }
    return settings;
}

int run(int argc, char **argv)
{
    auto options = commandLine();
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) {
        std::cout << options.help();
        return app::exitOk;
    }
    if (arguments.count("version") > 0) {
        std::cout << "upstream-standin " RATTANDOCK_VERSION "\n";
        return app::exitOk;
    }
    if (!arguments.unmatched().empty()) {
        std::cerr << "upstream-standin: unknown argument; see --help\n";
        return app::exitUsage;
    }
    const auto settings = settingsFrom(arguments);
    if (!settings) {
        std::cerr << describe(settings.error());
        return app::exitSettings;
    }
    if (arguments.count("check-settings") > 0) {
        std::cout << "settings are valid\n";
        return app::exitOk;
    }
    const StopSignals stopSignals;
    auto fleet = UpstreamFleet::start(settings.value());
    if (!fleet) {
        std::cerr << describe(fleet.error());
        return app::exitFailed;
    }
    stopSignals.wait();
    fleet.value()->stop();
    return app::exitOk;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return run(argc, argv);
    } catch (const cxxopts::exceptions::exception &error) {
        std::cerr << "upstream-standin: " << error.what() << "\n";
        return app::exitUsage;
    }
}
