#include "standins/upstream/upstream_settings.hpp"

#include <boost/json/serialize.hpp>

#include "rattandock/adapters/json_document.hpp"

namespace rattandock::standins {

using adapters::JsonObjectReader;

namespace {

constexpr int maxPort = 65535;
constexpr int maxUpstreams = 4000;
constexpr double maxFactor = 1000.0;

template <typename T>
void readInteger(JsonObjectReader &reader, std::string_view key, std::int64_t min, std::int64_t max,
                 T &into)
{
    if (const auto read = reader.integer(key, min, max)) {
        into = static_cast<T>(*read);
    }
}

void readNumber(JsonObjectReader &reader, std::string_view key, double min, double max,
                double &into)
{
    into = reader.number(key, min, max).value_or(into);
}

void readLoopbackAddress(JsonObjectReader &reader, boost::asio::ip::address &into)
{
    if (const auto text = reader.text("address", 1, 64)) {
        boost::system::error_code ec;
        const auto address = boost::asio::ip::make_address(*text, ec);
        if (ec || !address.is_loopback()) {
            reader.report("address", "must be a loopback IP address, such as 127.0.0.1");
        } else {
            into = address;
        }
    }
}

} // namespace

void readRunTimeModel(JsonObjectReader &reader, RunTimeModel &into)
{
    readNumber(reader, "factor", 0.0, maxFactor, into.factor);
    readNumber(reader, "jitter", 0.0, 1.0, into.jitter);
    readNumber(reader, "stragglerShare", 0.0, 1.0, into.stragglerShare);
    readNumber(reader, "stragglerFactor", 1.0, maxFactor, into.stragglerFactor);
    readNumber(reader, "speedSpread", 1.0, maxFactor, into.speedSpread);
    readInteger(reader, "seed", 0, INT64_MAX, into.seed);
}

Findings checkUpstreamSettings(const UpstreamStandinSettings &settings)
{
    Findings findings;
    if (settings.firstPort + settings.count - 1 > maxPort) {
        findings.add("$.count", "must leave the last port at or below 65535");
    }
    return findings;
}

Checked<UpstreamStandinSettings> parseUpstreamSettings(std::string_view text,
                                                       const std::string &file)
{
    const auto document = adapters::parseJsonDocument(text, file);
    if (!document) {
        return document.error();
    }
    Findings findings;
    UpstreamStandinSettings settings;
    JsonObjectReader reader{document.value(), "$", findings};
    readLoopbackAddress(reader, settings.address);
    readInteger(reader, "firstPort", 1, maxPort, settings.firstPort);
    readInteger(reader, "count", 1, maxUpstreams, settings.count);
    readInteger(reader, "slots", 1, 1024, settings.slots);
    readInteger(reader, "ioThreads", 1, 64, settings.ioThreads);
    readInteger(reader, "maxConnections", 1, 100'000, settings.maxConnections);
    settings.startLog = reader.text("startLog", 1, 4096).value_or("");
    if (const auto *object = reader.object("runTime")) {
        JsonObjectReader runTime{*object, "$.runTime", findings};
        readRunTimeModel(runTime, settings.runTime);
        runTime.reportUnknownKeys();
    }
    reader.reportUnknownKeys();
    const Findings between = checkUpstreamSettings(settings);
    for (const Finding &it : between.items()) {
        findings.add(it.place, it.message);
    }
    if (!findings.empty()) {
        return adapters::withFile(findings, file);
    }
    return settings;
}

std::string formatUpstreamSettings(const UpstreamStandinSettings &settings)
{
    namespace json = boost::json;
    const RunTimeModel &model = settings.runTime;
    json::object object{{"address", settings.address.to_string()},
                        {"firstPort", settings.firstPort},
                        {"count", settings.count},
                        {"slots", settings.slots},
                        {"ioThreads", settings.ioThreads},
                        {"maxConnections", settings.maxConnections},
                        {"runTime",
                         {{"factor", model.factor},
                          {"jitter", model.jitter},
                          {"stragglerShare", model.stragglerShare},
                          {"stragglerFactor", model.stragglerFactor},
                          {"speedSpread", model.speedSpread},
                          {"seed", model.seed}}}};
    if (!settings.startLog.empty()) {
        object["startLog"] = settings.startLog;
    }
    return json::serialize(object) + '\n';
}

} // namespace rattandock::standins
