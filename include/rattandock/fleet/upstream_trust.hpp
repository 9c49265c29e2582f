#pragma once

#include <cstdint>

#include "rattandock/base/time.hpp"

namespace rattandock::fleet {

enum class TrustLevel : std::uint8_t {
    /// Runs are started without a limit of their number.
    Trusted,
    /// Runs failed or hung. After a pause, one run probes the upstream.
    Quarantined,
    /// A probe succeeded. The number of concurrent runs is limited.
    Limited,
};
inline constexpr std::size_t trustLevelCount = 3;

/// How far a keeper trusts an upstream, judged by the results of its runs.
struct UpstreamTrust
{
    TrustLevel level{};
    /// Most concurrent runs while the level is Limited.
    std::uint32_t runLimit = 0;
    /// The current pause, or the last one after the quarantine; zero if there was none recently.
    Duration pause{};

    friend bool operator==(const UpstreamTrust &, const UpstreamTrust &) = default;
};

} // namespace rattandock::fleet
