#include "rattandock/base/finding.hpp"

#include <boost/test/unit_test.hpp>

using namespace rattandock;

BOOST_AUTO_TEST_SUITE(FindingTest)

// Guards against reporting only the first fault of a file.
BOOST_AUTO_TEST_CASE(describesAllFindingsTogether)
{
    Findings findings;
    findings.add("$.a", "must be a string");
    findings.add("$.b", "is not a known key");
    BOOST_TEST(describe(findings) == "$.a: must be a string\n$.b: is not a known key\n");
}

BOOST_AUTO_TEST_SUITE_END()
