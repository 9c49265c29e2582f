#include "peer_connection.hpp"

#include <array>
#include <vector>

#include "rattandock/adapters/io_threads.hpp"
#include "rattandock/adapters/io_wait.hpp"

namespace rattandock::adapters::detail {

namespace asio = boost::asio;
namespace beast = boost::beast;

namespace {

/// One nghttp2 frame with its header; larger buffers would only cost memory per link.
constexpr std::size_t readBytes = 16U << 10U;
/// Bytes of one write; the messages of a burst share it.
constexpr std::size_t writeBytes = 64U << 10U;

PeerConnection::End endFor(const boost::system::error_code &ec)
{
    return ec == beast::error::timeout ? PeerConnection::End::Silent : PeerConnection::End::Closed;
}

PeerConnection::End endFor(Http2Session::Fault fault)
{
    switch (fault) {
    case Http2Session::Fault::MessageTooLarge:
        return PeerConnection::End::MessageTooLarge;
    case Http2Session::Fault::StreamReset:
        return PeerConnection::End::Refused;
    default:
        return PeerConnection::End::ProtocolViolation;
    }
}

} // namespace

std::string_view name(PeerConnection::End end)
{
    static constexpr std::array<std::string_view, 11> names{
            "closed",     "silent",     "protocol-violation", "too-large", "refused",
            "queue-full", "tls-failed", "wrong-certificate",  "replaced",  "reset",
            "evicted"};
    return names.at(static_cast<std::size_t>(end));
}

PeerConnection::PeerConnection(PeerSocket socket, Options options, Http2Session::Handlers handlers,
                               Source source)
    : m_socket(std::move(socket))
    , m_options(std::move(options))
    , m_source(std::move(source))
    , m_session(m_options.side, std::move(handlers), m_options.maxMessageBytes)
{
}

PeerConnection::End PeerConnection::run()
{
    boost::system::error_code ec;
    m_socket.tcp().socket().set_option(asio::ip::tcp::no_delay(true), ec);
    if (!shakeHands()) {
        return *m_end;
    }
    spawnFiber([this] { writeAll(); });
    readAll();
    std::unique_lock lock{m_mutex};
    m_changed.wait(lock, [this] { return m_writerEnded; });
    return m_end.value_or(End::Closed);
}

void PeerConnection::wake()
{
    const std::lock_guard lock{m_mutex};
    m_wanted = true;
    m_changed.notify_all();
}

void PeerConnection::close(End end)
{
    if (!m_end) {
        m_end = end;
        m_socket.close();
    }
    wake();
}

bool PeerConnection::shakeHands()
{
    const auto role = m_options.side == Http2Session::Side::Client ? PeerSocket::Role::client
                                                                   : PeerSocket::Role::server;
    const IoEnd end = m_socket.shakeHands(role, m_options.handshakeLimit);
    if (end.ec) {
        close(End::TlsFailed);
    } else if (!m_options.expectedVm.value().empty() && !isFrom(m_options.expectedVm)) {
        close(End::WrongCertificate);
    }
    return !m_end;
}

void PeerConnection::readAll()
{
    std::vector<char> buf(readBytes);
    while (!m_end) {
        const IoEnd read = m_socket.readSome(asio::buffer(buf), m_options.silenceLimit);
        if (read.ec) {
            close(endFor(read.ec));
            return;
        }
        const auto fault = m_session.receive({buf.data(), read.bytes});
        if (fault != Http2Session::Fault::None) {
            close(endFor(fault));
            return;
        }
        wake();
    }
}

void PeerConnection::writeAll()
{
    std::string out;
    while (!m_end) {
        m_wanted = false;
        out.clear();
        if (!collectOutput(out)) {
            close(End::ProtocolViolation);
            break;
        }
        if (out.empty()) {
            std::unique_lock lock{m_mutex};
            m_changed.wait(lock, [this] { return m_wanted; });
            continue;
        }
        const IoEnd written = m_socket.write(asio::buffer(out), m_options.silenceLimit);
        if (written.ec) {
            close(endFor(written.ec));
        }
    }
    const std::lock_guard lock{m_mutex};
    m_writerEnded = true;
    m_changed.notify_all();
}

bool PeerConnection::collectOutput(std::string &out)
{
    while (out.size() < writeBytes) {
        const std::size_t before = out.size();
        bool submitted = false;
        if (m_options.side == Http2Session::Side::Client && m_session.canSubmit()) {
            if (auto message = m_source()) {
                m_session.submit(std::move(*message));
                submitted = true;
            }
        }
        if (!m_session.fillOutput(out, writeBytes)) {
            return false;
        }
        if (!submitted && out.size() == before) {
            break;
        }
    }
    return true;
}

} // namespace rattandock::adapters::detail
