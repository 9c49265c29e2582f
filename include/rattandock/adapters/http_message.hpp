#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace rattandock::adapters {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

struct HttpRequest
{
    std::string method;
    /// The target up to the question mark, still percent-encoded.
    std::string path;
    /// The target after the question mark.
    std::string query;
    HttpHeaders headers;
    std::string body;
    /// Set by HttpServer: has the function called if the client closes the connection before the
    /// answer. Call at most once, from the handler's fiber; the function runs on its thread.
    std::function<void(std::function<void()> onClosed)> watchClose;
    /// Set by HttpServer: frees the body, so that it is not kept while the handler waits. Call from
    /// the handler's fiber.
    std::function<void()> releaseBody;

    /// The first header of that name in any case, or an empty string.
    const std::string &header(std::string_view name) const;
};

struct HttpResponse
{
    unsigned status = 200;
    std::string body;
    HttpHeaders headers;
    std::string contentType = "application/json";
    /// Resets the connection and sends nothing; for stand-ins that show this fault.
    bool resetConnection = false;
};

/// Decodes %XX. Bad escapes stay as they are.
std::string percentDecode(std::string_view text);
/// Decodes %XX. Nothing if an escape is bad or the decoded text is not UTF-8.
std::optional<std::string> percentDecodeStrictly(std::string_view text);
/// Encodes all but unreserved characters.
std::string percentEncode(std::string_view text);

} // namespace rattandock::adapters
