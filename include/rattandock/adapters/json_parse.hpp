#pragma once

#include <boost/json/value.hpp>
#include <cstddef>
#include <string_view>

#include "rattandock/base/result.hpp"

namespace rattandock::adapters {

/// Bounds that keep the memory of a parsed document near the size of its text.
struct JsonBounds
{
    std::size_t maxDepth = 8;
    std::size_t maxValues = 4096;
};

/// Parses JSON strictly: refuses invalid UTF-8, text after the document, keys that appear twice in
/// one object, and documents over the bounds. Errors: one finding with the JSON path.
/// Thread safety: may be called from any thread.
Checked<boost::json::value> parseJson(std::string_view text, const JsonBounds &bounds);

/// True if the text is well-formed UTF-8 without surrogates and overlong forms.
bool isUtf8(std::string_view text);

/// At most `maxBytes` bytes of UTF-8 text, cut between two characters and then ended by `...`.
std::string shortened(std::string_view text, std::size_t maxBytes);

} // namespace rattandock::adapters
