#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <tuple>

#include "rattandock/adapters/http_message.hpp"

namespace rattandock::standins {

/// The platform's tables in memory. Thread safety: all methods are called on one I/O thread.
class StandinStore
{
public:
    rattandock::adapters::HttpResponse serve(const rattandock::adapters::HttpRequest &request);

    /// Writes a row as the operator or a runner does.
    void put(const std::string &table, const std::string &key, const std::string &value);
    /// Removes a row as the operator does.
    void remove(const std::string &table, const std::string &key);
    /// While down, calls get 503.
    void setDown(bool isDown) { m_isDown = isDown; }

private:
    using Place = std::tuple<std::string, std::string, std::string>;
    struct Row
    {
        std::string value;
        std::uint64_t version = 0;
        /// The row was removed with this version; only changes() shows it.
        bool isRemoved = false;
    };

    rattandock::adapters::HttpResponse read(const std::string &query) const;
    rattandock::adapters::HttpResponse changes(const std::string &query);
    rattandock::adapters::HttpResponse parts(const std::string &query) const;
    rattandock::adapters::HttpResponse write(const std::string &body);

    std::map<Place, Row> m_rows;
    std::uint64_t m_version = 0;
    bool m_isDown = false;
};

} // namespace rattandock::standins
