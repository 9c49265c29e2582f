#include <boost/test/unit_test.hpp>
#include <fstream>
#include <sstream>

#include "rattandock/app/config_finding.hpp"

using namespace rattandock;
using namespace rattandock::app;

BOOST_AUTO_TEST_SUITE(ConfigPageTest)

// Guards against a finding that operators get and cannot look up, or with another severity.
BOOST_AUTO_TEST_CASE(hasEachFinding)
{
    std::ifstream in{RATTANDOCK_SOURCE_DIR "/docs/config-check.md"};
    std::stringstream text;
    text << in.rdbuf();
    for (std::size_t n = 0; n < configRuleCount; ++n) {
        const auto rule = static_cast<ConfigRule>(n);
        const std::string row = "| `" + std::string{name(rule)} + "` | "
                                + std::string{name(severityOf(rule))} + " |";
        BOOST_TEST(text.str().find(row) != std::string::npos, row);
    }
}

BOOST_AUTO_TEST_SUITE_END()
