// Checks a configuration and shows how it differs from an earlier one.
#include <chrono>
#include <iostream>

#include "rattandock/app/config_check.hpp"
#include "rattandock/app/config_report.hpp"

using namespace rattandock;
using namespace std::chrono_literals;

namespace {

fleet::QueueSpec queue(const std::string &id, const std::string &prefix)
{
    fleet::QueueSpec queue;
    queue.id = fleet::QueueId{id};
    queue.host = "jobs.example";
    queue.pathPrefix = prefix;
    queue.service = fleet::ServiceId{"render"};
    queue.timeout = 1500ms;
    queue.targetLatency = 60ms;
    queue.maxAttempts = 3;
    return queue;
}

/// Places in the product's names, such as `queues[1].timeoutMs`.
std::string queuePlace(std::size_t position, app::QueueField field)
{
    return "queues[" + std::to_string(position) + "]." + std::string{name(field)};
}

} // namespace

int main()
{
    const app::ConfigFormat format{{}, queuePlace, "version", "queues", "services"};
    const fleet::FleetConfig active{ConfigurationVersion{7}, {queue("short", "/short/")}};

    // The new queue has the prefix of the first one, and a timeout below its target latency.
    app::ConfigReading reading;
    reading.isAccepted = true;
    reading.config = {ConfigurationVersion{8}, {active.queues[0], queue("long", "/short/")}};
    reading.config.queues[1].timeout = 50ms;
    reading.positions = {0, 1};
    reading.services.emplace_back("render");

    app::ConfigReport report;
    report.file = "example";
    report.version = reading.config.version;
    report.isAccepted = reading.isAccepted;
    report.queues = reading.config.queues.size();
    report.findings = checkConfiguration(reading, format, active.version);
    report.comparison = app::ConfigComparison{"the example", active.version,
                                              app::compareConfigurations(active, reading.config)};
    std::cout << toText(report);

    const bool isAsExpected = report.findings.count(app::Severity::Error) == 1
                              && report.findings.count(app::Severity::Warning) == 1
                              && report.comparison->differences->added == 1;
    if (!isAsExpected) {
        std::cerr << "an error, a warning and an added queue are expected\n";
        return 1;
    }
    return 0;
}
