#include "rattandock/adapters/base64.hpp"

#include <openssl/evp.h>

namespace rattandock::adapters {

std::string toBase64(std::string_view bytes)
{
    std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    const int n = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                                  reinterpret_cast<const unsigned char *>(bytes.data()),
                                  static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(n));
    return text;
}

std::optional<std::string> fromBase64(std::string_view text)
{
    if (text.size() % 4 != 0) {
        return std::nullopt;
    }
    std::string bytes(3 * (text.size() / 4), '\0');
    const int n = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()),
                                  reinterpret_cast<const unsigned char *>(text.data()),
                                  static_cast<int>(text.size()));
    if (n < 0) {
        return std::nullopt;
    }
    // OpenSSL counts the padding as bytes.
    const auto padding = text.ends_with("==") ? 2U : text.ends_with('=') ? 1U : 0U;
    bytes.resize(static_cast<std::size_t>(n) - padding);
    return bytes;
}

} // namespace rattandock::adapters
