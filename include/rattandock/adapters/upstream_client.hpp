#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <unordered_map>

#include "rattandock/adapters/io_threads.hpp"
#include "rattandock/ports/action_ports.hpp"
#include "rattandock/ports/clock.hpp"
#include "rattandock/ports/event_sink.hpp"

namespace rattandock::adapters {

struct UpstreamClientOptions
{
    /// Most open connections to one upstream from this process.
    std::size_t connectionsPerUpstream = 30;
    Duration connectTimeout = std::chrono::milliseconds{500};
    /// Shorter than the upstreams' own idle timeout, so that a reused connection is rarely one
    /// that the upstream is closing.
    Duration idleTimeout = std::chrono::seconds{20};
    std::uint64_t maxReplyBytes = 4U << 20U;
};

/// Sends tasks over keep-alive connections; one attempt at a time on each.
///
/// An attempt ends as not started only if its request was provably not handed to the kernel whole
/// or the upstream said so. Each upstream belongs to one I/O thread, so its pool needs no lock.
class UpstreamClient final : public ports::UpstreamPort
{
public:
    using Addresses = std::unordered_map<UpstreamId, boost::asio::ip::tcp::endpoint>;

    UpstreamClient(IoThreads &threads, const ports::Clock &clock, ports::EventSink &events,
                   UpstreamClientOptions options, const Addresses &addresses);
    ~UpstreamClient() override;

    void start(core::StartTask task) override;
    void stop(core::StopTask task) override;

    /// Closes all connections and returns when no fiber of the client runs any more.
    /// Thread safety: from outside the I/O threads; no start() may follow.
    void shutDown();

private:
    class Pool;

    Pool &poolOf(const UpstreamId &upstream);

    IoThreads &m_threads;
    std::vector<std::unique_ptr<Pool>> m_pools;
    std::unordered_map<UpstreamId, std::size_t> m_threadOf;
};

} // namespace rattandock::adapters
