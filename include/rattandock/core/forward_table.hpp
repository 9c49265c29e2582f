#pragma once

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "rattandock/base/ids.hpp"
#include "rattandock/base/time.hpp"

namespace rattandock::core {

/// A caller's request that waits for a peer's answer.
struct PendingForward
{
    CallerRequestId request;
    JobId job;
    VmId peer;
    TimePoint expires;
};

/// Submissions passed on to peers and not answered yet. Thread safety: none.
class ForwardTable
{
public:
    /// Numbers start at the incarnation, which is random: a late answer to an earlier run of this
    /// VM then matches no pending number.
    explicit ForwardTable(Incarnation incarnation)
        : m_nextNumber(incarnation.value())
    {
    }

    std::uint64_t add(PendingForward forward);
    /// Nothing if the number is not pending at that peer.
    std::optional<PendingForward> take(std::uint64_t number, const VmId &peer);
    /// The caller left; its answer is not needed.
    void drop(CallerRequestId request);
    std::vector<PendingForward> takeAllOf(const VmId &peer);
    std::vector<PendingForward> takeExpired(TimePoint now);

    bool empty() const { return m_pending.empty(); }
    std::optional<TimePoint> nextTimer() const;

private:
    PendingForward remove(std::uint64_t number);

    std::uint64_t m_nextNumber;
    std::map<std::uint64_t, PendingForward> m_pending;
    std::unordered_map<CallerRequestId, std::uint64_t> m_byRequest;
    std::set<std::pair<TimePoint, std::uint64_t>> m_byTime;
    std::set<std::pair<VmId, std::uint64_t>> m_byPeer;
};

} // namespace rattandock::core
