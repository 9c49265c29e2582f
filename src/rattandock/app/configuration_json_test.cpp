#include "rattandock/app/configuration_json.hpp"

#include <boost/test/unit_test.hpp>
#include <limits>

using namespace rattandock;
using namespace rattandock::app;
using std::chrono::milliseconds;

namespace {

std::string textOf(const fleet::FleetConfig &config)
{
    ConfigurationWriter writer{config.version};
    for (const fleet::QueueSpec &it : config.queues) {
        writer.add(it);
    }
    return writer.finish();
}

} // namespace

BOOST_AUTO_TEST_SUITE(ConfigurationJsonTest)

// Guards against differences that are due to the writing: a member that is left out, rounded or
// read into another one.
BOOST_AUTO_TEST_CASE(readsWhatItWrites)
{
    constexpr auto greatest = std::numeric_limits<std::uint32_t>::max();
    fleet::FleetConfig config{ConfigurationVersion{18}, {}};
    fleet::QueueSpec queue;
    queue.id = fleet::QueueId{"a \"b\"\n"};
    queue.host = "h.example";
    queue.pathPrefix = "/p/";
    queue.service = fleet::ServiceId{"render"};
    queue.timeout = milliseconds{greatest};
    queue.targetLatency = milliseconds{60};
    queue.stretch = 1.1;
    queue.maxAttempts = greatest;
    queue.priority = 2;
    queue.needsAdvice = true;
    config.queues = {queue, {}};
    const auto read = parseConfiguration(textOf(config));
    BOOST_REQUIRE(read);
    BOOST_TEST((read.value().version == config.version));
    BOOST_TEST((read.value().queues == config.queues));

    config.queues.assign(10'000, queue);
    BOOST_TEST(parseConfiguration(textOf(config)).value().queues.size() == 10'000U);
    config.queues.clear();
    BOOST_TEST(parseConfiguration(textOf(config)).value().queues.empty());
}

// Guards against an answer of something else than the daemon that is compared as a configuration.
BOOST_AUTO_TEST_CASE(refusesOtherAnswers)
{
    for (const char *const text :
         {"", "[]", "{}", R"({"version":0,"queues":[]})", R"({"version":1,"queues":[{}]})",
          R"({"version":1,"queues":3})", R"({"version":1})"}) {
        const auto read = parseConfiguration(text);
        BOOST_TEST(!read.has_value(), text);
    }
}

BOOST_AUTO_TEST_SUITE_END()
