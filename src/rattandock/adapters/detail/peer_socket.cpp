#include "peer_socket.hpp"

#include <openssl/x509v3.h>

#include <boost/asio/write.hpp>

#include "rattandock/base/overloaded.hpp"

namespace rattandock::adapters::detail {

namespace asio = boost::asio;
namespace beast = boost::beast;

PeerSocket::PeerSocket(beast::tcp_stream stream, PeerTls tls)
    : m_tls(std::move(tls))
    , m_stream(std::move(stream))
{
    if (m_tls) {
        beast::tcp_stream plain = std::move(std::get<beast::tcp_stream>(m_stream));
        m_stream.emplace<TlsStream>(std::move(plain), *m_tls);
    }
}

beast::tcp_stream &PeerSocket::tcp()
{
    return std::visit(
            Overloaded{[](beast::tcp_stream &it) -> beast::tcp_stream & { return it; },
                       [](TlsStream &it) -> beast::tcp_stream & { return it.next_layer(); }},
            m_stream);
}

IoEnd PeerSocket::shakeHands(Role role, Duration limit)
{
    auto *const stream = std::get_if<TlsStream>(&m_stream);
    if (stream == nullptr) {
        return {};
    }
    tcp().expires_after(limit);
    return awaitIo([&](auto handle) { stream->async_handshake(role, handle); });
}

bool PeerSocket::isFrom(const VmId &vm)
{
    auto *const stream = std::get_if<TlsStream>(&m_stream);
    if (stream == nullptr) {
        return true;
    }
    X509 *const certificate = SSL_get1_peer_certificate(stream->native_handle());
    const bool matches = certificate != nullptr
                         && X509_check_host(certificate, vm.value().data(), vm.value().size(),
                                            X509_CHECK_FLAG_NO_WILDCARDS, nullptr)
                                    == 1;
    X509_free(certificate);
    return matches;
}

IoEnd PeerSocket::readSome(asio::mutable_buffer into, Duration limit)
{
    tcp().expires_after(limit);
    return std::visit(
            [&](auto &stream) {
                return awaitIo([&](auto handle) { stream.async_read_some(into, handle); });
            },
            m_stream);
}

IoEnd PeerSocket::write(asio::const_buffer from, Duration limit)
{
    tcp().expires_after(limit);
    return std::visit(
            [&](auto &stream) {
                return awaitIo([&](auto handle) { asio::async_write(stream, from, handle); });
            },
            m_stream);
}

void PeerSocket::close()
{
    tcp().close();
}

} // namespace rattandock::adapters::detail
