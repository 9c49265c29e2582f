#pragma once

#include <boost/asio/ssl/context.hpp>
#include <memory>
#include <string>

#include "rattandock/base/result.hpp"

namespace rattandock::adapters {

/// PEM files of one daemon. The certificate names the VM as a DNS name and serves both as client
/// and as server; every certificate of the authority is a peer.
struct PeerTlsFiles
{
    std::string certificate;
    std::string key;
    std::string authority;
};

/// Certificates in force, shared by the connections that were made with them.
using PeerTls = std::shared_ptr<boost::asio::ssl::context>;

/// TLS 1.3 with a certificate of the authority required from both sides.
/// Errors: each file that cannot be used, with the reason.
Checked<PeerTls> loadPeerTls(const PeerTlsFiles &files);

} // namespace rattandock::adapters
