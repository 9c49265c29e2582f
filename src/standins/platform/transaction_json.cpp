#include "standins/platform/transaction_json.hpp"

#include <boost/json/serialize.hpp>
#include <set>

#include "rattandock/adapters/json_document.hpp"
#include "rattandock/adapters/json_object_reader.hpp"
#include "rattandock/base/overloaded.hpp"

namespace rattandock::standins {

namespace json = boost::json;
using adapters::JsonObjectReader;

namespace {

constexpr std::size_t maxNameBytes = 512;
constexpr std::size_t maxValueBytes = 1U << 20U;
constexpr std::size_t maxItems = 10'000;

std::string requiredText(JsonObjectReader &reader, std::string_view key)
{
    reader.require(key);
    return reader.text(key, 1, maxNameBytes).value_or("");
}

} // namespace

Checked<Transaction> parseTransaction(std::string_view body)
{
    const auto document = adapters::parseJsonDocument(body, "body");
    if (!document) {
        return document.error();
    }
    Findings findings;
    Transaction transaction;
    JsonObjectReader reader{document.value(), "$", findings};
    transaction.operation = requiredText(reader, "operation");
    reader.objects("checks", 0, maxItems, [&](JsonObjectReader &item) {
        std::string key = requiredText(item, "key");
        item.require("version");
        const auto version = item.integer("version", 0, INT64_MAX).value_or(0);
        transaction.checks.push_back({std::move(key), static_cast<std::uint64_t>(version)});
    });
    std::set<std::string> written;
    reader.objects("writes", 0, maxItems, [&](JsonObjectReader &item) {
        TableWrite write{requiredText(item, "key"), {}};
        item.require("value");
        if (!item.isNull("value")) {
            write.value = item.text("value", 0, maxValueBytes).value_or("");
        }
        if (!written.insert(write.key).second) {
            item.report("key", "is written twice");
        }
        transaction.writes.push_back(std::move(write));
    });
    reader.reportUnknownKeys();
    if (!findings.empty()) {
        return findings;
    }
    return transaction;
}

std::string formatResult(const TransactionResult &result)
{
    const auto object = std::visit(
            Overloaded{[](const Applied &it) {
                           return json::object{{"applied", true}, {"version", it.version}};
                       },
                       [](const Conflict &it) {
                           json::array conflicts;
                           for (const TableCheck &check : it.present) {
                               conflicts.push_back(json::object{{"key", check.key},
                                                                {"version", check.version}});
                           }
                           return json::object{{"applied", false},
                                               {"conflicts", std::move(conflicts)}};
                       },
                       [](const TableFull &) {
                           return json::object{{"applied", false}, {"error", "table-full"}};
                       },
                       [](const OperationReused &) {
                           return json::object{{"applied", false}, {"error", "operation-reused"}};
                       }},
            result);
    return json::serialize(object) + '\n';
}

unsigned statusOf(const TransactionResult &result)
{
    return std::visit(Overloaded{[](const Applied &) { return 200U; },
                                 [](const Conflict &) { return 409U; },
                                 [](const TableFull &) { return 507U; },
                                 [](const OperationReused &) { return 422U; }},
                      result);
}

} // namespace rattandock::standins
