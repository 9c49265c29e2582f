#include "rattandock/core/forward_table.hpp"

namespace rattandock::core {

std::uint64_t ForwardTable::add(PendingForward forward)
{
    const std::uint64_t number = m_nextNumber++;
    m_byRequest.emplace(forward.request, number);
    m_byExpiry.emplace(forward.expires, number);
    m_byPeer.emplace(forward.peer, number);
    m_pending.emplace(number, std::move(forward));
    return number;
}

std::optional<PendingForward> ForwardTable::take(std::uint64_t number, const VmId &peer)
{
    const auto it = m_pending.find(number);
    if (it == m_pending.end() || it->second.peer != peer) {
        return std::nullopt;
    }
    return remove(number);
}

void ForwardTable::drop(CallerRequestId request)
{
    const auto it = m_byRequest.find(request);
    if (it != m_byRequest.end()) {
        remove(it->second);
    }
}

std::vector<PendingForward> ForwardTable::takeAllForPeer(const VmId &peer)
{
    std::vector<PendingForward> taken;
    for (auto it = m_byPeer.lower_bound({peer, 0}); it != m_byPeer.end() && it->first == peer;
         it = m_byPeer.lower_bound({peer, 0})) {
        taken.push_back(remove(it->second));
    }
    return taken;
}

std::vector<PendingForward> ForwardTable::takeExpired(TimePoint now)
{
    std::vector<PendingForward> taken;
    while (!m_byExpiry.empty() && m_byExpiry.begin()->first <= now) {
        taken.push_back(remove(m_byExpiry.begin()->second));
    }
    return taken;
}

std::optional<TimePoint> ForwardTable::nextTimer() const
{
    return m_byExpiry.empty() ? std::nullopt : std::optional{m_byExpiry.begin()->first};
}

PendingForward ForwardTable::remove(std::uint64_t number)
{
    auto node = m_pending.extract(number);
    PendingForward forward = std::move(node.mapped());
    m_byRequest.erase(forward.request);
    m_byExpiry.erase({forward.expires, number});
    m_byPeer.erase({forward.peer, number});
    return forward;
}

} // namespace rattandock::core
