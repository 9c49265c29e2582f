#include "rattandock/adapters/fleet_rows_json.hpp"

#include <boost/json/serialize.hpp>

#include "rattandock/adapters/json_object_reader.hpp"
#include "rattandock/adapters/json_parse.hpp"

namespace rattandock::adapters {

namespace json = boost::json;

namespace {

constexpr std::size_t maxTextBytes = 200;
constexpr std::int64_t maxMessageLevel = 1'000'000;
constexpr std::int64_t maxInteger = std::int64_t{1} << 62U;

/// Incarnations use all 64 bits, which JSON numbers of other readers may not hold.
std::string toText(Incarnation incarnation)
{
    return std::to_string(incarnation.value());
}

Incarnation toIncarnation(const std::string &text)
{
    return Incarnation{std::strtoull(text.c_str(), nullptr, 10)};
}

template <typename Row, typename Read>
std::optional<Row> decode(std::string_view text, Read read)
{
    const auto parsed = parseJson(text, {});
    if (!parsed || !parsed.value().is_object()) {
        return std::nullopt;
    }
    Findings findings;
    JsonObjectReader reader{parsed.value().get_object(), "$", findings};
    Row row = read(reader);
    return findings.empty() ? std::optional{std::move(row)} : std::nullopt;
}

} // namespace

std::string encodeMember(const fleet::MemberRow &row)
{
    return json::serialize(json::object{{"incarnation", toText(row.incarnation)},
                                        {"zone", row.zone.value()},
                                        {"peerAddress", row.peerAddress},
                                        {"weight", row.weight},
                                        {"draining", row.draining},
                                        {"beat", row.beat},
                                        {"messageLevel", row.messageLevel}});
}

std::optional<fleet::MemberRow> decodeMember(const std::string &key, std::string_view text)
{
    return decode<fleet::MemberRow>(text, [&](JsonObjectReader &reader) {
        fleet::MemberRow row;
        row.vm = VmId{key};
        row.incarnation = toIncarnation(reader.text("incarnation", 1, 20).value_or(""));
        row.zone = ZoneId{reader.text("zone", 1, maxTextBytes).value_or("")};
        row.peerAddress = reader.text("peerAddress", 1, maxTextBytes).value_or("");
        row.weight = reader.number("weight", 0.001, 1024).value_or(1);
        row.draining = reader.boolean("draining").value_or(false);
        row.beat = static_cast<std::uint64_t>(reader.integer("beat", 0, maxInteger).value_or(0));
        // Absent in rows of older builds.
        row.messageLevel = static_cast<std::uint32_t>(
                reader.integer("messageLevel", 0, maxMessageLevel).value_or(0));
        return row;
    });
}

std::string encodeKeeper(const fleet::KeeperRow &row)
{
    return json::serialize(json::object{{"vm", row.vm.value()},
                                        {"incarnation", toText(row.incarnation)},
                                        {"epoch", row.epoch}});
}

std::optional<fleet::KeeperRow> decodeKeeper(const std::string &key, const std::string &part,
                                             std::uint64_t version, std::string_view text)
{
    return decode<fleet::KeeperRow>(text, [&](JsonObjectReader &reader) {
        fleet::KeeperRow row;
        row.upstream = UpstreamId{key};
        row.zone = ZoneId{part};
        row.version = version;
        row.vm = VmId{reader.text("vm", 0, maxTextBytes).value_or("")};
        row.incarnation = toIncarnation(reader.text("incarnation", 1, 20).value_or(""));
        row.epoch = static_cast<std::uint64_t>(reader.integer("epoch", 0, maxInteger).value_or(0));
        return row;
    });
}

} // namespace rattandock::adapters
