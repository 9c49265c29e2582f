#pragma once

#include <array>
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

/// Stable names of why a task was placed where it was; metric labels. Baselines use their own name.
inline constexpr std::array<std::string_view, 9> placementReasons{"fastest-for-longest",
                                                                  "fastest-for-last",
                                                                  "slow-for-shortest",
                                                                  "other-zone",
                                                                  "probe",
                                                                  "random",
                                                                  "round-robin",
                                                                  "least-outstanding",
                                                                  "power-of-two-choices"};

std::string_view name(PlacementPolicyKind kind);
std::optional<PlacementPolicyKind> placementPolicyFrom(std::string_view text);

} // namespace rattandock::core
