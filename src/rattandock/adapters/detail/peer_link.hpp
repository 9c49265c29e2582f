#pragma once

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <random>

#include "peer_connection.hpp"
#include "rattandock/adapters/peer_streams.hpp"

namespace rattandock::adapters::detail {

/// The outgoing connection to one peer, made again whenever it ends.
/// Thread safety: none; all methods on the link's I/O thread.
class PeerLink
{
public:
    /// `onConnected` asks for a heartbeat to send at once; only the reply to a message tells that
    /// the peer accepts this VM.
    PeerLink(boost::asio::io_context &io, PeerAddress peer, const PeerStreamsOptions &options,
             ports::EventSink &events, Metrics &metrics, std::function<void()> onConnected,
             std::function<PeerTls()> tls);

    /// Connects, runs the connection and connects again; returns after stop().
    void run();
    void stop();
    /// Ends the present connection, if there is one.
    void reset();

    /// Queues a message. It is dropped and counted if the link is not up; a heartbeat only needs
    /// a connection.
    void send(const core::PeerMessage &message);

    /// True if no message waits to be sent or for its reply.
    bool isSettled() const { return !m_isUp || (m_queue.empty() && m_unanswered == 0); }
    bool isConnected() const { return m_connection != nullptr; }
    const VmId &vm() const { return m_peer.vm; }

private:
    void runOnce();
    void onReply(bool accepted);
    void closeQueue();
    std::optional<std::string> nextMessage();
    void pause();

    boost::asio::io_context &m_io;
    const PeerAddress m_peer;
    const PeerStreamsOptions &m_options;
    ports::EventSink &m_events;
    Metrics &m_metrics;
    const std::function<void()> m_onConnected;
    const std::function<PeerTls()> m_tls;
    boost::asio::steady_timer m_pause;
    std::mt19937_64 m_random;
    Duration m_nextPause;
    boost::beast::tcp_stream *m_connecting = nullptr;
    PeerConnection *m_connection = nullptr;
    std::deque<std::string> m_queue;
    std::size_t m_queuedBytes = 0;
    std::size_t m_unanswered = 0;
    bool m_isUp = false;
    bool m_stopping = false;
};

} // namespace rattandock::adapters::detail
