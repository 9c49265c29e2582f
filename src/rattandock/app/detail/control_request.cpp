#include "control_request.hpp"

#include <chrono>

#include "rattandock/adapters/endpoint.hpp"
#include "rattandock/adapters/http_client.hpp"

namespace rattandock::app {

adapters::HttpResponse askDaemon(const cxxopts::ParseResult &options, const std::string &listener,
                                 const std::string &method, const std::string &path,
                                 std::string body, std::int64_t extraMs)
{
    const std::string address = options[listener].as<std::string>();
    const auto server = adapters::parseEndpoint(address);
    if (!server) {
        throw UsageError{"--" + listener + " must be IP:PORT, not " + address};
    }
    const auto limitMs = options["timeout-ms"].as<std::int64_t>();
    if (limitMs < 1 || limitMs > 3'600'000) {
        throw UsageError{"--timeout-ms must be from 1 to 3600000"};
    }
    adapters::HttpRequest request;
    request.method = method;
    request.path = path;
    request.body = std::move(body);
    auto answer = adapters::sendHttpRequest(*server, request,
                                            std::chrono::milliseconds{limitMs + extraMs});
    if (!answer) {
        const std::string what = answer.error().sent ? "no answer from" : "cannot connect to";
        throw Unreachable{what + " the daemon's " + listener + " listener at " + address + ": "
                          + answer.error().ec.message()};
    }
    return std::move(answer.value());
}

} // namespace rattandock::app
