#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>

namespace rattandock::core {

/// Placement policies that can be configured. All but SpeedAware are baselines for experiments.
enum class PlacementPolicyKind : std::uint8_t {
    SpeedAware,
    Random,
    RoundRobin,
    LeastOutstanding,
    PowerOfTwoChoices,
};

/// Reasons for a placement. They are metric labels and must not change. Each baseline policy has
/// its own name as its reason.
inline constexpr std::array<std::string_view, 9> placementReasons{"fastest-for-longest",
                                                                  "fastest-for-last",
                                                                  "slow-for-shortest",
                                                                  "other-zone",
                                                                  "probe",
                                                                  "random",
                                                                  "round-robin",
                                                                  "least-outstanding",
                                                                  "power-of-two-choices"};

/// The name of the policy in settings.
std::string_view name(PlacementPolicyKind kind);
/// Returns the policy of this name, or `std::nullopt` if there is none.
std::optional<PlacementPolicyKind> placementPolicyFrom(std::string_view text);

} // namespace rattandock::core
