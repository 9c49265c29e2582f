// Peer links and peer messages in the Dispatcher.
#include "rattandock/core/dispatcher.hpp"

namespace rattandock::core {

void Dispatcher::handleEvent(const PeerMessageReceived &event, TimePoint now, Actions &actions)
{
    std::visit(
            [&](const auto &it) {
                if constexpr (requires { handlePeerMessage(event.from, it, now, actions); }) {
                    handlePeerMessage(event.from, it, now, actions);
                } else {
                    actions.emplace_back(Note{NoteKind::PeerMessageRefused,
                                              name(event.message),
                                              {},
                                              event.from.value()});
                }
            },
            event.message);
}

void Dispatcher::handleEvent(const PeerLinkChanged &event, TimePoint /*now*/, Actions &actions)
{
    m_peers.setLink(event.peer, event.up);
    if (event.up) {
        for (const SealedSet *set : m_sealedSets.all()) {
            actions.emplace_back(
                    SendToPeer{event.peer, HandoverPointer{set->incarnation, m_options.vm}});
        }
    }
    // This also applies when the link comes up: requests sent earlier were lost with the previous
    // connection.
    for (const PendingForward &it : m_forwards.takeAllForPeer(event.peer)) {
        answer(it.request, it.job, Unknown{UnknownReason::HomeUnreachable}, actions);
    }
}

void Dispatcher::handlePeerMessage(const VmId &from, const Heartbeat &message, TimePoint /*now*/,
                                   Actions & /*actions*/)
{
    m_peers.recordHeartbeat(from, message);
}

void Dispatcher::handlePeerMessage(const VmId &from, const ForwardJob &message, TimePoint now,
                                   Actions &actions)
{
    const PeerRequest request{from, message.forwardNumber};
    const auto home = parseHomeJobId(message.job.id);
    const Incarnation answering = home ? home->token.incarnation : m_options.incarnation;
    if (message.expectedIncarnation != answering) {
        return answer(request, message.job.id, Unknown{UnknownReason::HomeLost}, actions);
    }
    submit(request, message.job, now, actions);
}

void Dispatcher::handlePeerMessage(const VmId &from, const ForwardedAnswer &message,
                                   TimePoint /*now*/, Actions &actions)
{
    if (const auto pending = m_forwards.take(message.forwardNumber, from)) {
        answer(pending->request, pending->job, message.outcome, actions);
    } else {
        actions.emplace_back(
                Note{NoteKind::PeerMessageRefused, "unknown-forward", {}, from.value()});
    }
}

} // namespace rattandock::core
