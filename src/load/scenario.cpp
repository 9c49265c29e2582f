#include "load/scenario.hpp"

#include <algorithm>
#include <boost/json/serialize.hpp>

#include "rattandock/adapters/json_document.hpp"

namespace rattandock::load {

using adapters::JsonObjectReader;
using std::chrono::milliseconds;

namespace {

constexpr std::int64_t maxHourMs = 3'600'000;

void readMilliseconds(JsonObjectReader &reader, std::string_view key, Duration &into)
{
    if (const auto read = reader.integer(key, 0, maxHourMs)) {
        into = milliseconds{*read};
    }
}

void readCount(JsonObjectReader &reader, std::string_view key, std::int64_t max, std::size_t &into)
{
    if (const auto read = reader.integer(key, 0, max)) {
        into = static_cast<std::size_t>(*read);
    }
}

void readShare(JsonObjectReader &reader, std::string_view key, double &into)
{
    into = reader.number(key, 0.0, 1.0).value_or(into);
}

void readRange(JsonObjectReader &reader, std::string_view key, double max, Findings &findings,
               Range &into)
{
    const auto *object = reader.object(key);
    if (object == nullptr) {
        return;
    }
    JsonObjectReader range{*object, reader.path() + '.' + std::string{key}, findings};
    range.require("min");
    range.require("max");
    into.min = range.number("min", 1.0, max).value_or(1.0);
    into.max = range.number("max", 1.0, max).value_or(max);
    range.reportUnknownKeys();
    if (into.min > into.max) {
        reader.report(key, "must have min at or below max");
    }
}

void readEntries(JsonObjectReader &reader, std::vector<tcp::endpoint> &into)
{
    reader.require("entries");
    reader.objects("entries", 1, 1000, [&into](JsonObjectReader &item) {
        const auto address = item.text("address", 1, 64).value_or("127.0.0.1");
        boost::system::error_code ec;
        const auto ip = boost::asio::ip::make_address(address, ec);
        if (ec || !ip.is_loopback()) {
            item.report("address", "must be a loopback IP address, such as 127.0.0.1");
        }
        item.require("port");
        const auto port = item.integer("port", 1, 65535).value_or(1);
        into.emplace_back(ip, static_cast<std::uint16_t>(port));
    });
}

void readEvents(JsonObjectReader &reader, Scenario &scenario)
{
    reader.objects("cancelWaves", 0, 1000, [&](JsonObjectReader &item) {
        CancelWave wave;
        item.require("atMs");
        readMilliseconds(item, "atMs", wave.at);
        readShare(item, "share", wave.share);
        scenario.cancelWaves.push_back(wave);
    });
    reader.objects("faults", 0, 1000, [&](JsonObjectReader &item) {
        ScriptedFault fault;
        item.require("atMs");
        item.require("switches");
        readMilliseconds(item, "atMs", fault.at);
        readCount(item, "firstUpstream", 4000, fault.firstUpstream);
        readCount(item, "count", 4000, fault.count);
        if (const auto *switches = item.object("switches")) {
            fault.body = boost::json::serialize(*switches);
        }
        if (fault.firstUpstream + fault.count > scenario.upstreams.count) {
            item.report("count", "must name upstreams of the settings only");
        }
        scenario.faults.push_back(std::move(fault));
    });
}

void readUpstreams(JsonObjectReader &reader, Findings &findings,
                   standins::UpstreamStandinSettings &into)
{
    const auto *object = reader.object("upstreams");
    reader.require("upstreams");
    if (object == nullptr) {
        return;
    }
    const auto parsed =
            standins::parseUpstreamSettings(boost::json::serialize(*object), "$.upstreams");
    if (parsed) {
        into = parsed.value();
        return;
    }
    for (const Finding &it : parsed.error().items()) {
        findings.add(it.place, it.message);
    }
}

} // namespace

Checked<Scenario> parseScenario(std::string_view text, const std::string &file)
{
    const auto document = adapters::parseJsonDocument(text, file);
    if (!document) {
        return document.error();
    }
    Findings findings;
    Scenario scenario;
    JsonObjectReader reader{document.value(), "$", findings};
    readUpstreams(reader, findings, scenario.upstreams);
    readEntries(reader, scenario.entries);
    scenario.seed = static_cast<std::uint64_t>(reader.integer("seed", 0, INT64_MAX).value_or(1));
    readMilliseconds(reader, "lengthMs", scenario.length);
    readMilliseconds(reader, "callerDelayMs", scenario.callerDelay);
    scenario.jobsPerSecond =
            reader.number("jobsPerSecond", 0.0, 100'000.0).value_or(scenario.jobsPerSecond);
    readMilliseconds(reader, "burstEveryMs", scenario.burstEvery);
    readCount(reader, "burstJobs", 10'000, scenario.burstJobs);
    readRange(reader, "tasksPerJob", 200.0, findings, scenario.tasksPerJob);
    readRange(reader, "estimateMs", 60'000.0, findings, scenario.estimateMs);
    readShare(reader, "longShare", scenario.longShare);
    readRange(reader, "longMs", 60'000.0, findings, scenario.longMs);
    readMilliseconds(reader, "deadlineMs", scenario.deadline);
    readShare(reader, "resubmitShare", scenario.resubmitShare);
    readMilliseconds(reader, "resubmitAfterMs", scenario.resubmitAfter);
    scenario.resubmitAll = reader.boolean("resubmitAll").value_or(false);
    readShare(reader, "directShare", scenario.directShare);
    readCount(reader, "idleConnections", 20'000, scenario.idleConnections);
    scenario.lostAnswersExpected = reader.boolean("lostAnswersExpected").value_or(false);
    std::vector<std::string> teams;
    reader.objects("teams", 1, 1000, [&teams](JsonObjectReader &item) {
        item.require("id");
        teams.push_back(item.text("id", 1, 64).value_or(""));
    });
    if (!teams.empty()) {
        scenario.teams = teams;
    }
    readEvents(reader, scenario);
    reader.reportUnknownKeys();
    if (!findings.empty()) {
        return adapters::withFile(findings, file);
    }
    return scenario;
}

} // namespace rattandock::load
