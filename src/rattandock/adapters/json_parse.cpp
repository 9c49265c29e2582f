#include "rattandock/adapters/json_parse.hpp"

#include <boost/json/basic_parser_impl.hpp>
#include <boost/json/value_stack.hpp>
#include <set>
#include <string>
#include <vector>

namespace rattandock::adapters {

namespace json = boost::json;

namespace {

constexpr std::size_t maxShownKeyBytes = 64;

/// Builds the value and checks keys and the count of values in the same pass.
class StrictHandler
{
public:
    // Names and constants that boost::json::basic_parser asks for.
    // NOLINTBEGIN(readability-identifier-naming)
    static constexpr std::size_t max_object_size = json::object::max_size();
    static constexpr std::size_t max_array_size = json::array::max_size();
    static constexpr std::size_t max_key_size = json::string::max_size();
    static constexpr std::size_t max_string_size = json::string::max_size();

    explicit StrictHandler(const JsonBounds &bounds)
        : m_bounds(bounds)
    {
        m_stack.reset();
    }

    bool on_document_begin(json::error_code &) { return true; }
    bool on_document_end(json::error_code &) { return true; }
    bool on_object_begin(json::error_code &ec) { return open(true, ec); }
    bool on_array_begin(json::error_code &ec) { return open(false, ec); }
    bool on_object_end(std::size_t n, json::error_code &)
    {
        m_stack.push_object(n);
        m_open.pop_back();
        return true;
    }
    bool on_array_end(std::size_t n, json::error_code &)
    {
        m_stack.push_array(n);
        m_open.pop_back();
        return true;
    }
    bool on_key_part(json::string_view text, std::size_t, json::error_code &)
    {
        m_key.append(text.data(), text.size());
        m_stack.push_chars(text);
        return true;
    }
    bool on_key(json::string_view text, std::size_t, json::error_code &ec)
    {
        m_key.append(text.data(), text.size());
        m_stack.push_key(text);
        Container &container = m_open.back();
        container.key = m_key;
        m_key.clear();
        if (!container.keys.insert(container.key).second) {
            return refuse("appears twice", ec);
        }
        return true;
    }
    bool on_string_part(json::string_view text, std::size_t, json::error_code &)
    {
        m_stack.push_chars(text);
        return true;
    }
    bool on_string(json::string_view text, std::size_t, json::error_code &ec)
    {
        m_stack.push_string(text);
        return count(ec);
    }
    bool on_number_part(json::string_view, json::error_code &) { return true; }
    bool on_int64(std::int64_t value, json::string_view, json::error_code &ec)
    {
        m_stack.push_int64(value);
        return count(ec);
    }
    bool on_uint64(std::uint64_t value, json::string_view, json::error_code &ec)
    {
        m_stack.push_uint64(value);
        return count(ec);
    }
    bool on_double(double value, json::string_view, json::error_code &ec)
    {
        m_stack.push_double(value);
        return count(ec);
    }
    bool on_bool(bool value, json::error_code &ec)
    {
        m_stack.push_bool(value);
        return count(ec);
    }
    bool on_null(json::error_code &ec)
    {
        m_stack.push_null();
        return count(ec);
    }
    bool on_comment_part(json::string_view, json::error_code &) { return true; }
    bool on_comment(json::string_view, json::error_code &) { return true; }
    // NOLINTEND(readability-identifier-naming)

    json::value release() { return m_stack.release(); }
    Findings takeFindings() { return std::move(m_findings); }

private:
    struct Container
    {
        bool isObject = false;
        std::size_t items = 0;
        std::string key;
        std::set<std::string, std::less<>> keys;
    };

    bool open(bool isObject, json::error_code &ec)
    {
        if (!count(ec)) {
            return false;
        }
        if (m_open.size() >= m_bounds.maxDepth) {
            return refuse("nests deeper than " + std::to_string(m_bounds.maxDepth) + " levels", ec);
        }
        m_open.push_back({isObject, 0, {}, {}});
        return true;
    }

    bool count(json::error_code &ec)
    {
        if (++m_values > m_bounds.maxValues) {
            return refuse("has more than " + std::to_string(m_bounds.maxValues)
                                  + " values up to here",
                          ec);
        }
        if (!m_open.empty()) {
            ++m_open.back().items;
        }
        return true;
    }

    bool refuse(std::string message, json::error_code &ec)
    {
        m_findings.add(path(), std::move(message));
        ec = json::error::exception;
        return false;
    }

    std::string path() const
    {
        std::string path = "$";
        for (const Container &it : m_open) {
            if (it.isObject) {
                path += '.' + shortened(it.key, maxShownKeyBytes);
            } else {
                path += '[' + std::to_string(it.items == 0 ? 0 : it.items - 1) + ']';
            }
        }
        return path;
    }

    const JsonBounds m_bounds;
    json::value_stack m_stack;
    std::vector<Container> m_open;
    std::string m_key;
    std::size_t m_values = 0;
    Findings m_findings;
};

} // namespace

Checked<json::value> parseJson(std::string_view text, const JsonBounds &bounds)
{
    json::parse_options options;
    // The handler refuses one level earlier and names the place.
    options.max_depth = bounds.maxDepth + 1;
    json::basic_parser<StrictHandler> parser{options, bounds};
    json::error_code ec;
    const std::size_t used = parser.write_some(false, text.data(), text.size(), ec);
    Findings findings = parser.handler().takeFindings();
    if (findings.empty() && ec) {
        findings.add("$",
                     "is not valid JSON at byte " + std::to_string(used) + ": " + ec.message());
    }
    if (findings.empty() && used != text.size()) {
        findings.add("$", "has text after the document at byte " + std::to_string(used));
    }
    if (!findings.empty()) {
        return findings;
    }
    return parser.handler().release();
}

bool isUtf8(std::string_view text)
{
    const auto byteAt = [text](std::size_t n) { return static_cast<unsigned char>(text[n]); };
    for (std::size_t n = 0; n < text.size();) {
        const unsigned first = byteAt(n);
        const std::size_t length = first < 0x80U                     ? 1
                                   : first >= 0xC2U && first < 0xE0U ? 2
                                   : first >= 0xE0U && first < 0xF0U ? 3
                                   : first >= 0xF0U && first < 0xF5U ? 4
                                                                     : 0;
        if (length == 0 || n + length > text.size()) {
            return false;
        }
        for (std::size_t k = 1; k < length; ++k) {
            if ((byteAt(n + k) & 0xC0U) != 0x80U) {
                return false;
            }
        }
        const unsigned second = length > 1 ? byteAt(n + 1) : 0;
        const bool overlong =
                (first == 0xE0U && second < 0xA0U) || (first == 0xF0U && second < 0x90U);
        const bool surrogate = first == 0xEDU && second >= 0xA0U;
        const bool tooLarge = first == 0xF4U && second >= 0x90U;
        if (overlong || surrogate || tooLarge) {
            return false;
        }
        n += length;
    }
    return true;
}

std::string shortened(std::string_view text, std::size_t maxBytes)
{
    if (text.size() <= maxBytes) {
        return std::string{text};
    }
    std::size_t end = maxBytes;
    while (end > 0 && (static_cast<unsigned char>(text[end]) & 0xC0U) == 0x80U) {
        --end;
    }
    return std::string{text.substr(0, end)} + "...";
}

} // namespace rattandock::adapters
