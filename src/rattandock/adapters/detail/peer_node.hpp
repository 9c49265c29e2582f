#pragma once

#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "rattandock/adapters/peer_streams.hpp"

// What the tests of the peer streams share.
namespace rattandock::adapters::detail {

using boost::asio::ip::tcp;

inline const tcp::endpoint anyPort{boost::asio::ip::make_address("127.0.0.1"), 0};

/// ctest's limit ends a test whose condition never comes.
inline void waitUntil(const std::function<bool()> &condition)
{
    while (!condition()) {
        std::this_thread::sleep_for(std::chrono::milliseconds{1});
    }
}

class EventLog final : public ports::EventSink
{
public:
    void post(core::Event event) override
    {
        const std::lock_guard lock{m_mutex};
        if (const auto *const link = std::get_if<core::PeerLinkChanged>(&event)) {
            m_links.push_back(link->up);
        } else if (const auto *const it = std::get_if<core::PeerMessageReceived>(&event)) {
            if (const auto *const delta = std::get_if<core::ConfigurationDelta>(&it->message)) {
                m_versions.push_back(delta->version.value());
            }
        }
    }

    std::vector<bool> links() const
    {
        const std::lock_guard lock{m_mutex};
        return m_links;
    }
    bool isUp() const
    {
        const auto all = links();
        return !all.empty() && all.back();
    }
    std::vector<std::uint64_t> versions() const
    {
        const std::lock_guard lock{m_mutex};
        return m_versions;
    }

private:
    mutable std::mutex m_mutex;
    std::vector<bool> m_links;
    std::vector<std::uint64_t> m_versions;
};

inline PeerStreamsOptions optionsOf(const std::string &vm)
{
    PeerStreamsOptions options;
    options.vm = VmId{vm};
    options.incarnation = Incarnation{7};
    options.heartbeatInterval = std::chrono::milliseconds{20};
    options.firstPause = std::chrono::milliseconds{5};
    options.lastPause = std::chrono::milliseconds{50};
    options.seed = 20261204;
    return options;
}

/// One VM's streams with threads, counters and a log of its own.
class Node
{
public:
    explicit Node(const PeerStreamsOptions &options, const tcp::endpoint &endpoint = anyPort,
                  std::size_t threadCount = 2)
        : threads(threadCount)
        , streams(PeerStreams::listen(threads, endpoint, options, events, metrics,
                                      [options](const auto &give) {
                                          core::Heartbeat it;
                                          it.vm = options.vm;
                                          it.incarnation = options.incarnation;
                                          give(it);
                                      })
                          .value())
    {
    }
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;
    ~Node()
    {
        streams->stop();
        streams.reset();
    }

    tcp::endpoint address() const { return {anyPort.address(), streams->port()}; }

    void sendVersion(const std::string &to, std::uint64_t version, std::size_t bytes = 0)
    {
        streams->send({VmId{to}, core::ConfigurationDelta{ConfigurationVersion{version},
                                                          std::string(bytes, 'x')}});
    }

    std::string countOf(const std::string &name, const std::string &reason) const
    {
        const std::string key = "rattandock_" + name + "_total{reason=\"" + reason + "\"} ";
        const std::string text = metrics.text();
        const auto at = text.find(key);
        return at == std::string::npos
                       ? "0"
                       : text.substr(at + key.size(), text.find('\n', at) - at - key.size());
    }

    EventLog events;
    Metrics metrics;
    IoThreads threads;
    std::unique_ptr<PeerStreams> streams;
};

inline PeerAddress addressOf(const std::string &vm, const tcp::endpoint &endpoint)
{
    return {VmId{vm}, ZoneId{"z1"}, endpoint};
}

inline void connectBoth(Node &a, Node &b)
{
    a.streams->connect({addressOf("b", b.address())});
    b.streams->connect({addressOf("a", a.address())});
    waitUntil([&] { return a.events.isUp() && b.events.isUp(); });
}

} // namespace rattandock::adapters::detail
