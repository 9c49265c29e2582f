#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <vector>

#include "rattandock/adapters/io_threads.hpp"
#include "rattandock/adapters/metrics.hpp"
#include "rattandock/adapters/peer_tls.hpp"
#include "rattandock/base/result.hpp"
#include "rattandock/base/units.hpp"
#include "rattandock/ports/action_ports.hpp"
#include "rattandock/ports/event_sink.hpp"

namespace rattandock::adapters {

/// Where another entry VM listens for peers.
struct PeerAddress
{
    VmId vm;
    ZoneId zone;
    boost::asio::ip::tcp::endpoint address;
};

struct PeerStreamsOptions
{
    VmId vm;
    Incarnation incarnation;
    Duration heartbeatInterval = std::chrono::seconds{1};
    /// A link on which nothing arrives for this long is down.
    Duration silenceLimit = std::chrono::seconds{3};
    Duration connectTimeout = std::chrono::seconds{1};
    /// Pause before a reconnect: doubles from the first to the last value, times 0.5 to 1.
    Duration firstPause = std::chrono::milliseconds{100};
    Duration lastPause = std::chrono::seconds{5};
    /// Messages that wait for one peer; a link above the bound is closed.
    Bytes sendQueue{16U << 20U};
    std::size_t maxConnections = 256;
    /// stop() waits this long for the replies to what was sent; a planned stop ends with a
    /// handover.
    Duration settleLimit = std::chrono::seconds{1};
    /// Null for no TLS.
    PeerTls tls;
    /// Seed of the jitter.
    std::uint64_t seed = 0;
    /// Called on an I/O thread when the connection of a peer to this VM has ended, or when the peer
    /// sends over a new one. May be empty. With several threads, connections of one peer to
    /// different threads are reported separately.
    std::function<void(const VmId &)> onInputClosed;
};

/// Streams between the daemons: one outgoing connection to each peer carries the messages to it.
///
/// A link is up from the peer's first acceptance of a message on the connection to the
/// connection's end. A message is sent at most once; what a closed link had queued is dropped and
/// counted. Messages to one peer keep their order within a connection.
///
/// Counters: `peer_messages_sent` and `peer_messages_received` by message type,
/// `peer_messages_dropped`, `peer_messages_refused`, `peer_links_closed` and `peer_connections` by
/// reason.
class PeerStreams final : public ports::PeerPort
{
public:
    /// Gives this VM's heartbeat to the function, on any thread, at once or later or never.
    using HeartbeatSource = std::function<void(std::function<void(core::Heartbeat)> give)>;

    /// Binds and accepts. Errors: those of bind and listen.
    /// Precondition: events and metrics outlive the object.
    static IoResult<std::unique_ptr<PeerStreams>>
    listen(IoThreads &threads, const boost::asio::ip::tcp::endpoint &endpoint,
           PeerStreamsOptions options, ports::EventSink &events, Metrics &metrics,
           HeartbeatSource heartbeats);

    PeerStreams(const PeerStreams &) = delete;
    PeerStreams &operator=(const PeerStreams &) = delete;
    /// Precondition: stop() has returned.
    ~PeerStreams() override;

    /// Opens the links and lets these VMs send. Precondition: called once, before any send().
    void connect(const std::vector<PeerAddress> &peers);

    /// Opens or moves the link to one more VM; no effect if it is there with this address.
    /// Precondition: connect() was called; the object uses one I/O thread, which calls this and
    /// send().
    void addPeer(const PeerAddress &peer);
    /// Closes the link to a VM that is gone. Precondition: as addPeer().
    void removePeer(const VmId &vm);

    /// Closes the connections in both directions. What they have not delivered is dropped, and the
    /// links are set up again. Thread safety: may be called from any thread.
    void resetConnections();

    /// Replaces the interval of the options. Thread safety: may be called from any thread.
    void setHeartbeatInterval(Duration interval);

    void send(core::SendToPeer message) override;

    /// Connections that are made from now on use it; open ones stay.
    /// Precondition: the options had TLS. Thread safety: may be called from any thread.
    void replaceTls(PeerTls tls);

    /// The bound port, also when port 0 was asked for.
    std::uint16_t port() const;

    /// Waits until each peer has replied to all messages or settleLimit has passed, closes all
    /// connections and returns when no fiber of the object runs any more. Later messages are
    /// dropped. Thread safety: from outside the I/O threads.
    void stop();

private:
    struct State;
    explicit PeerStreams(std::shared_ptr<State> state);

    std::shared_ptr<State> m_state;
};

} // namespace rattandock::adapters
