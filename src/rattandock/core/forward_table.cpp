#include "rattandock/core/forward_table.hpp"

namespace rattandock::core {

std::uint64_t ForwardTable::add(PendingForward forward)
{
    const std::uint64_t number = m_nextNumber++;
    m_byRequest.emplace(forward.request, number);
    m_byTime.emplace(forward.expires, number);
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

std::vector<PendingForward> ForwardTable::takeAllOf(const VmId &peer)
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
    while (!m_byTime.empty() && m_byTime.begin()->first <= now) {
        taken.push_back(remove(m_byTime.begin()->second));
    }
    return taken;
}

std::optional<TimePoint> ForwardTable::nextTimer() const
{
    return m_byTime.empty() ? std::nullopt : std::optional{m_byTime.begin()->first};
}

PendingForward ForwardTable::remove(std::uint64_t number)
{
    auto node = m_pending.extract(number);
    PendingForward forward = std::move(node.mapped());
    m_byRequest.erase(forward.request);
    m_byTime.erase({forward.expires, number});
    m_byPeer.erase({forward.peer, number});
    return forward;
}

} // namespace rattandock::core
