#pragma once

#include <string>
#include <string_view>

namespace rattandock::adapters {

/// Standard base64 with padding (RFC 4648, section 4).
std::string toBase64(std::string_view bytes);

} // namespace rattandock::adapters
