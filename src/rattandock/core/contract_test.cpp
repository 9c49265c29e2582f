// Property tests of the at-most-once contract (docs/design.md, section 4).
#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <iostream>

#include "contract_world_test.hpp"

using namespace rattandock;
using namespace rattandock::core;
using namespace rattandock::core::test;

namespace {

constexpr int scheduleCount = 10'000;
constexpr std::uint64_t fixedSeed = 20'261'204;

rc::Gen<Step> stepGen(bool longOutages)
{
    // About half of the commands are submissions, resubmissions and passing time.
    const auto all = rc::gen::weightedOneOf<StepKind>({
            {9, rc::gen::just(StepKind::Submit)},
            {9, rc::gen::just(StepKind::Resubmit)},
            {7, rc::gen::just(StepKind::PassTime)},
            {26, rc::gen::map(rc::gen::inRange<std::uint8_t>(0, stepKindCount),
                              [](std::uint8_t it) { return static_cast<StepKind>(it); })},
    });
    // With all faults enabled, a platform outage longer than a lease plus a quarantine is rare on a
    // VM, so some schedules contain only submissions, platform outages and long time spans.
    const auto outages = rc::gen::weightedOneOf<StepKind>({
            {12, rc::gen::just(StepKind::Submit)},
            {12, rc::gen::just(StepKind::Resubmit)},
            {1, rc::gen::just(StepKind::PlatformDown)},
            {1, rc::gen::just(StepKind::PassLongTime)},
    });
    return rc::gen::map(rc::gen::tuple(longOutages ? outages : all,
                                       rc::gen::inRange<std::uint8_t>(0, 3),
                                       rc::gen::inRange<std::uint16_t>(0, 60'000)),
                        [](const std::tuple<StepKind, std::uint8_t, std::uint16_t> &it) {
                            return Step{std::get<0>(it), std::get<1>(it), std::get<2>(it)};
                        });
}

class SilentListener final : public rc::detail::TestListener
{
public:
    void onTestCaseFinished(const rc::detail::CaseDescription & /*description*/) override { }
    void onShrinkTried(const rc::detail::CaseDescription & /*shrink*/, bool /*accepted*/) override
    {
    }
    void onTestFinished(const rc::detail::TestMetadata & /*metadata*/,
                        const rc::detail::TestResult & /*result*/) override
    {
    }
};

struct Run
{
    int schedules = 0;
    FaultCounts counts;
    /// Description of the violation; empty if there was none.
    std::string violation;
};

Run runSchedules(const SafetyRules &rules, bool shrink)
{
    Run run;
    const auto property = [&] {
        Schedule schedule;
        // The seed isn't shrunk: different delays result in an unrelated schedule.
        schedule.seed = *rc::gen::noShrink(rc::gen::arbitrary<std::uint64_t>());
        schedule.steps =
                *rc::gen::container<std::vector<Step>>(40, stepGen(schedule.seed % 8 == 0));
        ++run.schedules;
        ContractWorld world{schedule, rules, run.counts};
        world.run();
    };
    rc::detail::TestParams params;
    params.seed = fixedSeed;
    params.maxSuccess = scheduleCount;
    params.disableShrinking = !shrink;
    SilentListener listener;
    const auto result = rc::detail::checkProperty(rc::detail::toProperty(property),
                                                  rc::detail::TestMetadata{}, params, listener);
    if (!result.is<rc::detail::SuccessResult>()) {
        std::ostringstream out;
        rc::detail::printResultMessage(result, out);
        run.violation = out.str();
    }
    return run;
}

void expectViolation(const SafetyRules &rules, const std::string &violation)
{
    const Run run = runSchedules(rules, false);
    BOOST_TEST_MESSAGE("found after " << run.schedules << " schedules");
    BOOST_TEST(run.schedules > 0);
    BOOST_TEST(!run.violation.empty());
    BOOST_TEST(run.violation.find(violation) != std::string::npos, run.violation);
}

} // namespace

BOOST_AUTO_TEST_SUITE(ContractTest)

// Guards against every violation that ContractChecker detects, with all kinds of faults combined.
BOOST_AUTO_TEST_CASE(holdsUnderFaults)
{
    const Run run = runSchedules({}, true);
    std::cout << "contract: " << run.schedules << " schedules\n";
    for (const auto &[name, n] : run.counts) {
        std::cout << "contract: " << n << ' ' << name << '\n';
    }
    BOOST_TEST(run.violation.empty(), run.violation);
    BOOST_TEST(run.schedules >= scheduleCount);
    // Each fault must occur at least once for the test to cover it.
    for (const char *it : {"submissions",
                           "caller requests lost",
                           "caller requests delayed",
                           "caller requests duplicated",
                           "reused ids",
                           "cancels",
                           "callers that left",
                           "links cut",
                           "crashes",
                           "pauses",
                           "replaced while paused",
                           "planned stops",
                           "platform outages",
                           "platform replies lost",
                           "platform requests delayed",
                           "peer messages lost",
                           "peer messages delayed",
                           "upstream refusals",
                           "upstream resets",
                           "upstream failures",
                           "answers: unknown",
                           "answers: complete",
                           "answers: not-run",
                           "notes: job-forwarded home-form",
                           "notes: job-forwarded key-form",
                           "notes: handover-taken whole",
                           "notes: handover-sent confirmed",
                           "notes: key-range-changed taken"}) {
        BOOST_TEST(run.counts.contains(it), it << " never happened");
    }
}

// Guards against a checker that misses records removed too early.
BOOST_AUTO_TEST_CASE(detectsEarlyRecordRemoval)
{
    SafetyRules rules;
    rules.keepRecords = false;
    expectViolation(rules, "started twice");
}

// Guards against a checker that misses a task resent after a connection reset.
BOOST_AUTO_TEST_CASE(detectsResendAfterReset)
{
    SafetyRules rules;
    rules.failAfterReset = false;
    expectViolation(rules, "started twice");
}

// Guards against a checker that misses a refused job that runs afterwards.
BOOST_AUTO_TEST_CASE(detectsUnrecordedRefusals)
{
    SafetyRules rules;
    rules.recordRefusals = false;
    expectViolation(rules, "started after not-run");
}

// Guards against a checker that misses a key range used too early after the loss of its holder.
BOOST_AUTO_TEST_CASE(detectsSkippedQuarantine)
{
    SafetyRules rules;
    rules.quarantine = false;
    expectViolation(rules, "");
}

// Guards against a checker that misses tasks started after the handover of their key range.
BOOST_AUTO_TEST_CASE(detectsHandoverWithoutSealing)
{
    SafetyRules rules;
    rules.sealBeforeHandover = false;
    expectViolation(rules, "");
}

// Guards against a checker that misses answers from a handed-over record set with missing batches.
BOOST_AUTO_TEST_CASE(detectsIncompleteSets)
{
    SafetyRules rules;
    rules.requireCompleteSet = false;
    expectViolation(rules, "");
}

// Guards against a checker that misses never-seen answers for records that have expired.
BOOST_AUTO_TEST_CASE(detectsIgnoredTokenAge)
{
    SafetyRules rules;
    rules.checkTokenAge = false;
    expectViolation(rules, "after");
}

// Guards against a checker that misses keys accepted without a lease.
BOOST_AUTO_TEST_CASE(detectsIgnoredLease)
{
    SafetyRules rules;
    rules.checkLease = false;
    expectViolation(rules, "");
}

// Guards against a checker that misses a key range taken over from a running holder.
BOOST_AUTO_TEST_CASE(detectsTakeoverWithoutWatch)
{
    SafetyRules rules;
    rules.watchLease = false;
    expectViolation(rules, "");
}

// Guards against a checker that misses late submissions in key form.
BOOST_AUTO_TEST_CASE(detectsUnnoticedPause)
{
    SafetyRules rules;
    rules.answerUnknownAfterPause = false;
    expectViolation(rules, "");
}

BOOST_AUTO_TEST_SUITE_END()
