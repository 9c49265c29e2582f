#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <map>
#include <regex>
#include <set>
#include <sstream>

#include "rattandock/adapters/settings.hpp"

using namespace rattandock;
using namespace rattandock::adapters;

namespace {

struct Row
{
    std::string defaultValue;
    std::string bound;
};

std::map<std::string, Row> documentedRows()
{
    std::ifstream in{RATTANDOCK_SOURCE_DIR "/docs/settings.md"};
    std::map<std::string, Row> rows;
    const std::regex pattern{R"(\| `([^`]+)` \| [^|]+ \| ([^|]+) \| ([^|]+) \| [^|]+ \|)"};
    for (std::string line; std::getline(in, line);) {
        std::smatch found;
        if (std::regex_match(line, found, pattern)) {
            rows[found[1].str()] = {found[2].str(), found[3].str()};
        }
    }
    return rows;
}

/// A settings file that is valid but for the given value of a key.
std::string fileWith(const std::string &key, const std::string &value)
{
    const auto dot = key.find("[].");
    const auto member = [&](const std::string &name, const std::string &other) {
        return '"' + name + "\":" + (name == key ? value : other) + ',';
    };
    std::string text = '{' + member("vm", "\"v\"") + member("zone", "\"z\"")
                       + member("callerAddress", "\"127.0.0.1:0\"")
                       + member("operatorAddress", "\"127.0.0.1:0\"");
    if (dot != std::string::npos) {
        const std::string array = key.substr(0, dot);
        const std::string name = key.substr(dot + 3);
        const std::string id = name == "id" ? "" : R"("id":"i",)";
        const std::string address =
                array == "upstreams" && name != "address" ? R"("address":"127.0.0.1:1",)" : "";
        text += '"' + array + "\":[{" + id + address + '"' + name + "\":" + value + "}],";
    } else if (const auto child = key.find('.'); child != std::string::npos) {
        text += '"' + key.substr(0, child) + "\":{\"" + key.substr(child + 1) + "\":" + value
                + "},";
    } else if (text.find('"' + key + '"') == std::string::npos) {
        text += '"' + key + "\":" + value + ',';
    }
    return text + '}';
}

/// The findings for a value that is out of every bound of its type.
std::string findingsFor(const std::string &key, const std::string &value)
{
    const auto parsed = parseSettings(fileWith(key, value), "f");
    return parsed ? std::string{} : describe(parsed.error());
}

} // namespace

BOOST_AUTO_TEST_SUITE(SettingsPageTest)

// Guards against a key that the page lacks, or that only the page has.
BOOST_AUTO_TEST_CASE(hasEachKey)
{
    std::set<std::string> documented;
    for (const auto &[key, row] : documentedRows()) {
        documented.insert(key);
    }
    const auto known = settingsKeys();
    BOOST_REQUIRE(!known.empty());
    BOOST_TEST(std::set<std::string>(known.begin(), known.end()) == documented,
               boost::test_tools::per_element());
}

// Guards against a bound that differs from the parser's.
BOOST_AUTO_TEST_CASE(hasEachBound)
{
    for (const auto &[key, row] : documentedRows()) {
        std::string findings;
        for (const std::string &value :
             {std::string{"-1e9"}, std::string{"-1000000000"}, '"' + std::string(999, 'x') + '"'}) {
            findings += findingsFor(key, value);
        }
        if (row.bound.ends_with(" bytes")) {
            BOOST_TEST(findings.find("must have from " + row.bound) != std::string::npos,
                       key + ": " + findings);
        } else if (row.defaultValue != "none") {
            // Bounds of shares are printed with six places.
            const std::regex number{R"((\d+)\.0+\b)"};
            const std::string shown = std::regex_replace(findings, number, "$1");
            BOOST_TEST(shown.find("must be " + row.bound) != std::string::npos, key + ": " + shown);
        }
    }
}

// Guards against a default that differs from the program's.
BOOST_AUTO_TEST_CASE(hasTheDefaults)
{
    const auto parsed = parseSettings(fileWith("vm", "\"v\""), "f");
    BOOST_REQUIRE(parsed);
    const Settings &it = parsed.value();
    const core::DispatcherOptions &core = it.dispatcher;
    const std::map<std::string, std::int64_t> defaults{
            {"ioThreads", it.ioThreads},
            {"maxConnections", it.http.maxConnections},
            {"maxHeaderBytes", it.http.maxHeaderBytes},
            {"maxBodyBytes", it.http.maxBodyBytes},
            {"requestTimeoutMs", toMilliseconds(it.http.requestTimeout)},
            {"idleTimeoutMs", toMilliseconds(it.http.idleTimeout)},
            {"maxTasks", it.jobs.maxTasks},
            {"maxPayloadBytes", it.jobs.maxPayloadBytes},
            {"maxQueuedTasks", core.maxQueuedTasks},
            {"maxQueuedBytes", core.maxQueuedBytes.value()},
            {"maxRecords", core.maxRecords},
            {"answerStoreBytes", core.answerStore.value()},
            {"tokenLifetimeMs", toMilliseconds(core.tokenLifetime)},
            {"recordGraceMs", toMilliseconds(core.recordGrace)},
            {"keyValidityMs", toMilliseconds(core.keyValidity)},
            {"stopLimitMs", toMilliseconds(core.stopLimit)},
            {"vmListIntervalMs", toMilliseconds(it.vmListInterval)},
            {"replyGraceMs", toMilliseconds(core.replyGrace)},
            {"retryBackoffMs", toMilliseconds(core.retryBackoff)},
            {"connectionsPerUpstream", it.upstreamClient.connectionsPerUpstream},
            {"connectTimeoutMs", toMilliseconds(it.upstreamClient.connectTimeout)},
            {"upstreamIdleTimeoutMs", toMilliseconds(it.upstreamClient.idleTimeout)},
            {"maxReplyBytes", it.upstreamClient.maxReplyBytes},
    };
    const auto rows = documentedRows();
    for (const auto &[key, value] : defaults) {
        BOOST_TEST_CONTEXT(key)
        {
            BOOST_REQUIRE(rows.contains(key));
            BOOST_TEST(rows.at(key).defaultValue == std::to_string(value));
        }
    }
}

// Guards against an example that the daemon would reject.
BOOST_AUTO_TEST_CASE(acceptsTheExamples)
{
    std::size_t files = 0;
    for (const auto &it :
         std::filesystem::directory_iterator{RATTANDOCK_SOURCE_DIR "/examples/settings"}) {
        const auto settings = loadSettings(it.path().string());
        BOOST_TEST(settings.has_value(), it.path().string());
        if (settings) {
            BOOST_TEST(!settings.value().upstreams.empty());
            BOOST_TEST(!settings.value().teams.empty());
        }
        ++files;
    }
    BOOST_TEST(files >= 2U);
}

BOOST_AUTO_TEST_SUITE_END()
