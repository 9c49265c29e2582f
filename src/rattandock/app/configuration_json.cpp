#include "rattandock/app/configuration_json.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <limits>

#include "rattandock/adapters/json_object_reader.hpp"
#include "rattandock/adapters/json_parse.hpp"
#include "rattandock/app/config_reading.hpp"

namespace rattandock::app {

namespace json = boost::json;
using adapters::JsonObjectReader;
using std::chrono::milliseconds;

namespace {

/// More than a daemon can read from the store: about 90,000 queues.
constexpr adapters::JsonBounds bounds{4, 1'000'000};
constexpr std::size_t maxTextBytes = 3U << 20U;
constexpr std::int64_t maxCount = std::numeric_limits<std::uint32_t>::max();

std::string textOf(JsonObjectReader &reader, QueueField field)
{
    reader.require(name(field));
    return reader.text(name(field), 0, maxTextBytes).value_or(std::string{});
}

std::uint32_t countOf(JsonObjectReader &reader, QueueField field)
{
    reader.require(name(field));
    return static_cast<std::uint32_t>(reader.integer(name(field), 0, maxCount).value_or(0));
}

fleet::QueueSpec queueOf(JsonObjectReader &reader)
{
    fleet::QueueSpec queue;
    queue.id = fleet::QueueId{textOf(reader, QueueField::Name)};
    queue.host = textOf(reader, QueueField::Host);
    queue.pathPrefix = textOf(reader, QueueField::PathPrefix);
    queue.service = fleet::ServiceId{textOf(reader, QueueField::Service)};
    queue.timeout = milliseconds{countOf(reader, QueueField::Timeout)};
    queue.targetLatency = milliseconds{countOf(reader, QueueField::TargetLatency)};
    reader.require(name(QueueField::Stretch));
    queue.stretch = reader.number(name(QueueField::Stretch), 0, std::numeric_limits<double>::max())
                            .value_or(queue.stretch);
    queue.maxAttempts = countOf(reader, QueueField::MaxAttempts);
    queue.priority = countOf(reader, QueueField::Priority);
    reader.require(name(QueueField::Advice));
    queue.needsAdvice = reader.boolean(name(QueueField::Advice)).value_or(false);
    return queue;
}

} // namespace

ConfigurationWriter::ConfigurationWriter(ConfigurationVersion version)
    : m_text(R"({"version":)" + std::to_string(version.value()) + R"(,"queues":[)")
{
}

void ConfigurationWriter::add(const fleet::QueueSpec &queue)
{
    m_text += m_isFirst ? "\n" : ",\n";
    m_isFirst = false;
    m_text += json::serialize(
            json::object{{name(QueueField::Name), queue.id.value()},
                         {name(QueueField::Host), queue.host},
                         {name(QueueField::PathPrefix), queue.pathPrefix},
                         {name(QueueField::Service), queue.service.value()},
                         {name(QueueField::Timeout), toMilliseconds(queue.timeout)},
                         {name(QueueField::TargetLatency), toMilliseconds(queue.targetLatency)},
                         {name(QueueField::Stretch), queue.stretch},
                         {name(QueueField::MaxAttempts), queue.maxAttempts},
                         {name(QueueField::Priority), queue.priority},
                         {name(QueueField::Advice), queue.needsAdvice}});
}

std::string ConfigurationWriter::finish()
{
    m_text += "]}\n";
    return std::move(m_text);
}

Checked<fleet::FleetConfig> parseConfiguration(std::string_view text)
{
    auto value = adapters::parseJson(text, bounds);
    if (!value) {
        return value.error();
    }
    Findings findings;
    if (!value.value().is_object()) {
        findings.add("$", "must be an object");
        return findings;
    }
    fleet::FleetConfig config;
    JsonObjectReader reader{value.value().get_object(), "$", findings};
    reader.require("version");
    reader.require("queues");
    config.version = ConfigurationVersion{static_cast<std::uint64_t>(
            reader.integer("version", 1, std::numeric_limits<std::int64_t>::max()).value_or(0))};
    reader.objects("queues", 0, bounds.maxValues,
                   [&](JsonObjectReader &item) { config.queues.push_back(queueOf(item)); });
    if (!findings.empty()) {
        return findings;
    }
    return config;
}

} // namespace rattandock::app
