#pragma once

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "rattandock/base/ids.hpp"
#include "rattandock/base/time.hpp"

namespace rattandock::core {

/// A caller's request that was forwarded to a peer and is not answered yet.
struct PendingForward
{
    CallerRequestId request;
    JobId job;
    VmId peer;
    TimePoint expires;
};

/// Tracks submissions that were forwarded to peers and are not answered yet. Thread safety: none.
class ForwardTable
{
public:
    /// Forward numbers start at the incarnation, which is random, so that a late answer to an
    /// earlier incarnation of this VM does not match a pending forward.
    explicit ForwardTable(Incarnation incarnation)
        : m_nextNumber(incarnation.value())
    {
    }

    std::uint64_t add(PendingForward forward);
    /// Removes and returns the forward, or returns `std::nullopt` if no forward with this number is
    /// pending at the peer.
    std::optional<PendingForward> take(std::uint64_t number, const VmId &peer);
    /// Removes the forward of a caller that has disconnected.
    void drop(CallerRequestId request);
    std::vector<PendingForward> takeAllForPeer(const VmId &peer);
    std::vector<PendingForward> takeExpired(TimePoint now);

    bool empty() const { return m_pending.empty(); }
    std::optional<TimePoint> nextTimer() const;

private:
    PendingForward remove(std::uint64_t number);

    std::uint64_t m_nextNumber;
    std::map<std::uint64_t, PendingForward> m_pending;
    std::unordered_map<CallerRequestId, std::uint64_t> m_byRequest;
    std::set<std::pair<TimePoint, std::uint64_t>> m_byExpiry;
    std::set<std::pair<VmId, std::uint64_t>> m_byPeer;
};

} // namespace rattandock::core
