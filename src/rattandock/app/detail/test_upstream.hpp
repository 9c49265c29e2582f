#pragma once

#include <atomic>
#include <boost/fiber/operations.hpp>

#include "test_client.hpp"

namespace rattandock::app::test {

/// An upstream in this process. Each task gets the handler's bytes as its result, once release()
/// was called.
class TestUpstream
{
public:
    using Work = std::function<std::string(const std::string &payload)>;

    explicit TestUpstream(Work work, bool held = false)
        : m_work(std::move(work))
        , m_held(held)
        , m_server(adapters::HttpServer::listen(
                           m_threads, {boost::asio::ip::make_address("127.0.0.1"), 0}, {},
                           [this](const auto &it) { return serve(it); }, [](std::string_view) {})
                           .value())
    {
    }
    TestUpstream(const TestUpstream &) = delete;
    TestUpstream &operator=(const TestUpstream &) = delete;
    ~TestUpstream()
    {
        release();
        m_server->stop();
        m_threads.stop();
    }

    void release() { m_held = false; }
    std::size_t started() const { return m_started; }

    adapters::UpstreamSettings settings(std::uint32_t slots) const
    {
        adapters::UpstreamSettings settings;
        settings.spec.id = UpstreamId{"u1"};
        settings.spec.zone = ZoneId{"z1"};
        settings.spec.slots = Slots{slots};
        settings.spec.capacity = {Cores{64}, Megabytes{1024}, Accelerators{0}};
        settings.address = {boost::asio::ip::make_address("127.0.0.1"), m_server->port()};
        return settings;
    }

private:
    adapters::HttpResponse serve(const adapters::HttpRequest &request)
    {
        ++m_started;
        while (m_held) {
            boost::this_fiber::sleep_for(std::chrono::milliseconds{1});
        }
        adapters::HttpResponse response;
        response.headers.emplace_back("Rattandock-Attempt", request.header("Rattandock-Attempt"));
        response.body = m_work(request.body);
        return response;
    }

    const Work m_work;
    std::atomic<bool> m_held;
    std::atomic<std::size_t> m_started = 0;
    adapters::IoThreads m_threads{1};
    std::unique_ptr<adapters::HttpServer> m_server;
};

/// A valid job of tasks with the same payload.
inline std::string jobBody(std::string_view id, std::size_t tasks = 1,
                           std::string_view payload = "p")
{
    std::string body = R"({"id":")" + std::string{id} + R"(","deadlineMs":30000,"tasks":[)";
    for (std::size_t n = 0; n < tasks; ++n) {
        body += (n == 0 ? "" : ",");
        body += R"({"payload":")" + std::string{payload} + "\"}";
    }
    return body + "]}";
}

} // namespace rattandock::app::test
