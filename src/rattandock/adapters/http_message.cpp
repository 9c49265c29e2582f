#include "rattandock/adapters/http_message.hpp"

#include <algorithm>
#include <cctype>

#include "rattandock/adapters/json_parse.hpp"

namespace rattandock::adapters {

namespace {

int hexDigit(char it)
{
    if (it >= '0' && it <= '9') {
        return it - '0';
    }
    const char lower = static_cast<char>(std::tolower(static_cast<unsigned char>(it)));
    return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

bool equalInAnyCase(std::string_view a, std::string_view b)
{
    return std::ranges::equal(a, b, [](unsigned char x, unsigned char y) {
        return std::tolower(x) == std::tolower(y);
    });
}

} // namespace

const std::string &HttpRequest::header(std::string_view name) const
{
    static const std::string none;
    for (const auto &[key, value] : headers) {
        if (equalInAnyCase(key, name)) {
            return value;
        }
    }
    return none;
}

std::string percentDecode(std::string_view text)
{
    std::string decoded;
    for (std::size_t n = 0; n < text.size(); ++n) {
        if (text[n] == '%' && n + 2 < text.size()) {
            const int high = hexDigit(text[n + 1]);
            const int low = hexDigit(text[n + 2]);
            if (high >= 0 && low >= 0) {
                decoded += static_cast<char>(high * 16 + low);
                n += 2;
                continue;
            }
        }
        decoded += text[n];
    }
    return decoded;
}

std::optional<std::string> percentDecodeStrictly(std::string_view text)
{
    for (std::size_t n = 0; n < text.size(); ++n) {
        const bool isBad =
                text[n] == '%'
                && (n + 2 >= text.size() || hexDigit(text[n + 1]) < 0 || hexDigit(text[n + 2]) < 0);
        if (isBad) {
            return std::nullopt;
        }
    }
    std::string decoded = percentDecode(text);
    if (!isUtf8(decoded)) {
        return std::nullopt;
    }
    return decoded;
}

std::string percentEncode(std::string_view text)
{
    static constexpr std::string_view digits = "0123456789ABCDEF";
    std::string encoded;
    for (const char it : text) {
        const auto byte = static_cast<unsigned char>(it);
        if (std::isalnum(byte) != 0 || it == '-' || it == '.' || it == '_' || it == '~') {
            encoded += it;
        } else {
            encoded += '%';
            encoded += digits[byte >> 4U];
            encoded += digits[byte & 15U];
        }
    }
    return encoded;
}

} // namespace rattandock::adapters
