#pragma once

#include <openssl/types.h>

#include <filesystem>
#include <string>

#include "rattandock/adapters/peer_tls.hpp"

namespace rattandock::adapters::detail {

/// Makes an authority and certificates of it in a directory of its own, for tests.
class CertificateMaker
{
public:
    CertificateMaker();
    CertificateMaker(const CertificateMaker &) = delete;
    CertificateMaker &operator=(const CertificateMaker &) = delete;
    /// Removes the directory.
    ~CertificateMaker();

    /// Files of a new key and certificate that names the VM.
    PeerTlsFiles make(const std::string &vm);

private:
    std::filesystem::path m_directory;
    EVP_PKEY *m_key = nullptr;
    X509 *m_authority = nullptr;
    long m_serial = 1;
};

} // namespace rattandock::adapters::detail
