#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/ssl/ssl_stream.hpp>
#include <variant>

#include "rattandock/adapters/io_wait.hpp"
#include "rattandock/adapters/peer_tls.hpp"
#include "rattandock/base/ids.hpp"
#include "rattandock/base/time.hpp"

namespace rattandock::adapters::detail {

/// A TCP connection with or without TLS. One fiber may read while another writes.
/// Thread safety: none; all methods on the thread of the socket.
class PeerSocket
{
public:
    using Role = boost::asio::ssl::stream_base::handshake_type;

    /// Without TLS if `tls` is null.
    PeerSocket(boost::beast::tcp_stream stream, PeerTls tls);

    boost::beast::tcp_stream &tcp();
    /// Does nothing without TLS. Errors: those of the handshake, also a refused certificate.
    IoEnd shakeHands(Role role, Duration limit);
    /// True without TLS, or if the other side's certificate names the VM.
    bool isFrom(const VmId &vm);

    IoEnd readSome(boost::asio::mutable_buffer into, Duration limit);
    IoEnd write(boost::asio::const_buffer from, Duration limit);
    /// Ends all operations.
    void close();

private:
    using TlsStream = boost::beast::ssl_stream<boost::beast::tcp_stream>;

    PeerTls m_tls;
    std::variant<boost::beast::tcp_stream, TlsStream> m_stream;
};

} // namespace rattandock::adapters::detail
