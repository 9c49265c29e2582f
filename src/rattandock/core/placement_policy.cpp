#include "rattandock/core/placement_policy.hpp"

#include <array>

namespace rattandock::core {

namespace {

constexpr std::array<std::string_view, 5> policyNames{"speed-aware", "random", "round-robin",
                                                      "least-outstanding", "power-of-two-choices"};

} // namespace

std::string_view name(PlacementPolicyKind kind)
{
    return policyNames.at(static_cast<std::size_t>(kind));
}

std::optional<PlacementPolicyKind> placementPolicyFrom(std::string_view text)
{
    for (std::size_t n = 0; n < policyNames.size(); ++n) {
        if (policyNames.at(n) == text) {
            return static_cast<PlacementPolicyKind>(n);
        }
    }
    return std::nullopt;
}

} // namespace rattandock::core
