#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace rattandock::core {

/// Selectable policies; all but SpeedAware are baselines for experiments.
enum class PlacementPolicyKind : std::uint8_t {
    SpeedAware,
    Random,
    RoundRobin,
    LeastOutstanding,
    PowerOfTwoChoices,
};

std::string_view name(PlacementPolicyKind kind);
std::optional<PlacementPolicyKind> placementPolicyFrom(std::string_view text);

} // namespace rattandock::core
