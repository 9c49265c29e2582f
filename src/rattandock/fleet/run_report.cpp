#include "rattandock/fleet/run_report.hpp"

#include <array>

namespace rattandock::fleet {

std::string_view name(OrderResult result)
{
    static constexpr std::array<std::string_view, orderResultCount> names{"done",
                                                                          "fenced",
                                                                          "old-run",
                                                                          "late",
                                                                          "no-room",
                                                                          "other-incarnation",
                                                                          "unhealthy",
                                                                          "rejected",
                                                                          "no-answer",
                                                                          "not-sent",
                                                                          "connection-refused"};
    return names.at(static_cast<std::size_t>(result));
}

} // namespace rattandock::fleet
