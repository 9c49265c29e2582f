#include "rattandock/app/config_reading.hpp"

#include <array>

namespace rattandock::app {

std::string_view name(QueueField field)
{
    static constexpr std::array<std::string_view, queueFieldCount> names{
            "id",      "host",        "pathPrefix", "service",    "timeoutMs", "targetLatencyMs",
            "stretch", "maxAttempts", "priority",   "needsAdvice"};
    return names.at(static_cast<std::size_t>(field));
}

} // namespace rattandock::app
