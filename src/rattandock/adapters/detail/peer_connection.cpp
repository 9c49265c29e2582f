#include "peer_connection.hpp"

#include <array>
#include <boost/asio/write.hpp>
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
    static constexpr std::array<std::string_view, 6> names{
            "closed", "silent", "protocol-violation", "too-large", "refused", "queue-full"};
    return names.at(static_cast<std::size_t>(end));
}

PeerConnection::PeerConnection(beast::tcp_stream stream, Options options,
                               Http2Session::Handlers handlers, Source source)
    : m_stream(std::move(stream))
    , m_options(options)
    , m_source(std::move(source))
    , m_session(options.side, std::move(handlers), options.maxMessageBytes)
{
}

PeerConnection::End PeerConnection::run()
{
    boost::system::error_code ec;
    m_stream.socket().set_option(asio::ip::tcp::no_delay(true), ec);
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
        m_stream.close();
    }
    wake();
}

void PeerConnection::readAll()
{
    std::vector<char> buf(readBytes);
    while (!m_end) {
        m_stream.expires_after(m_options.silenceLimit);
        const IoEnd read =
                awaitIo([&](auto handle) { m_stream.async_read_some(asio::buffer(buf), handle); });
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
        m_stream.expires_after(m_options.silenceLimit);
        const IoEnd written = awaitIo(
                [&](auto handle) { asio::async_write(m_stream, asio::buffer(out), handle); });
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
