#pragma once

#include <cstdint>
#include <variant>

#include "rattandock/base/ids.hpp"

namespace rattandock::core {

/// Identifies a submission that a peer forwarded. The answer is sent back to that peer.
struct PeerRequest
{
    VmId peer;
    std::uint64_t forwardNumber = 0;

    friend bool operator==(const PeerRequest &, const PeerRequest &) = default;
};

/// Receiver of the answer to a submission: a caller of this VM or a peer.
using Requester = std::variant<CallerRequestId, PeerRequest>;

} // namespace rattandock::core
