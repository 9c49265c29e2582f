#include <algorithm>
#include <cmath>
#include <cstdlib>

#include "platform/configuration_codec.hpp"
#include "rattandock/app/config_check.hpp"
#include "rattandock/app/config_report.hpp"
#include "rattandock/app/configuration_json.hpp"

using namespace rattandock;

namespace {

void require(bool isTrue)
{
    if (!isTrue) {
        std::abort();
    }
}

/// Numbers are read with an error of at most a few units of the last place.
bool isSame(fleet::FleetConfig a, fleet::FleetConfig b)
{
    if (a.version != b.version || a.queues.size() != b.queues.size()) {
        return false;
    }
    for (std::size_t n = 0; n < a.queues.size(); ++n) {
        if (std::abs(a.queues[n].stretch - b.queues[n].stretch) > 1e-9) {
            return false;
        }
        a.queues[n].stretch = b.queues[n].stretch;
    }
    return a.queues == b.queues;
}

} // namespace

/// The check must agree with the daemon on what is accepted, refuse only with an error, report each
/// fault with its place, and print text without control characters. A configuration must be the
/// same after the way through GET /v1/configuration.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view text{reinterpret_cast<const char *>(data), size};
    const auto taken = platform::decodeConfiguration(text);
    const app::ConfigReading reading = platform::readConfiguration(text);
    require(reading.isAccepted == taken.has_value());
    require(reading.positions.size() == reading.config.queues.size());
    const auto format = platform::makeConfigFormat();

    app::ConfigReport report;
    report.file = "f";
    report.version = reading.config.version;
    report.isAccepted = reading.isAccepted;
    report.findings = checkConfiguration(reading, format, ConfigurationVersion{7});
    for (const app::ConfigFinding &it : report.findings.items()) {
        require(!it.place.empty() && !it.message.empty() && !it.remedy.empty());
    }
    if (!taken) {
        require(report.findings.count(app::Severity::Error) > 0);
    } else {
        require(taken->version == reading.config.version && taken->queues == reading.config.queues);
        const auto same = app::compareConfigurations(*taken, reading.config);
        require(same.items.empty() && same.added + same.removed + same.changed == 0);
        app::ConfigurationWriter writer{taken->version};
        for (const fleet::QueueSpec &it : taken->queues) {
            writer.add(it);
        }
        const auto read = app::parseConfiguration(writer.finish());
        require(read.has_value() && isSame(read.value(), *taken));
        report.comparison = app::ConfigComparison{"g", ConfigurationVersion{7},
                                                  app::compareConfigurations({}, reading.config)};
    }
    require(std::ranges::none_of(toText(report), [](unsigned char it) {
        return (it < 0x20U && it != '\n') || it == 0x7fU;
    }));
    static_cast<void>(toJson(report));
    return 0;
}
