#include "rattandock/adapters/json_document.hpp"

#include <algorithm>
#include <boost/json/stream_parser.hpp>
#include <fstream>
#include <sstream>

namespace rattandock::adapters {

namespace json = boost::json;

namespace {

std::string lineOf(std::string_view text, std::size_t offset)
{
    const auto head = text.substr(0, std::min(offset, text.size()));
    return std::to_string(1 + std::ranges::count(head, '\n'));
}

} // namespace

Checked<json::object> parseJsonDocument(std::string_view text, const std::string &file)
{
    json::parse_options options;
    options.allow_comments = true;
    options.allow_trailing_commas = true;
    json::stream_parser parser{{}, options};
    json::error_code ec;
    const std::size_t used = parser.write_some(text.data(), text.size(), ec);
    if (!ec && used == text.size()) {
        parser.finish(ec);
    }
    Findings findings;
    if (ec || used != text.size()) {
        findings.add(file + ':' + lineOf(text, used),
                     ec ? "is not valid JSON: " + ec.message() : "has text after the object");
        return findings;
    }
    json::value value = parser.release();
    if (!value.is_object()) {
        findings.add(file + ":1", "must be an object");
        return findings;
    }
    return std::move(value.get_object());
}

Checked<std::string> readTextFile(const std::string &file)
{
    std::ifstream in{file};
    if (!in) {
        Findings findings;
        findings.add(file, "cannot be read");
        return findings;
    }
    std::stringstream text;
    text << in.rdbuf();
    return text.str();
}

Findings withFile(const Findings &findings, const std::string &file)
{
    Findings placed;
    for (const Finding &it : findings.items()) {
        placed.add(file + ": " + it.place, it.message);
    }
    return placed;
}

} // namespace rattandock::adapters
