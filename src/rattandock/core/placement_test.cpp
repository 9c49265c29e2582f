#include "rattandock/core/placement.hpp"

#include <map>

#include <boost/test/unit_test.hpp>

using namespace rattandock;
using namespace rattandock::core;
using namespace std::chrono_literals;

namespace {

struct Fixture
{
    Fixture()
        : table(ZoneId{"own"})
        , placement(PlacementPolicyKind::SpeedAware, 1)
    {
    }

    UpstreamSpec &add(const std::string &id, std::uint32_t slots = 8, const char *zone = "own")
    {
        UpstreamSpec &it = specs.emplace_back();
        it.id = UpstreamId{id};
        it.zone = ZoneId{zone};
        it.slots = Slots{slots};
        return it;
    }

    UpstreamIndex index(const std::string &id) const { return table.find(UpstreamId{id}).value(); }

    void setCost(const std::string &id, double cost)
    {
        for (int n = 0; n < 200; ++n) {
            table.recordRunTime(index(id), 100ms,
                                Duration{static_cast<Duration::rep>(100'000 * cost)});
        }
    }

    PlacementRequest request(Duration estimate) const
    {
        PlacementRequest it;
        it.fit = ~FitMask{0};
        it.estimate = estimate;
        it.now = now;
        it.mayWait = true;
        return it;
    }

    /// Returns the id of the chosen upstream and the reason, or "wait" or "no slot" if none is
    /// chosen.
    std::pair<std::string, std::string> choose(const PlacementRequest &it)
    {
        const PlacementDecision decision = placement.choose(table, it);
        if (const auto *choice = std::get_if<PlacementChoice>(&decision)) {
            return {table.at(choice->upstream).spec.id.value(), std::string{choice->reason}};
        }
        return {std::holds_alternative<WaitForSlot>(decision) ? "wait" : "no slot", ""};
    }

    UpstreamTable table;
    Placement placement;
    std::vector<UpstreamSpec> specs;
    TimePoint now{10s};
};

using Chosen = std::pair<std::string, std::string>;

} // namespace

BOOST_FIXTURE_TEST_SUITE(PlacementTest, Fixture)

// Guards against placing a long task on a slow upstream while a fast one is free.
BOOST_AUTO_TEST_CASE(longestTaskTakesTheFastestFreeSlot)
{
    add("fast", 1);
    add("slow", 1);
    table.configure(specs);
    setCost("fast", 0.5);
    setCost("slow", 2.0);
    BOOST_TEST((choose(request(1s)) == Chosen{"fast", "fastest-for-longest"}));
    PlacementRequest last = request(10ms);
    last.lastOfJob = true;
    BOOST_TEST((choose(last) == Chosen{"fast", "fastest-for-last"}));
}

// Guards against placing a task on a slow slot when a fast one is free soon, and against waiting
// without end for a slot whose task is overdue.
BOOST_AUTO_TEST_CASE(waitsForAFastSlotOnlyWhenThatEndsSooner)
{
    add("fast", 1);
    add("slow", 2);
    table.configure(specs);
    setCost("fast", 0.5);
    setCost("slow", 2.0);
    table.start(index("fast"), 400ms, now);
    BOOST_TEST((choose(request(1s)).first == "wait"));
    // Only one task may wait for each busy slot.
    BOOST_TEST((choose(request(1s)).first == "slow"));
    placement.beginRound();
    BOOST_TEST((choose(request(100ms)).first == "slow"));
    now += 250ms;
    BOOST_TEST((choose(request(1s)).first == "wait"));
    placement.beginRound();
    PlacementRequest mayNot = request(1s);
    mayNot.mayWait = false;
    BOOST_TEST((choose(mayNot).first == "slow"));
    now += 3s;
    BOOST_TEST((choose(request(1s)).first == "slow"));
}

// Guards against using another availability zone although the task ends as soon in the own one.
BOOST_AUTO_TEST_CASE(otherZoneOnlyWhenItEndsSoonerWithTheRoundTrip)
{
    add("here", 1);
    add("there", 1, "other");
    table.configure(specs);
    BOOST_TEST((choose(request(100ms)).first == "here"));
    setCost("here", 1.0);
    setCost("there", 0.5);
    BOOST_TEST((choose(request(100ms)) == Chosen{"there", "other-zone"}));
    // Running a task of 1.5 ms in half the time saves less than the round trip of 1 ms.
    BOOST_TEST((choose(request(1500us)).first == "here"));
}

// Guards against placing most tasks of a job in one rack, whose failure would lose them together.
BOOST_AUTO_TEST_CASE(spreadsAJobOverRacks)
{
    for (int n = 0; n < 6; ++n) {
        add(std::to_string(n)).rack = RackId{std::to_string(n / 2)};
    }
    table.configure(specs);
    std::vector<std::uint16_t> racks(3);
    for (int n = 0; n < 12; ++n) {
        PlacementRequest it = request(100ms);
        it.jobRacks = racks;
        const UpstreamIndex chosen = index(choose(it).first);
        table.start(chosen, 100ms, now);
        ++racks.at(table.at(chosen).rack);
    }
    BOOST_TEST(racks == (std::vector<std::uint16_t>{4, 4, 4}), boost::test_tools::per_element());
}

// Guards against placing a task on an upstream whose capacity is too small for it.
BOOST_AUTO_TEST_CASE(placesTasksOnlyOnUpstreamsTheyFit)
{
    add("small", 8).capacity.cores = Cores{4};
    add("large", 1).capacity.cores = Cores{16};
    table.configure(specs);
    for (const auto kind : {PlacementPolicyKind::SpeedAware, PlacementPolicyKind::Random,
                            PlacementPolicyKind::RoundRobin, PlacementPolicyKind::LeastOutstanding,
                            PlacementPolicyKind::PowerOfTwoChoices}) {
        placement = Placement{kind, 1};
        PlacementRequest it = request(100ms);
        it.fit = table.fitMaskFor({Cores{8}, {}, {}});
        for (int n = 0; n < 10; ++n) {
            BOOST_TEST((choose(it).first == "large"));
        }
        const SlotLease lease = table.start(index("large"), 100ms, now);
        BOOST_TEST((choose(it).first == "no slot"));
        table.end(lease);
    }
}

// Guards against baseline policies that do not follow the rule they are named after.
BOOST_AUTO_TEST_CASE(baselinesChooseByTheirRule)
{
    for (int n = 0; n < 4; ++n) {
        add(std::to_string(n));
    }
    table.configure(specs);
    placement = Placement{PlacementPolicyKind::RoundRobin, 1};
    std::map<std::string, int> chosen;
    for (int n = 0; n < 8; ++n) {
        ++chosen[choose(request(1s)).first];
    }
    BOOST_TEST(chosen.size() == 4);
    BOOST_TEST(chosen["2"] == 2);
    for (const char *it : {"0", "1", "3"}) {
        table.start(index(it), 1s, now);
    }
    placement = Placement{PlacementPolicyKind::LeastOutstanding, 1};
    BOOST_TEST((choose(request(1s)) == Chosen{"2", "least-outstanding"}));
    placement = Placement{PlacementPolicyKind::PowerOfTwoChoices, 1};
    chosen.clear();
    for (int n = 0; n < 400; ++n) {
        ++chosen[choose(request(1s)).first];
    }
    // Upstream 2 is chosen if at least one of the two draws hits it: 1 - (3/4)^2 = 44%.
    BOOST_TEST(chosen["2"] > 140);
    BOOST_TEST(chosen["2"] < 210);
    placement = Placement{PlacementPolicyKind::Random, 1};
    chosen.clear();
    for (int n = 0; n < 400; ++n) {
        ++chosen[choose(request(1s)).first];
    }
    BOOST_TEST(chosen["2"] > 70);
    BOOST_TEST(chosen["2"] < 130);
}

BOOST_AUTO_TEST_SUITE_END()
