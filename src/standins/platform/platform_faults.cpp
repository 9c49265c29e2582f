#include "standins/platform/platform_faults.hpp"

#include "rattandock/adapters/json_document.hpp"
#include "rattandock/adapters/json_object_reader.hpp"
#include "standins/platform/vm_list.hpp"

namespace rattandock::standins {

using std::chrono::milliseconds;

Checked<PlatformFaults> parsePlatformFaults(std::string_view body, PlatformFaults present)
{
    constexpr std::int64_t maxSlowMs = 60'000;
    const auto document = adapters::parseJsonDocument(body, "body");
    if (!document) {
        return document.error();
    }
    Findings findings;
    adapters::JsonObjectReader reader{document.value(), "$", findings};
    present.down = reader.boolean("down").value_or(present.down);
    present.loseReplies = reader.boolean("loseReplies").value_or(present.loseReplies);
    if (const auto slow = reader.integer("slowMs", 0, maxSlowMs)) {
        present.slow = milliseconds{*slow};
    }
    if (const auto lag = reader.integer("listLagMs", 0, toMilliseconds(VmList::maxLag))) {
        present.listLag = milliseconds{*lag};
    }
    reader.reportUnknownKeys();
    if (!findings.empty()) {
        return findings;
    }
    return present;
}

} // namespace rattandock::standins
