#include "standins/upstream/upstream_faults.hpp"

#include <array>
#include <optional>

#include "rattandock/adapters/json_document.hpp"
#include "rattandock/adapters/json_object_reader.hpp"

namespace rattandock::standins {

Findings applyFaults(std::string_view body, UpstreamFaults &faults)
{
    struct Switch
    {
        std::string_view key;
        std::atomic<bool> &value;
        std::optional<bool> wanted;
    };
    std::array<Switch, 6> switches{{{"refuse", faults.refuse, {}},
                                    {"hang", faults.hang, {}},
                                    {"reset", faults.reset, {}},
                                    {"failAll", faults.failAll, {}},
                                    {"leaving", faults.leaving, {}},
                                    {"wrongEcho", faults.wrongEcho, {}}}};
    const auto document = adapters::parseJsonDocument(body, "body");
    if (!document) {
        return document.error();
    }
    Findings findings;
    adapters::JsonObjectReader reader{document.value(), "$", findings};
    for (Switch &it : switches) {
        it.wanted = reader.boolean(it.key);
    }
    reader.reportUnknownKeys();
    if (findings.empty()) {
        for (const Switch &it : switches) {
            it.value = it.wanted.value_or(it.value);
        }
    }
    return findings;
}

} // namespace rattandock::standins
