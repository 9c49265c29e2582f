#include "rattandock/fleet/fleet_action.hpp"

#include <array>

namespace rattandock::fleet {

std::string_view name(TurnAwayReason reason)
{
    static constexpr std::array<std::string_view, turnAwayReasonCount> names{
            "overload", "no-upstreams", "nothing-fits",    "deadline-passed",
            "stopping", "paused",       "waited-too-long", "yielded"};
    return names.at(static_cast<std::size_t>(reason));
}

std::string_view name(BreakOffReason reason)
{
    static constexpr std::array<std::string_view, breakOffReasonCount> names{
            "deadline-passed", "peer-lost", "stopping", "paused", "resubmitted"};
    return names.at(static_cast<std::size_t>(reason));
}

std::string_view name(FailureReason reason)
{
    static constexpr std::array<std::string_view, failureReasonCount> names{
            "attempts", "upstream-crashes", "cancelled"};
    return names.at(static_cast<std::size_t>(reason));
}

std::string_view name(FleetLogRecordKind kind)
{
    static constexpr std::array<std::string_view, fleetLogRecordKindCount> names{
            "job-turned-away",
            "job-broken-off",
            "job-failed",
            "job-completed",
            "tasks-offered",
            "offer-ended",
            "offer-answered",
            "run-repeated",
            "upstream-claimed",
            "upstream-released",
            "upstream-lost",
            "upstream-gone",
            "upstream-set-aside",
            "upstream-restored",
            "peer-link",
            "paused",
            "evacuation-requested",
            "evacuation-withdrawn",
            "suspicion-adopted",
            "quarantine-widespread",
            "upstream-cold",
            "upstreams-limited",
            "upstream-limit-raised"};
    return names.at(static_cast<std::size_t>(kind));
}

} // namespace rattandock::fleet
