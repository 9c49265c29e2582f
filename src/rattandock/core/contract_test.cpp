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
    // Submissions, resubmissions and time make up half of the commands.
    const auto all = rc::gen::weightedOneOf<StepKind>({
            {9, rc::gen::just(StepKind::Submit)},
            {9, rc::gen::just(StepKind::Resubmit)},
            {7, rc::gen::just(StepKind::PassTime)},
            {26, rc::gen::map(rc::gen::inRange<std::uint8_t>(0, stepKindCount),
                              [](std::uint8_t it) { return static_cast<StepKind>(it); })},
    });
    // A VM that lacks the platform for longer than a lease and a quarantine is rare among all
    // faults.
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
    /// Empty if no schedule broke the contract.
    std::string breach;
};

Run check(const SafetyRules &rules, bool shrink)
{
    Run run;
    const auto property = [&] {
        Schedule schedule;
        // Not shrunk: other delays make another schedule.
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
        run.breach = out.str();
    }
    return run;
}

void expectFound(const SafetyRules &rules, const std::string &breach)
{
    const Run run = check(rules, false);
    BOOST_TEST_MESSAGE("found after " << run.schedules << " schedules");
    BOOST_TEST(run.schedules > 0);
    BOOST_TEST(!run.breach.empty());
    BOOST_TEST(run.breach.find(breach) != std::string::npos, run.breach);
}

} // namespace

BOOST_AUTO_TEST_SUITE(ContractTest)

// Guards against every breach that ContractChecker knows, under all faults together.
BOOST_AUTO_TEST_CASE(holdsUnderFaults)
{
    const Run run = check({}, true);
    std::cout << "contract: " << run.schedules << " schedules\n";
    for (const auto &[name, n] : run.counts) {
        std::cout << "contract: " << n << ' ' << name << '\n';
    }
    BOOST_TEST(run.breach.empty(), run.breach);
    BOOST_TEST(run.schedules >= scheduleCount);
    // A fault that never happened proves nothing.
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

// Guards against a check that overlooks records that are dropped early.
BOOST_AUTO_TEST_CASE(findsForgettingEarly)
{
    SafetyRules rules;
    rules.keepRecords = false;
    expectFound(rules, "started twice");
}

// Guards against a check that overlooks a task sent again after a reset.
BOOST_AUTO_TEST_CASE(findsSendingAgainAfterReset)
{
    SafetyRules rules;
    rules.failAfterReset = false;
    expectFound(rules, "started twice");
}

// Guards against a check that overlooks a refused job that runs later.
BOOST_AUTO_TEST_CASE(findsUnrecordedRefusals)
{
    SafetyRules rules;
    rules.recordRefusals = false;
    expectFound(rules, "started after not-run");
}

// Guards against a check that overlooks a range that is used too early after its holder was lost.
BOOST_AUTO_TEST_CASE(findsSkippedQuarantine)
{
    SafetyRules rules;
    rules.quarantine = false;
    expectFound(rules, "");
}

// Guards against a check that overlooks tasks that start after the handover.
BOOST_AUTO_TEST_CASE(findsHandoverWithoutSealing)
{
    SafetyRules rules;
    rules.sealBeforeHandover = false;
    expectFound(rules, "");
}

// Guards against a check that overlooks answers from a set with missing batches.
BOOST_AUTO_TEST_CASE(findsIncompleteSets)
{
    SafetyRules rules;
    rules.requireCompleteSet = false;
    expectFound(rules, "");
}

// Guards against a check that overlooks never-seen for records that were forgotten.
BOOST_AUTO_TEST_CASE(findsIgnoredTokenAge)
{
    SafetyRules rules;
    rules.checkTokenAge = false;
    expectFound(rules, "after");
}

// Guards against a check that overlooks keys accepted without a lease.
BOOST_AUTO_TEST_CASE(findsIgnoredLease)
{
    SafetyRules rules;
    rules.checkLease = false;
    expectFound(rules, "");
}

// Guards against a check that overlooks a range taken from a live holder.
BOOST_AUTO_TEST_CASE(findsTakeoverWithoutWatch)
{
    SafetyRules rules;
    rules.watchLease = false;
    expectFound(rules, "");
}

// Guards against a check that overlooks late key-form submissions.
BOOST_AUTO_TEST_CASE(findsUnnoticedPause)
{
    SafetyRules rules;
    rules.answerUnknownAfterPause = false;
    expectFound(rules, "");
}

BOOST_AUTO_TEST_SUITE_END()
