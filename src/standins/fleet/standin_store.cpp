#include "standins/fleet/standin_store.hpp"

#include <algorithm>
#include <boost/fiber/operations.hpp>
#include <boost/json/serialize.hpp>
#include <chrono>
#include <set>

#include "platform/json_fields.hpp"
#include "rattandock/adapters/base64.hpp"

namespace rattandock::standins {

namespace json = boost::json;
using rattandock::adapters::HttpRequest;
using rattandock::adapters::HttpResponse;
using rattandock::adapters::percentDecode;
using rattandock::platform::JsonFields;
using rattandock::platform::parseObject;
using std::chrono::milliseconds;

namespace {

constexpr auto waitStep = milliseconds{2};

std::string parameter(const std::string &query, const std::string &name)
{
    const std::string key = name + '=';
    for (std::size_t at = 0; at < query.size();) {
        const std::size_t end = std::min(query.find('&', at), query.size());
        if (query.compare(at, key.size(), key) == 0) {
            return percentDecode(query.substr(at + key.size(), end - at - key.size()));
        }
        at = end + 1;
    }
    return {};
}

HttpResponse reply(unsigned status, const json::object &body)
{
    return {status, json::serialize(body), {}};
}

} // namespace

void StandinStore::put(const std::string &table, const std::string &key, const std::string &value)
{
    m_rows[{table, "", key}] = {value, ++m_version};
}

void StandinStore::remove(const std::string &table, const std::string &key)
{
    m_rows[{table, "", key}] = {"", ++m_version, true};
}

HttpResponse StandinStore::serve(const HttpRequest &request)
{
    if (m_isDown) {
        return reply(503, {});
    }
    if (request.path == "/api/rows-get") {
        return read(request.query);
    }
    if (request.path == "/api/rows-feed") {
        return changes(request.query);
    }
    if (request.path == "/api/rows-parts") {
        return parts(request.query);
    }
    return request.path == "/api/rows-tx" ? write(request.body) : reply(404, {});
}

HttpResponse StandinStore::read(const std::string &query) const
{
    json::array rows;
    for (const auto &[place, row] : m_rows) {
        const auto &[table, part, key] = place;
        if (table == parameter(query, "table") && part == parameter(query, "part")
            && key >= parameter(query, "from") && !row.isRemoved) {
            rows.push_back(json::object{{"table", table},
                                        {"part", part},
                                        {"key", key},
                                        {"value", rattandock::adapters::toBase64(row.value)},
                                        {"ver", row.version}});
        }
    }
    return reply(200, {{"rows", std::move(rows)}, {"has_more", false}, {"ver", m_version}});
}

HttpResponse StandinStore::changes(const std::string &query)
{
    const std::string table = parameter(query, "table");
    const std::uint64_t after = std::strtoull(parameter(query, "after").c_str(), nullptr, 10);
    const auto until =
            std::chrono::steady_clock::now()
            + milliseconds{std::strtoll(parameter(query, "wait_ms").c_str(), nullptr, 10)};
    json::array rows;
    while (true) {
        for (const auto &[place, row] : m_rows) {
            const auto &[rowTable, part, key] = place;
            if (rowTable == table && row.version > after) {
                rows.push_back(json::object{{"table", table},
                                            {"part", part},
                                            {"key", key},
                                            {"value", rattandock::adapters::toBase64(row.value)},
                                            {"ver", row.version},
                                            {"tombstone", row.isRemoved}});
            }
        }
        if (!rows.empty() || std::chrono::steady_clock::now() >= until) {
            return reply(200, {{"rows", std::move(rows)}, {"ver", m_version}});
        }
        boost::this_fiber::sleep_for(waitStep);
    }
}

HttpResponse StandinStore::parts(const std::string &query) const
{
    std::set<std::string> found;
    for (const auto &[place, row] : m_rows) {
        if (std::get<0>(place) == parameter(query, "table")) {
            found.insert(std::get<1>(place));
        }
    }
    json::array parts;
    for (const std::string &it : found) {
        parts.emplace_back(it);
    }
    return reply(200, {{"parts", std::move(parts)}, {"has_more", false}, {"ver", m_version}});
}

HttpResponse StandinStore::write(const std::string &body)
{
    const auto object = parseObject(body).value_or(json::object{});
    JsonFields fields{object};
    const auto placeOf = [](const json::value &value) {
        JsonFields row{value.as_object()};
        return Place{row.text("table"), row.text("part"), row.text("key")};
    };
    bool holds = true;
    json::array present;
    for (const json::value &it : fields.array("expect")) {
        JsonFields condition{it.as_object()};
        const auto row = m_rows.find(placeOf(it));
        const std::uint64_t version = row == m_rows.end() ? 0 : row->second.version;
        holds = holds && version == static_cast<std::uint64_t>(condition.integer("ver"));
        if (row != m_rows.end()) {
            json::object shown = it.as_object();
            shown["ver"] = version;
            shown["value"] = rattandock::adapters::toBase64(row->second.value);
            present.push_back(std::move(shown));
        }
    }
    if (!holds) {
        return reply(412, {{"rows", std::move(present)}, {"ver", m_version}});
    }
    ++m_version;
    for (const json::value &it : fields.array("writes")) {
        JsonFields row{it.as_object()};
        m_rows[placeOf(it)] = {rattandock::adapters::fromBase64(row.text("value")).value_or(""),
                               m_version};
    }
    return reply(200, {{"ver", m_version}});
}

} // namespace rattandock::standins
