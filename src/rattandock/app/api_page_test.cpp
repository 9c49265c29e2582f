#include <boost/test/unit_test.hpp>
#include <fstream>
#include <sstream>

#include "rattandock/adapters/job_json.hpp"
#include "rattandock/adapters/metrics.hpp"

using namespace rattandock;

namespace {

std::string page()
{
    std::ifstream in{RATTANDOCK_SOURCE_DIR "/docs/api.md"};
    std::stringstream text;
    text << in.rdbuf();
    return text.str();
}

template <typename Reason>
void checkNames(const std::string &text, std::size_t count)
{
    for (std::size_t n = 0; n < count; ++n) {
        const std::string name{core::name(static_cast<Reason>(n))};
        BOOST_TEST(text.find('`' + name + '`') != std::string::npos, name);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(ApiPageTest)

// Guards against a reason that callers get and cannot look up, or with another status.
BOOST_AUTO_TEST_CASE(hasEachReason)
{
    const std::string text = page();
    checkNames<core::FailureReason>(text, core::failureReasonCount);
    checkNames<core::UnknownReason>(text, core::unknownReasonCount);
    for (std::size_t n = 0; n < core::refusalReasonCount; ++n) {
        const auto reason = static_cast<core::RefusalReason>(n);
        const std::string row = "| `" + std::string{name(reason)} + "` | "
                                + std::to_string(adapters::statusOf(core::NotRun{reason, {}}))
                                + " |";
        BOOST_TEST(text.find(row) != std::string::npos, row);
    }
}

// Guards against an error of a bad request that the page lacks.
BOOST_AUTO_TEST_CASE(hasEachError)
{
    const std::string text = page();
    const std::string metrics = adapters::Metrics{}.text();
    const std::string start = "rattandock_bad_requests_total{reason=\"";
    std::size_t errors = 0;
    for (auto at = metrics.find(start); at != std::string::npos; at = metrics.find(start, at)) {
        at += start.size();
        const std::string name = metrics.substr(at, metrics.find('"', at) - at);
        BOOST_TEST(text.find('`' + name + '`') != std::string::npos, name);
        ++errors;
    }
    BOOST_TEST(errors >= 12U);
}

BOOST_AUTO_TEST_SUITE_END()
