#pragma once

#include <cstdint>
#include <variant>

#include "rattandock/base/ids.hpp"

namespace rattandock::core {

/// A submission that a peer passed on; the answer goes back to that peer.
struct PeerRequest
{
    VmId peer;
    std::uint64_t forwardNumber = 0;

    friend bool operator==(const PeerRequest &, const PeerRequest &) = default;
};

/// Who waits for the answer of a submission.
using Requester = std::variant<CallerRequestId, PeerRequest>;

} // namespace rattandock::core
