#include <cxxopts.hpp>
#include <iostream>

#include "rattandock/adapters/http_server.hpp"
#include "rattandock/adapters/json_document.hpp"
#include "rattandock/adapters/system_clock.hpp"
#include "rattandock/app/exit_code.hpp"
#include "standins/platform/platform_settings.hpp"
#include "standins/stop_signals.hpp"

using namespace rattandock;
using namespace rattandock::standins;

namespace {

cxxopts::Options commandLine()
{
    cxxopts::Options options{"platform-standin",
                             "Table service, object store and VM list, for tests."};
    options.add_options()("s,settings", "settings file, JSON with comments",
                          cxxopts::value<std::string>())("port", "port on the loopback",
                                                         cxxopts::value<std::uint16_t>())(
            "check-settings", "report every fault of the settings and exit")(
            "version", "print the version")("h,help", "print this help");
    return options;
}

Checked<PlatformStandinSettings> settingsFrom(const cxxopts::ParseResult &arguments)
{
    PlatformStandinSettings settings;
    if (arguments.count("settings") > 0) {
        const auto file = arguments["settings"].as<std::string>();
        const auto text = adapters::readTextFile(file);
        if (!text) {
            return text.error();
        }
        const auto parsed = parsePlatformSettings(text.value(), file);
        if (!parsed) {
            return parsed.error();
        }
        settings = parsed.value();
    }
    if (arguments.count("port") > 0) {
        settings.address.port(arguments["port"].as<std::uint16_t>());
    }
    return settings;
}

int serve(const PlatformStandinSettings &settings)
{
    const StopSignals stopSignals;
    const adapters::SystemClock clock;
    StandinPlatform platform{settings.limits, clock, settings.vms};
    adapters::IoThreads threads{settings.ioThreads};
    adapters::HttpServerLimits limits;
    limits.maxConnections = settings.maxConnections;
    const auto server = adapters::HttpServer::listen(
            threads, settings.address, limits,
            [&platform](const auto &request) { return platform.serve(request); },
            [](std::string_view) {});
    if (!server) {
        std::cerr << "platform-standin: port " << settings.address.port() << ": "
                  << server.error().message() << "\n";
        return app::exitFailed;
    }
    stopSignals.wait();
    platform.stop();
    server.value()->stop();
    threads.stop();
    return app::exitOk;
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
        std::cout << "platform-standin " RATTANDOCK_VERSION "\n";
        return app::exitOk;
    }
    if (!arguments.unmatched().empty()) {
        std::cerr << "platform-standin: unknown argument; see --help\n";
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
    return serve(settings.value());
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return run(argc, argv);
    } catch (const cxxopts::exceptions::exception &error) {
        std::cerr << "platform-standin: " << error.what() << "\n";
        return app::exitUsage;
    }
}
