#include <csignal>
#include <cxxopts.hpp>
#include <iostream>
#include <thread>

#include "platform/platform_adapters.hpp"
#include "rattandock/adapters/log.hpp"
#include "rattandock/adapters/settings.hpp"
#include "rattandock/app/daemon.hpp"
#include "rattandock/app/exit_code.hpp"
#include "rattandock/app/fleet_daemon.hpp"

using namespace rattandock;

namespace {

cxxopts::Options commandLine()
{
    cxxopts::Options options{"rattandockd", "Dispatcher for sub-second tasks, one per entry VM."};
    options.add_options()("s,settings", "settings file, JSON with comments",
                          cxxopts::value<std::string>())(
            "check-settings", "report every fault of the settings and exit")(
            "version", "print the version")("h,help", "print this help");
    return options;
}

void reload(app::Daemon &daemon, const adapters::Settings &settings)
{
    if (settings.peerTls) {
        daemon.reloadPeerTls();
    }
}

void reload(app::FleetDaemon & /*daemon*/, const adapters::Settings & /*settings*/)
{
    // What changes while the daemon runs comes from the platform; addresses need a restart.
    adapters::log(adapters::LogLevel::Info, adapters::LogPart::Daemon,
                  "reload requested, no setting can change while running");
}

/// Runs the daemon until a stop signal, or until an operator's drain is done.
template <typename AnyDaemon>
int serve(AnyDaemon &daemon, const adapters::Settings &settings, const sigset_t &awaitedSignals)
{
    constexpr timespec pollTime{0, 100'000'000};
    while (!daemon.isDrained()) {
        const int signal = sigtimedwait(&awaitedSignals, nullptr, &pollTime);
        if (signal == SIGHUP) {
            reload(daemon, settings);
        } else if (signal == SIGTERM || signal == SIGINT) {
            break;
        }
    }
    daemon.drain();
    while (!daemon.isDrained()) {
        std::this_thread::sleep_for(std::chrono::milliseconds{10});
    }
    daemon.stop();
    adapters::log(adapters::LogLevel::Info, adapters::LogPart::Daemon, "stopped");
    adapters::shutDownLog();
    return app::exitOk;
}

int start(const adapters::Settings &settings, const sigset_t &awaitedSignals)
{
    const auto run = [&](auto daemon) {
        if (!daemon) {
            std::cerr << describe(daemon.error());
            return app::exitFailed;
        }
        return serve(*daemon.value(), settings, awaitedSignals);
    };
    if (settings.fleet) {
        return run(app::FleetDaemon::start(settings, platform::makePlatformAdapters()));
    }
    return run(app::Daemon::start(settings));
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
        std::cout << "rattandockd " RATTANDOCK_VERSION "\n";
        return app::exitOk;
    }
    if (arguments.count("settings") == 0 || !arguments.unmatched().empty()) {
        std::cerr << "rattandockd: --settings FILE is needed; see --help\n";
        return app::exitUsage;
    }
    const auto settings = adapters::loadSettings(arguments["settings"].as<std::string>());
    if (!settings) {
        std::cerr << describe(settings.error());
        return app::exitSettings;
    }
    if (arguments.count("check-settings") > 0) {
        std::cout << "settings are valid\n";
        return app::exitOk;
    }
    // Blocked before any thread starts, so that only sigwait() takes them.
    sigset_t awaitedSignals;
    sigemptyset(&awaitedSignals);
    sigaddset(&awaitedSignals, SIGTERM);
    sigaddset(&awaitedSignals, SIGINT);
    sigaddset(&awaitedSignals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &awaitedSignals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    adapters::setUpLog(settings.value().logLevel);
    return start(settings.value(), awaitedSignals);
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return run(argc, argv);
    } catch (const cxxopts::exceptions::exception &error) {
        std::cerr << "rattandockd: " << error.what() << "\n";
        return app::exitUsage;
    }
}
