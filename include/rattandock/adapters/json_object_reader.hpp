#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "rattandock/base/finding.hpp"

namespace rattandock::adapters {

/// Reads the members of one JSON object and collects every finding with its JSON path: missing
/// and unknown keys, wrong types, values out of bounds.
/// Thread safety: none; one thread at a time.
class JsonObjectReader
{
public:
    /// Precondition: the object and the findings outlive the reader.
    JsonObjectReader(const boost::json::object &object, std::string path, Findings &findings);

    /// Nothing if the key is absent or the value is a finding.
    std::optional<std::string> text(std::string_view key, std::size_t minSize, std::size_t maxSize);
    std::optional<std::int64_t> integer(std::string_view key, std::int64_t min, std::int64_t max);
    std::optional<double> number(std::string_view key, double min, double max);
    std::optional<bool> boolean(std::string_view key);
    const boost::json::object *object(std::string_view key);
    /// True if the key is present with the value null.
    bool isNull(std::string_view key);

    /// Calls the function with a reader for each object of the array, in order.
    /// False if the key is absent or the array's size is out of bounds.
    bool objects(std::string_view key, std::size_t minSize, std::size_t maxSize,
                 const std::function<void(JsonObjectReader &item)> &read);

    /// Calls the function with a reader for the object.
    /// False if the key is absent or its value is a finding.
    bool child(std::string_view key, const std::function<void(JsonObjectReader &item)> &read);

    /// Adds a finding if the key is absent.
    void require(std::string_view key);
    /// Adds a finding for the value of a key.
    void report(std::string_view key, std::string message);
    /// Adds a finding for each key that was never asked for.
    void reportUnknownKeys();

    /// The keys that were asked for so far.
    const std::set<std::string, std::less<>> &knownKeys() const { return m_known; }

    const std::string &path() const { return m_path; }

private:
    const boost::json::value *value(std::string_view key);
    std::string pathOf(std::string_view key) const;

    const boost::json::object &m_object;
    std::string m_path;
    Findings &m_findings;
    std::set<std::string, std::less<>> m_known;
};

} // namespace rattandock::adapters
