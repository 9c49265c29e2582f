#include "detail/certificate_maker.hpp"

#include <openssl/ec.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>

#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <cstdlib>

namespace rattandock::adapters::detail {

namespace {

template <typename Write>
void writePem(const std::filesystem::path &path, Write write)
{
    std::FILE *const file = std::fopen(path.c_str(), "w");
    BOOST_REQUIRE(file != nullptr);
    BOOST_REQUIRE(write(file) == 1);
    std::fclose(file);
}

void addExtension(X509 *certificate, int id, const std::string &value)
{
    X509_EXTENSION *const extension = X509V3_EXT_conf_nid(nullptr, nullptr, id, value.c_str());
    BOOST_REQUIRE(extension != nullptr);
    BOOST_REQUIRE(X509_add_ext(certificate, extension, -1) == 1);
    X509_EXTENSION_free(extension);
}

X509 *newCertificate(const std::string &name, long serial, EVP_PKEY *key)
{
    constexpr long dayInSeconds = 86'400;
    X509 *const it = X509_new();
    X509_set_version(it, X509_VERSION_3);
    ASN1_INTEGER_set(X509_get_serialNumber(it), serial);
    X509_gmtime_adj(X509_getm_notBefore(it), -dayInSeconds);
    X509_gmtime_adj(X509_getm_notAfter(it), dayInSeconds);
    X509_set_pubkey(it, key);
    X509_NAME_add_entry_by_txt(X509_get_subject_name(it), "CN", MBSTRING_ASC,
                               reinterpret_cast<const unsigned char *>(name.c_str()), -1, -1, 0);
    return it;
}

} // namespace

CertificateMaker::CertificateMaker()
    : m_key(EVP_EC_gen("P-256"))
    , m_authority(newCertificate("test authority", 1, m_key))
{
    std::string pattern = std::filesystem::temp_directory_path() / "rattandock-tls-XXXXXX";
    BOOST_REQUIRE(::mkdtemp(pattern.data()) != nullptr);
    m_directory = pattern;
    X509_set_issuer_name(m_authority, X509_get_subject_name(m_authority));
    addExtension(m_authority, NID_basic_constraints, "critical,CA:TRUE");
    BOOST_REQUIRE(X509_sign(m_authority, m_key, EVP_sha256()) != 0);
    writePem(m_directory / "authority.pem",
             [this](std::FILE *file) { return PEM_write_X509(file, m_authority); });
}

CertificateMaker::~CertificateMaker()
{
    X509_free(m_authority);
    EVP_PKEY_free(m_key);
    std::error_code ec;
    std::filesystem::remove_all(m_directory, ec);
}

PeerTlsFiles CertificateMaker::make(const std::string &vm)
{
    const std::string stem = m_directory / (vm + '-' + std::to_string(++m_serial));
    const PeerTlsFiles files{stem + ".pem", stem + ".key", m_directory / "authority.pem"};
    EVP_PKEY *const key = EVP_EC_gen("P-256");
    X509 *const certificate = newCertificate(vm, m_serial, key);
    X509_set_issuer_name(certificate, X509_get_subject_name(m_authority));
    addExtension(certificate, NID_subject_alt_name, "DNS:" + vm);
    BOOST_REQUIRE(X509_sign(certificate, m_key, EVP_sha256()) != 0);
    writePem(files.certificate,
             [certificate](std::FILE *file) { return PEM_write_X509(file, certificate); });
    writePem(files.key, [key](std::FILE *file) {
        return PEM_write_PrivateKey(file, key, nullptr, nullptr, 0, nullptr, nullptr);
    });
    X509_free(certificate);
    EVP_PKEY_free(key);
    return files;
}

} // namespace rattandock::adapters::detail
