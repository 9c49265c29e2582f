#include "rattandock/core/peer_message.hpp"

#include <array>

namespace rattandock::core {

std::string_view name(const PeerMessage &message)
{
    static constexpr std::array<std::string_view, std::variant_size_v<PeerMessage>> names{
            "heartbeat",
            "forward-job",
            "forwarded-answer",
            "slot-request",
            "slot-grant",
            "slot-release",
            "handover-records",
            "handover-pointer",
            "configuration-delta",
            "task-offer",
            "task-offer-ended",
            "task-offer-withdrawn",
            "upstream-changes",
            "evacuation-state",
            "queued-task-offer",
            "tasks-returned",
            "upstream-suspicion",
            "cold-upstreams",
            "upstream-changes-request"};
    return names.at(message.index());
}

} // namespace rattandock::core
