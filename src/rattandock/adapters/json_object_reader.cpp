#include "rattandock/adapters/json_object_reader.hpp"

#include <boost/json/array.hpp>
#include <boost/json/value.hpp>

#include "rattandock/adapters/json_parse.hpp"

namespace rattandock::adapters {

namespace {

constexpr std::size_t maxShownKeyBytes = 64;

std::string range(auto min, auto max)
{
    return "from " + std::to_string(min) + " to " + std::to_string(max);
}

} // namespace

JsonObjectReader::JsonObjectReader(const boost::json::object &object, std::string path,
                                   Findings &findings)
    : m_object(object)
    , m_path(std::move(path))
    , m_findings(findings)
{
}

std::optional<std::string> JsonObjectReader::text(std::string_view key, std::size_t minSize,
                                                  std::size_t maxSize)
{
    const auto *found = value(key);
    if (found == nullptr) {
        return std::nullopt;
    }
    if (!found->is_string()) {
        report(key, "must be a string");
        return std::nullopt;
    }
    const auto &string = found->get_string();
    if (string.size() < minSize || string.size() > maxSize) {
        report(key, "must have " + range(minSize, maxSize) + " bytes");
        return std::nullopt;
    }
    return std::string{string};
}

std::optional<std::int64_t> JsonObjectReader::integer(std::string_view key, std::int64_t min,
                                                      std::int64_t max)
{
    const auto *found = value(key);
    if (found == nullptr) {
        return std::nullopt;
    }
    if (!found->is_int64()) {
        report(key, found->is_uint64() ? "must be " + range(min, max) : "must be a whole number");
        return std::nullopt;
    }
    if (found->get_int64() < min || found->get_int64() > max) {
        report(key, "must be " + range(min, max));
        return std::nullopt;
    }
    return found->get_int64();
}

std::optional<double> JsonObjectReader::number(std::string_view key, double min, double max)
{
    const auto *found = value(key);
    if (found == nullptr) {
        return std::nullopt;
    }
    if (!found->is_number()) {
        report(key, "must be a number");
        return std::nullopt;
    }
    const auto read = found->to_number<double>();
    if (read < min || read > max) {
        report(key, "must be " + range(min, max));
        return std::nullopt;
    }
    return read;
}

std::optional<bool> JsonObjectReader::boolean(std::string_view key)
{
    const auto *found = value(key);
    if (found == nullptr) {
        return std::nullopt;
    }
    if (!found->is_bool()) {
        report(key, "must be true or false");
        return std::nullopt;
    }
    return found->get_bool();
}

const boost::json::object *JsonObjectReader::object(std::string_view key)
{
    const auto *found = value(key);
    if (found == nullptr) {
        return nullptr;
    }
    if (!found->is_object()) {
        report(key, "must be an object");
        return nullptr;
    }
    return &found->get_object();
}

bool JsonObjectReader::isNull(std::string_view key)
{
    const auto *found = value(key);
    return found != nullptr && found->is_null();
}

bool JsonObjectReader::objects(std::string_view key, std::size_t minSize, std::size_t maxSize,
                               const std::function<void(JsonObjectReader &item)> &read)
{
    const auto *found = value(key);
    if (found == nullptr) {
        return false;
    }
    if (!found->is_array()) {
        report(key, "must be an array");
        return false;
    }
    const auto &array = found->get_array();
    if (array.size() < minSize || array.size() > maxSize) {
        report(key, "must have " + range(minSize, maxSize) + " items");
        return false;
    }
    for (std::size_t n = 0; n < array.size(); ++n) {
        const std::string itemPath = pathOf(key) + '[' + std::to_string(n) + ']';
        if (!array[n].is_object()) {
            m_findings.add(itemPath, "must be an object");
            continue;
        }
        JsonObjectReader item{array[n].get_object(), itemPath, m_findings};
        read(item);
        item.reportUnknownKeys();
    }
    return true;
}

bool JsonObjectReader::child(std::string_view key,
                             const std::function<void(JsonObjectReader &item)> &read)
{
    const auto *const found = object(key);
    if (found == nullptr) {
        return false;
    }
    JsonObjectReader item{*found, pathOf(key), m_findings};
    read(item);
    item.reportUnknownKeys();
    return true;
}

void JsonObjectReader::require(std::string_view key)
{
    if (!m_object.contains(key)) {
        report(key, "is missing");
    }
}

void JsonObjectReader::report(std::string_view key, std::string message)
{
    m_findings.add(pathOf(key), std::move(message));
}

void JsonObjectReader::reportUnknownKeys()
{
    for (const auto &it : m_object) {
        if (!m_known.contains(std::string_view{it.key()})) {
            report(shortened(it.key(), maxShownKeyBytes), "is not a known key");
        }
    }
}

const boost::json::value *JsonObjectReader::value(std::string_view key)
{
    m_known.emplace(key);
    return m_object.if_contains(key);
}

std::string JsonObjectReader::pathOf(std::string_view key) const
{
    return m_path + '.' + std::string{key};
}

} // namespace rattandock::adapters
