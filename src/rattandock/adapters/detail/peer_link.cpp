#include "peer_link.hpp"

#include <algorithm>

#include "rattandock/adapters/io_wait.hpp"
#include "rattandock/adapters/log.hpp"
#include "rattandock/adapters/peer_codec.hpp"

namespace rattandock::adapters::detail {

namespace asio = boost::asio;

PeerLink::PeerLink(asio::io_context &io, PeerAddress peer, const PeerStreamsOptions &options,
                   ports::EventSink &events, Metrics &metrics, std::function<void()> onConnected,
                   std::function<PeerTls()> tls)
    : m_io(io)
    , m_peer(std::move(peer))
    , m_options(options)
    , m_events(events)
    , m_metrics(metrics)
    , m_onConnected(std::move(onConnected))
    , m_tls(std::move(tls))
    , m_pause(io)
    , m_random(options.seed ^ std::hash<VmId>{}(m_peer.vm))
    , m_nextPause(options.firstPause)
{
}

void PeerLink::run()
{
    while (!m_stopping) {
        runOnce();
        closeQueue();
        if (!m_stopping) {
            pause();
        }
    }
}

void PeerLink::stop()
{
    m_stopping = true;
    m_pause.cancel();
    if (m_connecting != nullptr) {
        m_connecting->cancel();
    }
    if (m_connection != nullptr) {
        m_connection->close(PeerConnection::End::Closed);
    }
}

void PeerLink::reset()
{
    if (m_connection != nullptr) {
        m_connection->close(PeerConnection::End::Reset);
    }
}

void PeerLink::send(const core::PeerMessage &message)
{
    const bool isHeartbeat = std::holds_alternative<core::Heartbeat>(message);
    if (!m_isUp && !(isHeartbeat && isConnected())) {
        m_metrics.count("peer_messages_dropped", "link-down");
        return;
    }
    auto bytes = encodePeerMessage({m_options.vm, m_options.incarnation, message});
    if (!bytes) {
        m_metrics.count("peer_messages_dropped", name(bytes.error()));
        return;
    }
    if (m_queuedBytes + bytes.value().size() > m_options.sendQueue.value()) {
        m_metrics.count("peer_messages_dropped", "queue-full");
        m_connection->close(PeerConnection::End::QueueFull);
        // Reported at once, so that no later message is queued on the closed connection.
        closeQueue();
        return;
    }
    m_metrics.count("peer_messages_sent", core::name(message));
    m_queuedBytes += bytes.value().size();
    m_queue.push_back(std::move(bytes.value()));
    m_connection->wake();
}

void PeerLink::runOnce()
{
    boost::beast::tcp_stream stream{m_io};
    stream.expires_after(m_options.connectTimeout);
    m_connecting = &stream;
    const IoEnd connected =
            awaitIo([&](auto handle) { stream.async_connect(m_peer.address, handle); });
    m_connecting = nullptr;
    if (connected.ec || m_stopping) {
        m_metrics.count("peer_links_closed", "connect-failed");
        return;
    }
    PeerConnection connection{PeerSocket{std::move(stream), m_tls()},
                              {Http2Session::Side::Client, m_options.silenceLimit,
                               maxPeerMessageBytes, m_options.connectTimeout, m_peer.vm},
                              {nullptr, [this](bool accepted) { onReply(accepted); }},
                              [this] { return nextMessage(); }};
    m_connection = &connection;
    m_unanswered = 0;
    m_onConnected();
    const PeerConnection::End end = connection.run();
    m_connection = nullptr;
    m_metrics.count("peer_links_closed", name(end));
}

void PeerLink::onReply(bool accepted)
{
    --m_unanswered;
    if (!accepted) {
        m_connection->close(PeerConnection::End::Refused);
        return;
    }
    if (!m_isUp && !m_connection->isClosing()) {
        m_isUp = true;
        m_nextPause = m_options.firstPause;
        m_events.post(core::PeerLinkChanged{m_peer.vm, true});
        log(LogLevel::Info, LogPart::Peer, "the link to " + m_peer.vm.value() + " is up");
    }
}

void PeerLink::closeQueue()
{
    if (!m_queue.empty()) {
        m_metrics.count("peer_messages_dropped", "link-lost", static_cast<double>(m_queue.size()));
    }
    m_queue.clear();
    m_queuedBytes = 0;
    if (std::exchange(m_isUp, false)) {
        m_events.post(core::PeerLinkChanged{m_peer.vm, false});
        log(LogLevel::Warn, LogPart::Peer, "the link to " + m_peer.vm.value() + " is down");
    }
}

std::optional<std::string> PeerLink::nextMessage()
{
    if (m_queue.empty()) {
        return std::nullopt;
    }
    std::string message = std::move(m_queue.front());
    m_queue.pop_front();
    m_queuedBytes -= message.size();
    ++m_unanswered;
    return message;
}

void PeerLink::pause()
{
    std::uniform_real_distribution<double> share{0.5, 1.0};
    const auto span = std::chrono::duration_cast<Duration>(m_nextPause * share(m_random));
    m_nextPause = std::min(m_nextPause * 2, m_options.lastPause);
    m_pause.expires_after(span);
    awaitIo([this](auto handle) { m_pause.async_wait(handle); });
}

} // namespace rattandock::adapters::detail
