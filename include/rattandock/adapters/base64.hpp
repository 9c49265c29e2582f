#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace rattandock::adapters {

/// Standard base64 with padding (RFC 4648, section 4).
std::string toBase64(std::string_view bytes);
/// Nothing if the text is not base64 with padding.
std::optional<std::string> fromBase64(std::string_view text);

} // namespace rattandock::adapters
