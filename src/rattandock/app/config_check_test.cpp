#include "rattandock/app/config_check.hpp"

#include <boost/test/unit_test.hpp>
#include <limits>

using namespace rattandock;
using namespace rattandock::app;
using std::chrono::milliseconds;

namespace {

ConfigFormat format()
{
    return {{},
            [](std::size_t position, QueueField field) {
                return std::to_string(position) + '.' + std::string{name(field)};
            },
            "version",
            "queues",
            "services"};
}

fleet::QueueSpec queue(const std::string &id, const std::string &prefix)
{
    fleet::QueueSpec queue;
    queue.id = fleet::QueueId{id};
    queue.host = "h.example";
    queue.pathPrefix = prefix;
    queue.service = fleet::ServiceId{"s"};
    queue.timeout = milliseconds{1'500};
    queue.targetLatency = milliseconds{60};
    queue.maxAttempts = 3;
    return queue;
}

ConfigReading reading(std::vector<fleet::QueueSpec> queues)
{
    ConfigReading reading;
    reading.isAccepted = true;
    reading.config.version = ConfigurationVersion{8};
    for (std::size_t n = 0; n < queues.size(); ++n) {
        reading.positions.push_back(n);
    }
    reading.config.queues = std::move(queues);
    reading.services.emplace_back("s");
    return reading;
}

/// The findings as `PLACE RULE`.
std::vector<std::string> found(const ConfigReading &reading,
                               std::optional<ConfigurationVersion> active = std::nullopt)
{
    std::vector<std::string> result;
    const auto findings = checkConfiguration(reading, format(), active);
    for (const ConfigFinding &it : findings.items()) {
        result.push_back(it.place + ' ' + std::string{name(it.rule)});
    }
    return result;
}

using Strings = std::vector<std::string>;

/// The findings about one queue after a change.
template <typename Change>
Strings foundAfter(Change change)
{
    fleet::QueueSpec it = queue("a", "/a/");
    change(it);
    return found(reading({it}));
}

} // namespace

BOOST_TEST_DONT_PRINT_LOG_VALUE(Strings)

BOOST_AUTO_TEST_SUITE(ConfigCheckTest)

// Guards against a version that the daemon ignores, and against comparing without an active one.
BOOST_AUTO_TEST_CASE(comparesTheVersion)
{
    const auto it = reading({queue("a", "/a/")});
    BOOST_TEST(found(it).empty());
    BOOST_TEST(found(it, ConfigurationVersion{7}).empty());
    BOOST_TEST((found(it, ConfigurationVersion{8}) == Strings{"version version-not-above"}));
    BOOST_TEST((found(it, ConfigurationVersion{9}) == Strings{"version version-not-above"}));
}

// Guards against queues whose jobs nothing runs.
BOOST_AUTO_TEST_CASE(findsQueuesWithoutAService)
{
    BOOST_TEST((foundAfter([](auto &it) { it.service = {}; }) == Strings{"0.service no-service"}));
    BOOST_TEST((foundAfter([](auto &it) { it.service = fleet::ServiceId{"t"}; })
                == Strings{"0.service unknown-service"}));
    auto it = reading({queue("a", "/a/"), queue("b", "/b/")});
    it.services.clear();
    BOOST_TEST((found(it) == Strings{"services no-services"}));
    BOOST_TEST((found(reading({})) == Strings{"queues no-queues"}));
}

// Guards against queues that no request reaches: FleetApi compares the host without its port, and
// the path without its query.
BOOST_AUTO_TEST_CASE(findsHostsAndPrefixesThatNeverMatch)
{
    for (const char *const host : {"", "h:80", "[::1]", "h example", "h\n"}) {
        BOOST_TEST((foundAfter([&](auto &it) { it.host = host; })
                    == Strings{"0.host host-never-matches"}),
                   host);
    }
    BOOST_TEST((foundAfter([](auto &it) { it.host = "H"; }) == Strings{"0.host host-upper-case"}));
    for (const char *const prefix : {"a/", "/a/?x=", "/a b/", "/a\t/"}) {
        BOOST_TEST((foundAfter([&](auto &it) { it.pathPrefix = prefix; })
                    == Strings{"0.pathPrefix prefix-never-matches"}),
                   prefix);
    }
    BOOST_TEST(foundAfter([](auto &it) { it.pathPrefix = ""; }).empty());
}

// Guards against reporting another queue as the one without jobs than the one that queueFor() never
// returns.
BOOST_AUTO_TEST_CASE(findsDuplicatesAsRequestsAreMatched)
{
    auto other = queue("c", "/a/");
    other.host = "i.example";
    const auto it = reading({queue("b", "/a/"), queue("a", "/a/"), other});
    BOOST_TEST((found(it) == Strings{"1.pathPrefix duplicate-match"}));
    BOOST_TEST(it.config.queueFor("h.example", "/a/1")->id.value() == "b");
}

// Guards against a warning for each pair of nested prefixes, and against prefixes of another host.
BOOST_AUTO_TEST_CASE(findsPrefixesThatTakeAPartOfAnother)
{
    auto other = queue("f", "/a/b/c/");
    other.host = "i.example";
    const auto it = reading({queue("a", "/a/b/"), queue("b", "/"), queue("c", "/a/"),
                             queue("d", "/a/c/"), queue("e", "/a/b/"), other});
    BOOST_TEST((found(it)
                == Strings{"4.pathPrefix duplicate-match", "1.pathPrefix prefix-hidden",
                           "2.pathPrefix prefix-hidden"}));
    const auto findings = checkConfiguration(it, format(), std::nullopt);
    BOOST_TEST(findings.items()[2].message
               == "queue \"c\": jobs whose id begins with \"b/\" go to 0.pathPrefix (longer "
                  "prefixes in all: 2)");
}

// Guards against contradictory times, and against a product of attempts and time that overflows.
BOOST_AUTO_TEST_CASE(findsContradictoryTimes)
{
    static constexpr milliseconds longest{std::numeric_limits<std::uint32_t>::max()};
    BOOST_TEST((foundAfter([](auto &it) { it.timeout = milliseconds{59}; })
                == Strings{"0.timeoutMs timeout-below-target"}));
    BOOST_TEST(foundAfter([](auto &it) {
                   it.timeout = milliseconds{60};
                   it.maxAttempts = 1;
               }).empty());
    BOOST_TEST(foundAfter([](auto &it) { it.maxAttempts = 25; }).empty());
    BOOST_TEST((foundAfter([](auto &it) { it.maxAttempts = 26; })
                == Strings{"0.maxAttempts attempts-exceed-timeout"}));
    BOOST_TEST((foundAfter([](auto &it) {
                    it.timeout = longest;
                    it.targetLatency = longest;
                    it.maxAttempts = std::numeric_limits<std::uint32_t>::max();
                })
                == Strings{"0.maxAttempts attempts-exceed-timeout"}));
    // A timeout of 0 is no limit.
    BOOST_TEST(foundAfter([](auto &it) { it.timeout = {}; }).empty());
    BOOST_TEST((foundAfter([](auto &it) {
                    it.stretch = 0;
                    it.targetLatency = {};
                })
                == Strings{"0.targetLatencyMs no-objective"}));
}

// Guards against queues that cannot be told apart, or whose jobs are all refused.
BOOST_AUTO_TEST_CASE(findsNamesAndAdvice)
{
    BOOST_TEST((foundAfter([](auto &it) { it.id = {}; }) == Strings{"0.id no-name"}));
    BOOST_TEST((found(reading({queue("a", "/a/"), queue("a", "/b/")}))
                == Strings{"1.id duplicate-name"}));
    BOOST_TEST((foundAfter([](auto &it) { it.needsAdvice = true; })
                == Strings{"0.needsAdvice advice-unsupported"}));
}

// Guards against findings that are lost without being counted.
BOOST_AUTO_TEST_CASE(countsFindingsThatAreNotKept)
{
    ConfigFindings many;
    for (std::size_t n = 0; n < ConfigFindings::maxKept + 5; ++n) {
        many.add({ConfigRule::NoName, "p", "m", "r"});
    }
    many.add({ConfigRule::NoService, "p", "m", "r"});
    BOOST_TEST(many.count(Severity::Warning) == ConfigFindings::maxKept + 5);
    BOOST_TEST(many.count(Severity::Error) == 1U);
    BOOST_TEST(many.items().size() == ConfigFindings::maxKept + 1);
    BOOST_TEST(many.omitted() == 5U);
}

BOOST_AUTO_TEST_SUITE_END()
