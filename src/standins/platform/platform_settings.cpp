#include "standins/platform/platform_settings.hpp"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include "rattandock/adapters/json_document.hpp"
#include "rattandock/adapters/json_object_reader.hpp"

namespace rattandock::standins {

namespace json = boost::json;
using adapters::JsonObjectReader;

namespace {

template <typename T>
void readInteger(JsonObjectReader &reader, std::string_view key, std::int64_t min, std::int64_t max,
                 T &into)
{
    if (const auto read = reader.integer(key, min, max)) {
        into = static_cast<T>(*read);
    }
}

json::array readVms(JsonObjectReader &reader)
{
    json::array vms;
    reader.objects("vms", 0, 10'000, [&vms](JsonObjectReader &item) {
        json::object vm;
        for (const std::string_view key : {"name", "address", "zone", "state"}) {
            item.require(key);
            vm[key] = item.text(key, 1, 64).value_or("");
        }
        vms.emplace_back(std::move(vm));
    });
    return vms;
}

} // namespace

Checked<PlatformStandinSettings> parsePlatformSettings(std::string_view text,
                                                       const std::string &file)
{
    const auto document = adapters::parseJsonDocument(text, file);
    if (!document) {
        return document.error();
    }
    Findings findings;
    PlatformStandinSettings settings;
    JsonObjectReader reader{document.value(), "$", findings};
    if (const auto address = reader.text("address", 1, 64)) {
        boost::system::error_code ec;
        settings.address.address(boost::asio::ip::make_address(*address, ec));
        if (ec || !settings.address.address().is_loopback()) {
            reader.report("address", "must be a loopback IP address, such as 127.0.0.1");
        }
    }
    std::uint16_t port = settings.address.port();
    readInteger(reader, "port", 1, 65535, port);
    settings.address.port(port);
    readInteger(reader, "ioThreads", 1, 64, settings.ioThreads);
    readInteger(reader, "maxConnections", 1, 100'000, settings.maxConnections);
    TableLimits &table = settings.limits.table;
    readInteger(reader, "maxRows", 1, 10'000'000, table.maxRows);
    readInteger(reader, "maxTableBytes", 1, 1LL << 32U, table.maxBytes);
    readInteger(reader, "maxOperations", 1, 10'000'000, table.maxOperations);
    readInteger(reader, "maxObjectBytes", 1, 1LL << 32U, settings.limits.maxObjectBytes);
    settings.vms = json::serialize(readVms(reader));
    reader.reportUnknownKeys();
    if (!findings.empty()) {
        return adapters::withFile(findings, file);
    }
    return settings;
}

} // namespace rattandock::standins
