#include "rattandock/app/config_differences.hpp"

#include <boost/test/unit_test.hpp>
#include <cmath>

#include "rattandock/base/overloaded.hpp"

using namespace rattandock;
using namespace rattandock::app;
using std::chrono::milliseconds;

namespace {

using Strings = std::vector<std::string>;

fleet::QueueSpec queue(const std::string &id, const std::string &prefix)
{
    fleet::QueueSpec queue;
    queue.id = fleet::QueueId{id};
    queue.host = "h.example";
    queue.pathPrefix = prefix;
    return queue;
}

Strings describe(const ConfigDifferences &differences)
{
    Strings result;
    for (const ConfigDifference &it : differences.items) {
        result.push_back(std::visit(Overloaded{[](const QueueAdded &added) {
                                                   return std::string{"+"} + added.queue.value();
                                               },
                                               [](const QueueRemoved &removed) {
                                                   return std::string{"-"} + removed.queue.value();
                                               },
                                               [](const QueueChanged &changed) {
                                                   return changed.queue.value() + '.'
                                                          + std::string{name(changed.field)} + ' '
                                                          + changed.from + ' ' + changed.to;
                                               }},
                                    it));
    }
    return result;
}

Strings differences(std::vector<fleet::QueueSpec> from, std::vector<fleet::QueueSpec> to)
{
    return describe(compareConfigurations({ConfigurationVersion{1}, std::move(from)},
                                          {ConfigurationVersion{2}, std::move(to)}));
}

} // namespace

BOOST_TEST_DONT_PRINT_LOG_VALUE(Strings)

BOOST_AUTO_TEST_SUITE(ConfigDifferencesTest)

// Guards against queues that are reported as changed because another one was added before them.
BOOST_AUTO_TEST_CASE(comparesByName)
{
    const auto a = queue("a", "/a/");
    const auto b = queue("b", "/b/");
    const auto c = queue("c", "/c/");
    BOOST_TEST(differences({a, b}, {b, a}).empty());
    BOOST_TEST((differences({a, b, c}, {queue("d", "/d/"), c, queue("e", "/e/")})
                == Strings{"+d", "+e", "-a", "-b"}));
}

// Guards against a member whose change is not reported.
BOOST_AUTO_TEST_CASE(reportsEachMember)
{
    auto to = queue("a", "/b/");
    to.host = "i.example";
    to.service = fleet::ServiceId{"s"};
    to.timeout = milliseconds{1'500};
    to.targetLatency = milliseconds{60};
    to.stretch = 1.6;
    to.maxAttempts = 3;
    to.priority = 2;
    to.needsAdvice = true;
    BOOST_TEST((differences({queue("a", "/a/")}, {to})
                == Strings{"a.host h.example i.example", "a.pathPrefix /a/ /b/", "a.service  s",
                           "a.timeoutMs 0 1500", "a.targetLatencyMs 0 60", "a.stretch 1 1.6",
                           "a.maxAttempts 1 3", "a.priority 0 2", "a.needsAdvice false true"}));
}

// Guards against queues of the same name being compared with the wrong one or not at all.
BOOST_AUTO_TEST_CASE(comparesQueuesOfTheSameNameInOrder)
{
    const std::vector from{queue("a", "/1/"), queue("a", "/2/")};
    BOOST_TEST(differences(from, from).empty());
    BOOST_TEST((differences(from, {queue("a", "/1/")}) == Strings{"-a"}));
    BOOST_TEST((differences(from, {queue("a", "/1/"), queue("a", "/3/"), queue("a", "/4/")})
                == Strings{"a.pathPrefix /2/ /3/", "+a"}));
}

// Guards against a difference that is due to the reading of numbers only.
BOOST_AUTO_TEST_CASE(ignoresTheLastPlacesOfNumbers)
{
    auto from = queue("a", "/a/");
    auto to = from;
    from.stretch = 1.6;
    to.stretch = std::nextafter(1.6, 2.0);
    BOOST_REQUIRE((from != to));
    const auto it = compareConfigurations({{}, {from}}, {{}, {to}});
    BOOST_TEST(it.items.empty());
    BOOST_TEST(it.changed == 0U);
}

// Guards against differences that are lost without being counted.
BOOST_AUTO_TEST_CASE(countsDifferencesThatAreNotKept)
{
    fleet::FleetConfig from;
    fleet::FleetConfig to;
    for (int n = 0; n < 10'000; ++n) {
        from.queues.push_back(queue(std::string{"old-"} + std::to_string(n), "/"));
        to.queues.push_back(queue(std::string{"new-"} + std::to_string(n), "/"));
    }
    const auto it = compareConfigurations(from, to);
    BOOST_TEST(it.added == 10'000U);
    BOOST_TEST(it.removed == 10'000U);
    BOOST_TEST(it.changed == 0U);
    BOOST_TEST(it.items.size() == ConfigDifferences::maxKept);
    BOOST_TEST(it.omitted == 20'000U - ConfigDifferences::maxKept);
}

BOOST_AUTO_TEST_SUITE_END()
