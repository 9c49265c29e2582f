#include <atomic>
#include <boost/fiber/operations.hpp>
#include <csignal>
#include <cxxopts.hpp>
#include <iostream>
#include <memory>
#include <vector>

#include "rattandock/adapters/http_server.hpp"

using namespace rattandock;
using namespace rattandock::adapters;

namespace {

/// Runs tasks on one port by sleeping for their estimate.
class StandinUpstream
{
public:
    explicit StandinUpstream(unsigned slots)
        : m_slots(slots)
    {
    }

    HttpResponse serve(const HttpRequest &request)
    {
        HttpResponse response;
        response.headers.emplace_back("Rattandock-Attempt", request.header("Rattandock-Attempt"));
        if (++m_running > m_slots) {
            --m_running;
            response.status = 503;
            response.headers.emplace_back("Rattandock-Not-Started", "true");
            return response;
        }
        const std::string &estimate = request.header("Rattandock-Estimate-Ms");
        boost::this_fiber::sleep_for(
                std::chrono::milliseconds{estimate.empty() ? 0 : std::stoll(estimate)});
        --m_running;
        response.body = "done:" + request.body;
        return response;
    }

private:
    const unsigned m_slots;
    std::atomic<unsigned> m_running = 0;
};

int run(int argc, char **argv)
{
    cxxopts::Options options{"upstream-standin", "Many upstreams on loopback ports, for tests."};
    options.add_options()("first-port", "port of the first upstream",
                          cxxopts::value<std::uint16_t>()->default_value("7300"))(
            "count", "number of upstreams", cxxopts::value<unsigned>()->default_value("4"))(
            "slots", "slots of each", cxxopts::value<unsigned>()->default_value("8"))(
            "version", "print the version")("h,help", "print this help");
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) {
        std::cout << options.help();
        return 0;
    }
    if (arguments.count("version") > 0) {
        std::cout << "upstream-standin " RATTANDOCK_VERSION "\n";
        return 0;
    }
    sigset_t stopSignals;
    sigemptyset(&stopSignals);
    sigaddset(&stopSignals, SIGTERM);
    sigaddset(&stopSignals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &stopSignals, nullptr);
    IoThreads threads{2};
    std::vector<std::unique_ptr<StandinUpstream>> upstreams;
    std::vector<std::unique_ptr<HttpServer>> servers;
    for (unsigned n = 0; n < arguments["count"].as<unsigned>(); ++n) {
        auto &upstream = upstreams.emplace_back(
                std::make_unique<StandinUpstream>(arguments["slots"].as<unsigned>()));
        const auto port =
                static_cast<std::uint16_t>(arguments["first-port"].as<std::uint16_t>() + n);
        auto server = HttpServer::listen(
                threads, {boost::asio::ip::make_address("127.0.0.1"), port}, {},
                [it = upstream.get()](const HttpRequest &request) { return it->serve(request); },
                [](std::string_view) {});
        if (!server) {
            std::cerr << "upstream-standin: port " << port << ": " << server.error().message()
                      << "\n";
            return 1;
        }
        servers.push_back(std::move(server.value()));
    }
    int signal = 0;
    sigwait(&stopSignals, &signal);
    for (const auto &it : servers) {
        it->stop();
    }
    threads.stop();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return run(argc, argv);
    } catch (const cxxopts::exceptions::exception &error) {
        std::cerr << "upstream-standin: " << error.what() << "\n";
        return 2;
    }
}
