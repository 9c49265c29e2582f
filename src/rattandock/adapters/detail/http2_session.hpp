#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace rattandock::adapters::detail {

/// One end of an HTTP/2 connection that carries messages as request bodies, without any I/O.
///
/// A client sends the body of one message at a time, so messages arrive in the order of submit().
/// The server replies 204 to an accepted message and 400 to any other.
/// Thread safety: none; one thread at a time.
class Http2Session
{
public:
    enum class Side : std::uint8_t { Client, Server };

    struct Handlers
    {
        /// Server: takes one whole message; false refuses it.
        std::function<bool(std::string message)> received;
        /// Client: the reply to the oldest unanswered message.
        std::function<void(bool accepted)> replied;
    };

    Http2Session(Side side, Handlers handlers, std::size_t maxMessageBytes);
    Http2Session(const Http2Session &) = delete;
    Http2Session &operator=(const Http2Session &) = delete;
    ~Http2Session();

    /// What ended the session.
    enum class Fault : std::uint8_t { None, ProtocolViolation, MessageTooLarge, StreamReset };

    /// Replaces the bound of messages that are not whole yet, all of the connection together.
    void setMaxMessageBytes(std::size_t bytes);

    /// Takes bytes from the connection. Any fault but None means that it must be closed.
    Fault receive(std::string_view bytes);

    /// Client: true if the body of the last message was taken whole by fillOutput().
    bool canSubmit() const;
    /// Client: starts a message. Precondition: canSubmit().
    void submit(std::string message);

    /// Appends bytes for the connection until `out` has `wanted` bytes or none are left.
    /// False if the session failed.
    bool fillOutput(std::string &out, std::size_t wanted);

private:
    struct Nghttp2;

    std::unique_ptr<Nghttp2> m_nghttp2;
};

} // namespace rattandock::adapters::detail
