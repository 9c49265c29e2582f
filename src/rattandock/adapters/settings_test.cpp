#include "rattandock/adapters/settings.hpp"

#include <boost/test/unit_test.hpp>

#include "rattandock/fleet/lease_times.hpp"

using namespace rattandock;
using namespace rattandock::adapters;

BOOST_AUTO_TEST_SUITE(SettingsTest)

// Guards against a check that stops at the first fault, or that passes over a misspelt key.
BOOST_AUTO_TEST_CASE(reportsEveryFindingWithItsPlace)
{
    const auto settings = parseSettings(R"({
        // comment
        "vm": 3, "zone": "z1", "callerAddress": "here", "ioThread": 2,
        "upstreams": [{"id": "u1", "address": "127.0.0.1:1", "slots": -1}],
    })",
                                        "a.json");
    BOOST_REQUIRE(!settings);
    BOOST_TEST(describe(settings.error())
               == "a.json: $.vm: must be a string\n"
                  "a.json: $.callerAddress: must be an IP address and port, such as "
                  "127.0.0.1:7100\n"
                  "a.json: $.operatorAddress: is missing\n"
                  "a.json: $.upstreams[0].slots: must be from 0 to 1024\n"
                  "a.json: $.ioThread: is not a known key\n");
}

// Guards against peers that name this VM, each other or an address that anyone can reach.
BOOST_AUTO_TEST_CASE(reportsFaultsOfPeers)
{
    const auto settings = parseSettings(R"({
        "vm": "a", "zone": "z1", "callerAddress": "127.0.0.1:0", "operatorAddress": "127.0.0.1:0",
        "peers": [{"vm": "a", "address": "127.0.0.1:8000"},
                  {"vm": "b", "address": "10.0.0.1:8000"},
                  {"vm": "b", "address": "127.0.0.1:8000"}, {"vm": "c"}],
    })",
                                        "a.json");
    BOOST_REQUIRE(!settings);
    BOOST_TEST(describe(settings.error())
               == "a.json: $.peers[0].vm: is this VM\n"
                  "a.json: $.peers[3].address: is missing\n"
                  "a.json: $.peers: needs peerAddress\n"
                  "a.json: $.peers: needs platformAddress\n"
                  "a.json: $.peers[2].vm: stands twice\n"
                  "a.json: $.peers[2].address: stands twice\n"
                  "a.json: $.peers[1].address: must be a loopback address without peerTls\n");
}

// Guards against settings of peers that are read into the wrong place.
BOOST_AUTO_TEST_CASE(readsPeers)
{
    const auto settings = parseSettings(R"({
        "vm": "a", "zone": "z1", "callerAddress": "127.0.0.1:0", "operatorAddress": "127.0.0.1:0",
        "platformAddress": "127.0.0.1:7400",
        "peerAddress": "127.0.0.1:8001", "peerSendQueueBytes": 5000000,
        "peers": [{"vm": "b", "zone": "z2", "address": "127.0.0.1:8002"},
                  {"vm": "c", "address": "127.0.0.1:8003"}],
    })",
                                        "a.json");
    BOOST_REQUIRE(settings);
    const Settings &it = settings.value();
    BOOST_TEST(it.peerAddress.value().port() == 8001);
    BOOST_TEST(it.platformAddress.value().port() == 7400);
    BOOST_TEST(it.dispatcher.keyRanges);
    BOOST_TEST(it.peerStreams.sendQueue == Bytes{5'000'000});
    BOOST_REQUIRE(it.peers.size() == 2U);
    BOOST_TEST(it.peers[0].vm == VmId{"b"});
    BOOST_TEST(it.peers[0].zone == ZoneId{"z2"});
    BOOST_TEST(it.peers[0].address.port() == 8002);
    BOOST_TEST(it.peers[1].zone == ZoneId{"z1"});
}

// Guards against peers on open addresses that are refused with TLS, or TLS without its files.
BOOST_AUTO_TEST_CASE(readsPeerTls)
{
    const std::string head = R"({
        "vm": "a", "zone": "z1", "callerAddress": "127.0.0.1:0", "operatorAddress": "127.0.0.1:0",
        "platformAddress": "10.0.0.3:7400", "peerAddress": "10.0.0.1:8001", "peers": [{"vm": "b", "address": "10.0.0.2:8001"}],
        "peerTls": )";
    const auto settings = parseSettings(
            head + R"({"certificate": "a.pem", "key": "a.key", "authority": "ca.pem"}})", "a.json");
    BOOST_REQUIRE(settings);
    const auto &files = settings.value().peerTls.value();
    BOOST_TEST(files.certificate == "a.pem");
    BOOST_TEST(files.key == "a.key");
    BOOST_TEST(files.authority == "ca.pem");
    const auto partial = parseSettings(head + R"({"certificate": "a.pem", "keys": ""}})", "a.json");
    BOOST_REQUIRE(!partial);
    BOOST_TEST(describe(partial.error())
               == "a.json: $.peerTls.key: is missing\n"
                  "a.json: $.peerTls.authority: is missing\n"
                  "a.json: $.peerTls.keys: is not a known key\n");
}

// Guards against a syntax error without the line to look at.
BOOST_AUTO_TEST_CASE(namesTheLineOfASyntaxError)
{
    const auto settings = parseSettings("{\n\"vm\": }", "a.json");
    BOOST_REQUIRE(!settings);
    BOOST_TEST(settings.error().items().at(0).place == "a.json:2");
}

// Guards against a daemon that starts with a silence limit after which a resubmitted job could
// start while its former run still executes at a VM that was cut off: 663 + 600 + 12 + 25 = 1,300
// ms.
BOOST_AUTO_TEST_CASE(boundsTheSilenceOfLinksByTheResubmission)
{
    const auto parse = [](const std::string &silence) {
        return parseSettings(R"({
            "vm": "a", "zone": "z1", "callerAddress": "127.0.0.1:0",
            "operatorAddress": "127.0.0.1:0", "peerAddress": "127.0.0.1:8001",
            "fleet": {"storeAddress": "127.0.0.1:7400", "peerSilenceMs": )"
                                     + silence + "}}",
                             "a.json");
    };
    const auto longest = parse("663");
    BOOST_REQUIRE(longest);
    const Duration silence = longest.value().fleet->peerSilence;
    BOOST_TEST((fleet::LeaseTimes{}.runsEndAfter(silence) == fleet::callerResubmitDelay));
    const auto tooLong = parse("664");
    BOOST_REQUIRE(!tooLong);
    BOOST_TEST(describe(tooLong.error())
               == "a.json: $.fleet.peerSilenceMs: must be from 100 to 663\n");
}

// Guards against a factor on run times that is ignored, and against one below 1, which would prefer
// racks without the data.
BOOST_AUTO_TEST_CASE(readsTheFactorOfRunsOnOtherRacks)
{
    const auto parse = [](const std::string &member) {
        return parseSettings(R"({
            "vm": "a", "zone": "z1", "callerAddress": "127.0.0.1:0",
            "operatorAddress": "127.0.0.1:0", "peerAddress": "127.0.0.1:8001",
            "fleet": {"storeAddress": "127.0.0.1:7400")"
                                     + member + "}}",
                             "a.json");
    };
    const auto absent = parse("");
    BOOST_REQUIRE(absent);
    BOOST_TEST(absent.value().fleet->farRunFactor == 2.0);
    for (const auto &[text, factor] : {std::pair{"1", 1.0}, {"1.5", 1.5}, {"10", 10.0}}) {
        const auto read = parse(std::string{R"(, "farRunFactor": )"} + text);
        BOOST_REQUIRE(read);
        BOOST_TEST(read.value().fleet->farRunFactor == factor);
    }
    for (const std::string text : {"0.99", "10.01", "-2", "0"}) {
        const auto refused = parse(R"(, "farRunFactor": )" + text);
        BOOST_REQUIRE(!refused);
        BOOST_TEST(describe(refused.error()).starts_with("a.json: $.fleet.farRunFactor: must be "));
    }
    const auto word = parse(R"(, "farRunFactor": "2")");
    BOOST_REQUIRE(!word);
    BOOST_TEST(describe(word.error()) == "a.json: $.fleet.farRunFactor: must be a number\n");
}

BOOST_AUTO_TEST_SUITE_END()
