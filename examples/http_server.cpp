// Serves one route on a free loopback port and asks it once.
#include <iostream>

#include "rattandock/adapters/http_client.hpp"
#include "rattandock/adapters/http_server.hpp"

using namespace rattandock::adapters;

int main()
{
    IoThreads threads{1};
    const auto serve = [](const HttpRequest &request) {
        HttpResponse response;
        response.status = request.path == "/hello" ? 200 : 404;
        response.body = "{\"path\":\"" + request.path + "\"}\n";
        return response;
    };
    const auto loopback = boost::asio::ip::make_address("127.0.0.1");
    auto server = HttpServer::listen(threads, {loopback, 0}, {}, serve, [](std::string_view) {});
    if (!server) {
        std::cerr << server.error().message() << "\n";
        return 1;
    }
    HttpRequest request;
    request.method = "GET";
    request.path = "/hello";
    const auto answer =
            sendHttpRequest({loopback, server.value()->port()}, request, std::chrono::seconds{5});
    server.value()->stop();
    if (!answer || answer.value().status != 200) {
        std::cerr << "no answer\n";
        return 1;
    }
    std::cout << answer.value().body;
    return 0;
}
