#include "rattandock/app/log_timeline.hpp"

#include <boost/test/unit_test.hpp>

using namespace rattandock::app;

namespace {

std::string line(const std::string &seconds, const std::string &text)
{
    return "2026-08-21 07:46:" + seconds + " INFO  " + text;
}

} // namespace

BOOST_AUTO_TEST_SUITE(LogTimelineTest)

// Guards against a failed request whose story lies on two VMs being read from one of them: a VM
// offered tasks, and the other one ran them on an upstream that was set aside as hung.
BOOST_AUTO_TEST_CASE(joinsTheLinesOfSeveralVms)
{
    const VmLog first{
            "a",
            {line("25,300", "dispatch: job-broken-off reason=deadline-passed (q) job=00ff"),
             line("25,300", "dispatch: job-broken-off reason=peer-lost (q) job=00ee"),
             "no time at all job=00ff"}};
    // A collector may have put its own time and the VM's name before a line.
    const VmLog second{
            "b",
            {line("20,000", "upstream: upstream-claimed reason=claimed (i-1, epoch 2)"),
             line("21,000", "upstream: upstream-claimed reason=claimed (i-2, epoch 2)"),
             "  24.9 b " + line("24,900", "upstream: upstream-set-aside reason=overdue (i-1)"),
             line("24,900", "dispatch: run-repeated reason=stopped (task 0, i-1) job=00ff"),
             line("26,000", "upstream: upstream-restored reason=probe-done (i-1)")}};
    const auto lines = jobTimeline("00ff", {first, second});
    BOOST_REQUIRE(lines.size() == 4);
    BOOST_TEST(lines[0].starts_with("b: 2026-08-21 07:46:20,000"));
    BOOST_TEST(lines[1].find("set-aside") != std::string::npos);
    BOOST_TEST(lines[2].find("run-repeated") != std::string::npos);
    BOOST_TEST(lines[3].starts_with("a: "));
}

// Guards against lines of other jobs being shown for an id that is a part of theirs, or is unknown.
BOOST_AUTO_TEST_CASE(isEmptyForAnUnknownId)
{
    const VmLog log{"a", {line("25,300", "dispatch: job-failed reason=attempts (q) job=00ff12")}};
    BOOST_TEST(jobTimeline("00ff", {log}).empty());
    BOOST_TEST(jobTimeline("00ff12", {log}).size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()
