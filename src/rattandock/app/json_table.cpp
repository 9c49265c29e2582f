#include "rattandock/app/json_table.hpp"

#include <algorithm>
#include <boost/json/serialize.hpp>
#include <vector>

namespace rattandock::app {

namespace json = boost::json;

namespace {

using Row = std::vector<std::string>;

std::string cell(const json::value &value)
{
    std::string text = value.is_string() ? std::string{value.get_string()} : json::serialize(value);
    std::ranges::replace_if(
            text, [](unsigned char it) { return it < 0x20U || it == 0x7fU; }, '?');
    return text;
}

bool isTable(const json::value &value)
{
    return value.is_array() && !value.get_array().empty()
           && std::ranges::all_of(value.get_array(),
                                  [](const json::value &it) { return it.is_object(); });
}

std::string aligned(const std::vector<Row> &rows)
{
    std::vector<std::size_t> widths;
    for (const Row &row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t n = 0; n < row.size(); ++n) {
            widths[n] = std::max(widths[n], row[n].size());
        }
    }
    std::string text;
    for (const Row &row : rows) {
        for (std::size_t n = 0; n < row.size(); ++n) {
            const bool isLast = n + 1 == row.size();
            text += row[n] + (isLast ? "" : std::string(widths[n] - row[n].size() + 2, ' '));
        }
        text += '\n';
    }
    return text;
}

std::string tableOf(const json::array &array)
{
    Row heading;
    for (const auto &object : array) {
        for (const auto &it : object.get_object()) {
            const std::string key{it.key()};
            if (std::ranges::find(heading, key) == heading.end()) {
                heading.push_back(key);
            }
        }
    }
    std::vector<Row> rows{heading};
    for (const auto &object : array) {
        Row row;
        for (const std::string &key : heading) {
            const auto *value = object.get_object().if_contains(key);
            row.push_back(value == nullptr || cell(*value).empty() ? "-" : cell(*value));
        }
        rows.push_back(std::move(row));
    }
    return aligned(rows);
}

void collect(const std::string &prefix, const json::object &object, std::vector<Row> &scalars,
             std::string &tables)
{
    for (const auto &it : object) {
        const std::string key = prefix + std::string{it.key()};
        if (it.value().is_object()) {
            collect(key + '.', it.value().get_object(), scalars, tables);
        } else if (isTable(it.value())) {
            tables += '\n' + key + ":\n" + tableOf(it.value().get_array());
        } else {
            scalars.push_back({key, cell(it.value())});
        }
    }
}

} // namespace

std::string toTable(const json::value &value)
{
    if (!value.is_object()) {
        return cell(value) + '\n';
    }
    std::vector<Row> scalars;
    std::string tables;
    collect("", value.get_object(), scalars, tables);
    return aligned(scalars) + tables;
}

} // namespace rattandock::app
