#include "rattandock/adapters/settings.hpp"

#include <boost/test/unit_test.hpp>

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

// Guards against a syntax error without the line to look at.
BOOST_AUTO_TEST_CASE(namesTheLineOfASyntaxError)
{
    const auto settings = parseSettings("{\n\"vm\": }", "a.json");
    BOOST_REQUIRE(!settings);
    BOOST_TEST(settings.error().items().at(0).place == "a.json:2");
}

BOOST_AUTO_TEST_SUITE_END()
