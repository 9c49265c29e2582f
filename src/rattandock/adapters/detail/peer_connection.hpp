#pragma once

#include <boost/beast/core/tcp_stream.hpp>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <functional>
#include <optional>
#include <string>

#include "http2_session.hpp"
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
    };

    struct Options
    {
        Http2Session::Side side{};
        /// The connection ends if nothing can be read or written for this long.
        Duration silenceLimit{};
        std::size_t maxMessageBytes = 0;
    };
    /// Gives the next message to send, or nothing.
    using Source = std::function<std::optional<std::string>()>;

    PeerConnection(boost::beast::tcp_stream stream, Options options,
                   Http2Session::Handlers handlers, Source source);
    PeerConnection(const PeerConnection &) = delete;
    PeerConnection &operator=(const PeerConnection &) = delete;
    ~PeerConnection() = default;

    /// Returns when the connection has ended and its writing fiber too.
    End run();
    /// The source has a message.
    void wake();
    /// Makes run() return with that end, unless it has another already.
    void close(End end);
    bool isClosing() const { return m_end.has_value(); }

private:
    void readAll();
    void writeAll();
    /// False if the session failed.
    bool collectOutput(std::string &out);

    boost::beast::tcp_stream m_stream;
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
