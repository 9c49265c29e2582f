#include "rattandock/core/home_token.hpp"

#include <openssl/crypto.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <charconv>
#include <vector>

namespace rattandock::core {

namespace {

constexpr std::size_t maxVmNameLength = 64;
constexpr std::size_t maxKeyLength = 128;
constexpr std::string_view tokenVersion = "v1";

std::string toHex(std::uint64_t value)
{
    std::array<char, 16> buf{};
    const auto end = std::to_chars(buf.data(), buf.data() + buf.size(), value, 16).ptr;
    return {buf.data(), end};
}

std::optional<std::uint64_t> fromHex(std::string_view text)
{
    std::uint64_t value = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value, 16);
    if (text.empty() || result.ec != std::errc{} || result.ptr != text.data() + text.size()) {
        return std::nullopt;
    }
    // Accept only the canonical spelling, so that one job cannot have two ids.
    if (toHex(value) != text) {
        return std::nullopt;
    }
    return value;
}

std::vector<std::string_view> split(std::string_view text, char separator)
{
    std::vector<std::string_view> parts;
    while (true) {
        const auto end = text.find(separator);
        parts.push_back(text.substr(0, end));
        if (end == std::string_view::npos) {
            return parts;
        }
        text.remove_prefix(end + 1);
    }
}

bool isVmName(std::string_view text)
{
    const auto allowed = [](char it) {
        return (it >= 'a' && it <= 'z') || (it >= 'A' && it <= 'Z') || (it >= '0' && it <= '9')
               || it == '-' || it == '_';
    };
    return !text.empty() && text.size() <= maxVmNameLength && std::ranges::all_of(text, allowed);
}

std::string signedPart(const HomeToken &token)
{
    return std::string{tokenVersion} + '.' + token.vm.value() + '.'
           + toHex(token.incarnation.value()) + '.'
           + toHex(static_cast<std::uint64_t>(toMilliseconds(token.issued.time_since_epoch())))
           + '.' + toHex(static_cast<std::uint64_t>(toMilliseconds(token.lifetime)));
}

std::optional<HomeToken> parseToken(std::string_view text)
{
    const auto parts = split(text, '.');
    if (parts.size() != 6 || parts[0] != tokenVersion || !isVmName(parts[1])) {
        return std::nullopt;
    }
    const auto incarnation = fromHex(parts[2]);
    const auto issued = fromHex(parts[3]);
    const auto lifetime = fromHex(parts[4]);
    const auto check = fromHex(parts[5]);
    // Larger values could overflow the clock when times are added.
    constexpr std::uint64_t maxMilliseconds = 1ULL << 50U;
    if (!incarnation || !issued || !lifetime || !check || *issued > maxMilliseconds
        || *lifetime > maxMilliseconds) {
        return std::nullopt;
    }
    return HomeToken{VmId{std::string{parts[1]}}, Incarnation{*incarnation},
                     TimePoint{std::chrono::milliseconds{*issued}},
                     std::chrono::milliseconds{*lifetime}, *check};
}

} // namespace

std::optional<HomeJobId> parseHomeJobId(const JobId &id)
{
    const std::string_view text = id.value();
    const auto slash = text.find('/');
    if (slash == std::string_view::npos) {
        return std::nullopt;
    }
    const auto key = text.substr(slash + 1);
    const auto token = parseToken(text.substr(0, slash));
    if (!token || key.empty() || key.size() > maxKeyLength) {
        return std::nullopt;
    }
    return HomeJobId{*token, std::string{key}};
}

std::string format(const HomeToken &token)
{
    return signedPart(token) + '.' + toHex(token.check);
}

TokenAuthority::TokenAuthority(VmId vm, Incarnation incarnation, Duration lifetime,
                               const TokenSecret &secret)
    : m_vm(std::move(vm))
    , m_incarnation(incarnation)
    , m_lifetime(lifetime)
    , m_secret(secret)
{
}

HomeToken TokenAuthority::issue(TimePoint now) const
{
    // The text form has a resolution of 1 ms. Rounding down only shortens the token's lifetime.
    const std::chrono::milliseconds issued{toMilliseconds(now.time_since_epoch())};
    HomeToken token{m_vm, m_incarnation, TimePoint{issued}, m_lifetime, 0};
    token.check = checkCode(token);
    return token;
}

bool TokenAuthority::isOwn(const HomeToken &token) const
{
    return token.vm == m_vm && token.incarnation == m_incarnation;
}

bool TokenAuthority::isGenuine(const HomeToken &token) const
{
    const std::uint64_t expected = checkCode(token);
    return CRYPTO_memcmp(&expected, &token.check, sizeof expected) == 0;
}

std::uint64_t TokenAuthority::checkCode(const HomeToken &token) const
{
    const std::string text = signedPart(token);
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    HMAC(EVP_sha256(), m_secret.data(), static_cast<int>(m_secret.size()),
         reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest.data(), &size);
    std::uint64_t code = 0;
    std::copy_n(digest.begin(), sizeof code, reinterpret_cast<unsigned char *>(&code));
    return code;
}

} // namespace rattandock::core
