#include "rattandock/adapters/peer_tls.hpp"

#include <openssl/ssl.h>

namespace rattandock::adapters {

namespace ssl = boost::asio::ssl;

Checked<PeerTls> loadPeerTls(const PeerTlsFiles &files)
{
    const auto context = std::make_shared<ssl::context>(ssl::context::tls);
    Findings findings;
    const auto check = [&findings](const std::string &file, const boost::system::error_code &ec) {
        if (ec) {
            findings.add(file, "cannot be used for TLS: " + ec.message());
        }
    };
    boost::system::error_code ec;
    context->use_certificate_chain_file(files.certificate, ec);
    check(files.certificate, ec);
    context->use_private_key_file(files.key, ssl::context::pem, ec);
    check(files.key, ec);
    context->load_verify_file(files.authority, ec);
    check(files.authority, ec);
    context->set_verify_mode(ssl::verify_peer | ssl::verify_fail_if_no_peer_cert, ec);
    check(files.authority, ec);
    if (SSL_CTX_set_min_proto_version(context->native_handle(), TLS1_3_VERSION) != 1) {
        findings.add(files.certificate, "cannot be used for TLS 1.3");
    }
    // A resumed session would outlive a reload of the authority.
    SSL_CTX_set_session_cache_mode(context->native_handle(), SSL_SESS_CACHE_OFF);
    SSL_CTX_set_num_tickets(context->native_handle(), 0);
    if (!findings.empty()) {
        return findings;
    }
    return context;
}

} // namespace rattandock::adapters
