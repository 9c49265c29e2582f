#pragma once

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <functional>
#include <optional>
#include <string>

#include "http2_session.hpp"
#include "peer_socket.hpp"
#include "rattandock/base/time.hpp"

namespace rattandock::adapters::detail {

/// Moves the bytes of one Http2Session over a connected socket: one fiber reads, one writes.
/// Thread safety: none; all methods on the thread of the socket.
class PeerConnection
{
public:
    enum class End : std::uint8_t {
        Closed,
        Silent,
        ProtocolViolation,
        MessageTooLarge,
        Refused,
        QueueFull,
        /// The TLS handshake failed; also a certificate that is not of the authority.
        TlsFailed,
        /// The certificate names another VM.
        WrongCertificate,
        /// The peer sends over a newer connection.
        Replaced,
        /// This process was paused, so what the connection would deliver is outdated.
        Reset,
        /// It had sent no message of a known VM when a place for another connection was needed.
        Evicted,
    };

    struct Options
    {
        Http2Session::Side side{};
        /// The connection ends if nothing can be read or written for this long.
        Duration silenceLimit{};
        std::size_t maxMessageBytes = 0;
        Duration handshakeLimit{};
        /// The VM that the certificate must name; empty if it is not known yet.
        VmId expectedVm;
    };
    /// Gives the next message to send, or nothing.
    using Source = std::function<std::optional<std::string>()>;

    PeerConnection(PeerSocket socket, Options options, Http2Session::Handlers handlers,
                   Source source);
    PeerConnection(const PeerConnection &) = delete;
    PeerConnection &operator=(const PeerConnection &) = delete;
    ~PeerConnection() = default;

    /// Makes the TLS handshake first. Returns when the connection has ended and its writing fiber
    /// too.
    End run();
    /// The source has a message.
    void wake();
    /// Makes run() return with that end, unless it has another already.
    void close(End end);
    /// Replaces the bound of the options.
    void setMaxMessageBytes(std::size_t bytes) { m_session.setMaxMessageBytes(bytes); }
    /// True without TLS, or if the certificate names the VM.
    bool isFrom(const VmId &vm) { return m_socket.isFrom(vm); }
    bool isClosing() const { return m_end.has_value(); }

private:
    bool shakeHands();
    void readAll();
    void writeAll();
    /// False if the session failed.
    bool collectOutput(std::string &out);

    PeerSocket m_socket;
    const Options m_options;
    const Source m_source;
    Http2Session m_session;
    std::optional<End> m_end;
    boost::fibers::mutex m_mutex;
    boost::fibers::condition_variable m_changed;
    bool m_wanted = true;
    bool m_writerEnded = false;
};

std::string_view name(PeerConnection::End end);

} // namespace rattandock::adapters::detail
