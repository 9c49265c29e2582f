#include <csignal>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>

#include "load/report.hpp"
#include "load/run_checks.hpp"
#include "rattandock/adapters/json_document.hpp"
#include "rattandock/app/exit_code.hpp"

using namespace rattandock;
using namespace rattandock::load;

namespace {

cxxopts::Options commandLine()
{
    cxxopts::Options options{"rattandock-load", "Open-loop load and experiments."};
    options.add_options()("scenario", "scenario file, JSON with comments",
                          cxxopts::value<std::string>())(
            "start-log", "start log of the upstream stand-in (default: that of the scenario)",
            cxxopts::value<std::string>())("jobs", "file for one JSON line per job",
                                           cxxopts::value<std::string>())(
            "points", "file for the plot's points", cxxopts::value<std::string>())(
            "print-upstream-settings",
            "print the scenario's settings for upstream-standin and exit")(
            "check-settings", "report every fault of the scenario and exit")(
            "version", "print the version")("h,help", "print this help");
    return options;
}

int runScenario(const Scenario &scenario, const cxxopts::ParseResult &arguments)
{
    adapters::IoThreads threads{1};
    const LoadResult result = runLoad(scenario, threads);
    threads.stop();
    writeTable(std::cout, scenario, result);
    if (arguments.count("jobs") > 0) {
        std::ofstream out{arguments["jobs"].as<std::string>()};
        writeJobLines(out, scenario, result);
    }
    if (arguments.count("points") > 0) {
        std::ofstream out{arguments["points"].as<std::string>()};
        writePoints(out, scenario, result);
    }
    const std::string logFile = arguments.count("start-log") > 0
                                        ? arguments["start-log"].as<std::string>()
                                        : scenario.upstreams.startLog;
    std::ifstream log{logFile};
    if (!log) {
        std::cerr << "rattandock-load: the start log cannot be read: " << logFile << '\n';
        return app::exitFailed;
    }
    const auto starts = readStartLog(log);
    if (!starts) {
        std::cerr << describe(starts.error());
        return app::exitFailed;
    }
    const auto violations = checkRun(scenario, result, starts.value());
    constexpr std::size_t shown = 10;
    for (std::size_t n = 0; n < std::min(shown, violations.size()); ++n) {
        std::cout << "violation: " << violations[n] << '\n';
    }
    std::cout << "checks: " << violations.size() << " violations\n";
    return violations.empty() ? app::exitOk : app::exitFailed;
}

int run(int argc, char **argv)
{
    auto options = commandLine();
    options.parse_positional({"scenario"});
    options.positional_help("SCENARIO");
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) {
        std::cout << options.help();
        return app::exitOk;
    }
    if (arguments.count("version") > 0) {
        std::cout << "rattandock-load " RATTANDOCK_VERSION "\n";
        return app::exitOk;
    }
    if (arguments.count("scenario") == 0 || !arguments.unmatched().empty()) {
        std::cerr << "rattandock-load: one SCENARIO is needed; see --help\n";
        return app::exitUsage;
    }
    const auto file = arguments["scenario"].as<std::string>();
    const auto text = adapters::readTextFile(file);
    if (!text) {
        std::cerr << describe(text.error());
        return app::exitSettings;
    }
    const auto scenario = parseScenario(text.value(), file);
    if (!scenario) {
        std::cerr << describe(scenario.error());
        return app::exitSettings;
    }
    if (arguments.count("check-settings") > 0) {
        std::cout << "settings are valid\n";
        return app::exitOk;
    }
    if (arguments.count("print-upstream-settings") > 0) {
        std::cout << standins::formatUpstreamSettings(scenario.value().upstreams);
        return app::exitOk;
    }
    std::signal(SIGPIPE, SIG_IGN);
    return runScenario(scenario.value(), arguments);
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return run(argc, argv);
    } catch (const cxxopts::exceptions::exception &error) {
        std::cerr << "rattandock-load: " << error.what() << "\n";
        return app::exitUsage;
    }
}
