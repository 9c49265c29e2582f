#include <boost/fiber/operations.hpp>
#include <boost/json/serialize.hpp>
#include <cxxopts.hpp>
#include <fstream>
#include <future>
#include <iostream>

#include "platform/json_fields.hpp"
#include "rattandock/adapters/http_connections.hpp"
#include "rattandock/adapters/http_server.hpp"
#include "rattandock/adapters/io_threads.hpp"
#include "rattandock/app/exit_code.hpp"
#include "standins/fleet/standin_runner.hpp"
#include "standins/fleet/standin_store.hpp"
#include "standins/stop_signals.hpp"

using namespace rattandock;
using standins::RunWatch;
using standins::StandinRunner;
using standins::StandinStore;
namespace json = boost::json;
using boost::asio::ip::make_address;
using std::chrono::milliseconds;

namespace {

cxxopts::Options commandLine()
{
    cxxopts::Options options{
            "fleet-standin",
            "The platform around a fleet, for tests: a store, runners, and callers that resubmit."};
    options.add_options()("first-port", "port of the store; the runners follow",
                          cxxopts::value<std::uint16_t>()->default_value("7700"))(
            "runners", "number of runners", cxxopts::value<int>()->default_value("12"))(
            "queues", "number of queues in the configuration; the first takes the jobs",
            cxxopts::value<int>()->default_value("1"))(
            "zones", "zones that the runners are in",
            cxxopts::value<std::vector<std::string>>()->default_value("a"))(
            "callers-to", "caller ports of the VMs; without it no jobs are sent",
            cxxopts::value<std::vector<std::uint16_t>>())(
            "jobs-per-s", "rate of jobs", cxxopts::value<double>()->default_value("20"))(
            "seconds", "how long jobs are sent", cxxopts::value<int>()->default_value("10"))(
            "warm-up", "seconds before the first job", cxxopts::value<int>()->default_value("3"))(
            "answer-lost", "share of orders", cxxopts::value<double>()->default_value("0"))(
            "late", "share of orders", cxxopts::value<double>()->default_value("0"))(
            "store-down", "seconds without a store, from the middle of the run",
            cxxopts::value<int>()->default_value("0"))(
            "evacuate", "zones that the operator evacuates 2 s after the first job",
            cxxopts::value<std::vector<std::string>>()->default_value(""))(
            "evacuate-for", "seconds until the request is withdrawn",
            cxxopts::value<int>()->default_value("10"))(
            "advertised-offset", "added to the ports of the runners in the store, for proxies",
            cxxopts::value<std::uint16_t>()->default_value("0"))(
            "seed", "seed of all draws", cxxopts::value<std::uint64_t>()->default_value("1"))(
            "version", "print the version")("h,help", "print this help");
    return options;
}

/// Time from the first job to the request of an evacuation.
constexpr std::chrono::seconds evacuationStart{2};
/// Limit from the request to the last start in the zone.
constexpr milliseconds evacuationLimit{5000};

/// What callers saw.
struct Answers
{
    int sent = 0;
    int completed = 0;
    int failed = 0;
    int refused = 0;
    int brokenOff = 0;
    int open = 0;
};

/// Sends jobs and sends them again 1,300 ms after an answer that says they may have run.
class Callers
{
public:
    Callers(std::vector<std::uint16_t> ports, RunWatch &watch, std::uint64_t seed)
        : m_ports(std::move(ports))
        , m_watch(watch)
        , m_random(seed)
    {
    }

    void run(double perSecond, std::chrono::seconds length)
    {
        const auto end = std::chrono::steady_clock::now() + length;
        std::exponential_distribution<double> pause{perSecond};
        while (std::chrono::steady_clock::now() < end) {
            const std::string id = idOf(m_random());
            const std::string body = job();
            ++answers.sent;
            ++answers.open;
            adapters::spawnFiber([this, id, body] {
                call(id, body);
                --answers.open;
            });
            boost::this_fiber::sleep_for(
                    std::chrono::microseconds{static_cast<int>(1e6 * pause(m_random))});
        }
    }

    Answers answers;

private:
    static std::string idOf(std::uint64_t number)
    {
        static constexpr std::string_view digits = "0123456789abcdef";
        std::string id(16, '0');
        for (char &it : id) {
            it = digits[number & 15U];
            number >>= 4U;
        }
        return id;
    }

    std::string job()
    {
        const auto drawn = [this](int low, int high) {
            return std::uniform_int_distribution<int>{low, high}(m_random);
        };
        const int cpu = drawn(15'000, 41'000);
        const int run = drawn(20, 200);
        const json::object spec{{"cpu", cpu}, {"ms", run}};
        const json::object step{
                {"count", drawn(1, 6)}, {"cpu", cpu}, {"mem_mb", 64}, {"estimate_ms", run}};
        return json::serialize(json::object{
                {"spec", json::serialize(spec)}, {"best_effort", true}, {"steps", {step}}});
    }

    void call(const std::string &id, const std::string &body)
    {
        constexpr int maxTries = 3;
        for (int n = 0; n < maxTries; ++n) {
            const std::uint16_t port = m_ports[m_random() % m_ports.size()];
            adapters::HttpRequest request;
            request.method = "POST";
            request.path = "/jobs/" + id;
            request.headers.emplace_back("Deadline-Ms", "1500");
            request.body = body;
            const auto reply =
                    m_connections.exchange({make_address("127.0.0.1"), port}, request,
                                           adapters::ExchangeLimits::ofWhole(milliseconds{2000}));
            const unsigned status = reply ? reply.value().status : 0;
            if (status == 200) {
                const auto answer = platform::parseObject(reply.value().body);
                const bool done =
                        answer && answer->contains("state") && answer->at("state") == "completed";
                ++(done ? answers.completed : answers.failed);
                return;
            }
            if (status == 503 || status == 429) {
                ++answers.refused;
                if (n == 0) {
                    m_watch.refused(id);
                }
                return;
            }
            boost::this_fiber::sleep_for(milliseconds{1300});
        }
        ++answers.brokenOff;
    }

    std::vector<std::uint16_t> m_ports;
    RunWatch &m_watch;
    std::mt19937_64 m_random;
    adapters::HttpConnections m_connections{32};
};

std::string configuration(int queues)
{
    json::array routes;
    for (int n = 0; n < queues; ++n) {
        const std::string name = n == 0 ? "jobs" : "jobs-" + std::to_string(n);
        routes.push_back(json::object{{"name", name},
                                      {"host", "127.0.0.1"},
                                      {"prefix", '/' + name + '/'},
                                      {"kind", "non_idempotent"},
                                      {"timeout_ms", 1500},
                                      {"target_latency_ms", 60},
                                      {"priority", 0},
                                      {"service", "s"},
                                      {"max_attempts", 3},
                                      {"stretch", 1.6}});
    }
    return json::serialize(json::object{{"version", 1},
                                        {"routes", std::move(routes)},
                                        {"services", json::array{}},
                                        {"limits",
                                         {{"max_header_bytes", 16'384},
                                          {"max_body_bytes", 262'144},
                                          {"header_timeout_ms", 3000},
                                          {"idle_timeout_ms", 15'000}}}});
}

int serve(const cxxopts::ParseResult &arguments)
{
    const standins::StopSignals stopSignals;
    adapters::IoThreads threads{1};
    StandinStore store;
    RunWatch watch;
    const auto port = arguments["first-port"].as<std::uint16_t>();
    const auto zones = arguments["zones"].as<std::vector<std::string>>();
    const standins::RunnerFaults faults{arguments["answer-lost"].as<double>(),
                                        arguments["late"].as<double>(), 0.002};
    const auto seed = arguments["seed"].as<std::uint64_t>();
    std::vector<std::unique_ptr<adapters::HttpServer>> servers;
    const auto listen = [&](std::uint16_t at, adapters::HttpHandler handler) {
        auto server = adapters::HttpServer::listen(threads, {make_address("127.0.0.1"), at}, {},
                                                   std::move(handler), [](auto) {});
        if (server) {
            servers.push_back(std::move(server.value()));
        }
        return server.has_value();
    };
    bool isListening = listen(port, [&](const auto &request) { return store.serve(request); });
    store.put("op", "config", configuration(arguments["queues"].as<int>()));
    std::vector<std::unique_ptr<StandinRunner>> runners;
    for (int n = 0; n < arguments["runners"].as<int>(); ++n) {
        const auto number = static_cast<std::size_t>(n);
        const auto at = static_cast<std::uint16_t>(port + 1 + n);
        const std::string &zone = zones[number % zones.size()];
        runners.push_back(std::make_unique<StandinRunner>("i-" + std::to_string(n), 64'000U, faults,
                                                          watch, seed + number, zone));
        StandinRunner *const it = runners.back().get();
        isListening =
                listen(at, [it](const auto &request) { return it->serve(request); }) && isListening;
        const auto advertised =
                static_cast<std::uint16_t>(at + arguments["advertised-offset"].as<std::uint16_t>());
        store.put("servers", it->id(), it->row("s", zone, advertised));
    }
    if (!isListening) {
        std::cerr << "fleet-standin: a port is in use\n";
        return app::exitFailed;
    }
    threads.spawn(0, [&] {
        while (true) {
            for (const auto &it : runners) {
                it->step();
            }
            boost::this_fiber::sleep_for(milliseconds{1});
        }
    });
    if (arguments.count("callers-to") == 0) {
        std::cout << "ready" << std::endl;
        stopSignals.wait();
        return app::exitOk;
    }
    const auto callerPorts = arguments["callers-to"].as<std::vector<std::uint16_t>>();
    const std::chrono::seconds length{arguments["seconds"].as<int>()};
    const std::chrono::seconds down{arguments["store-down"].as<int>()};
    auto evacuated = arguments["evacuate"].as<std::vector<std::string>>();
    std::erase(evacuated, "");
    const std::chrono::seconds evacuation{arguments["evacuate-for"].as<int>()};
    std::promise<Answers> finished;
    threads.spawn(0, [&] {
        Callers callers{callerPorts, watch, seed};
        adapters::spawnFiber([&store, length, down] {
            if (down.count() == 0) {
                return;
            }
            boost::this_fiber::sleep_for(length / 2);
            store.setDown(true);
            boost::this_fiber::sleep_for(down);
            store.setDown(false);
        });
        boost::this_fiber::sleep_for(std::chrono::seconds{arguments["warm-up"].as<int>()});
        adapters::spawnFiber([&store, &watch, evacuated, evacuation] {
            boost::this_fiber::sleep_for(evacuationStart);
            for (const std::string &it : evacuated) {
                store.put("op", "evacuate/" + it, "");
                watch.evacuate(it, evacuationLimit);
            }
            boost::this_fiber::sleep_for(evacuation);
            for (const std::string &it : evacuated) {
                watch.withdraw(it);
                store.remove("op", "evacuate/" + it);
            }
        });
        callers.run(arguments["jobs-per-s"].as<double>(), length);
        while (callers.answers.open > 0) {
            boost::this_fiber::sleep_for(milliseconds{10});
        }
        finished.set_value(callers.answers);
    });
    const Answers seen = finished.get_future().get();
    std::cout << json::serialize(
            json::object{{"sent", seen.sent},
                         {"completed", seen.completed},
                         {"failed", seen.failed},
                         {"refused", seen.refused},
                         {"brokenOff", seen.brokenOff},
                         {"starts", watch.starts()},
                         {"doubleRuns", watch.doubleRuns()},
                         {"startsOverRoom", watch.startsOverRoom()},
                         {"startsAfterRefusal", watch.startsAfterRefusal()},
                         {"startsInEvacuatedZones", watch.startsInEvacuatedZones()}})
              << std::endl;
    // Its fibers still serve the VMs; the process ends with them.
    const std::size_t breaches = watch.doubleRuns() + watch.startsOverRoom()
                                 + watch.startsAfterRefusal() + watch.startsInEvacuatedZones();
    std::_Exit(breaches == 0 ? app::exitOk : app::exitFailed);
}

} // namespace

int main(int argc, char **argv)
{
    try {
        auto options = commandLine();
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0) {
            std::cout << options.help();
            return app::exitOk;
        }
        if (arguments.count("version") > 0) {
            std::cout << "fleet-standin " RATTANDOCK_VERSION "\n";
            return app::exitOk;
        }
        return serve(arguments);
    } catch (const cxxopts::exceptions::exception &error) {
        std::cerr << "fleet-standin: " << error.what() << "\n";
        return app::exitUsage;
    }
}
