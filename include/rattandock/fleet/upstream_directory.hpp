#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "rattandock/fleet/fleet_event.hpp"
#include "rattandock/fleet/fleet_message.hpp"

namespace rattandock::fleet {

/// Rows of the store's table of upstreams as one read returned them.
struct DirectoryRead
{
    std::vector<UpstreamEntry> present;
    std::vector<UpstreamId> removed;
    /// Version of the store that the rows belong to.
    std::uint64_t version = 0;
    /// `present` is the whole list; else the rows changed since the last read.
    bool isWhole = false;
    /// The answer held as many rows as fit, so that further changes may exist.
    bool isPartial = false;
    /// When the read was sent; the rows are at least as new.
    TimePoint sentAt{};
};

/// How fast a change of the list reaches the VMs. All are parts of the time within which an
/// upstream that drains must get no new work.
struct DirectoryTimes
{
    explicit DirectoryTimes(Duration drainLimit)
        : interval(drainLimit / 4)
        , step(drainLimit / 20)
        , longestDelay(drainLimit * 3 / 10)
        , usableAge(drainLimit * 13 / 20)
    {
    }

    /// The first reader of a zone reads again when its list is this old.
    Duration interval;
    /// Each further reader waits this much longer for the changes that the ones before it pass on.
    Duration step;
    Duration longestDelay;
    /// No task is started by an older list while the store can be read.
    Duration usableAge;
};

/// One VM's copy of the platform's list of upstreams, with the version and the age of what it
/// knows.
///
/// Load pattern: each upstream rewrites its row every 1.5 s, although little but a counter changes.
/// With 1,100 upstreams that is more than one answer of the store holds, and 147 VMs that each read
/// all of it spend most of their processor time on it. So one VM of a zone reads and passes real
/// changes on to the others, which read only if nothing comes; and a copy that has fallen behind is
/// read whole instead of by its changes. Thread safety: none.
class UpstreamDirectory
{
public:
    explicit UpstreamDirectory(DirectoryTimes times)
        : m_times(times)
    {
    }

    /// When this VM reads the store itself. `rank`: its place among the readers of its zone.
    TimePoint nextRead(std::size_t rank) const;
    /// The next read must be of the whole list.
    bool needsWhole() const { return m_needsWhole; }
    std::uint64_t version() const { return m_version; }
    TimePoint asOf() const { return m_asOf; }

    struct Update
    {
        UpstreamListRead seen;
        /// For the other VMs of the zone; its age is left to the sender.
        std::optional<UpstreamChanges> changes;
    };
    /// Takes the result of a read; returns what changed.
    Update take(DirectoryRead read);
    /// The changes after version() are no longer known to the store.
    void loseHistory() { m_needsWhole = true; }

    /// Takes changes that another VM passed on; nothing if changes before them are missing.
    std::optional<UpstreamListRead> take(const UpstreamChanges &changes, TimePoint now);

private:
    void apply(UpstreamListRead &seen);
    void learnRate(const DirectoryRead &read);

    DirectoryTimes m_times;
    std::map<UpstreamId, UpstreamEntry> m_entries;
    std::uint64_t m_version = 0;
    TimePoint m_asOf = TimePoint::min();
    /// In this time about as many rows change as one answer should hold.
    Duration m_untilFull = Duration::max();
    bool m_needsWhole = true;
};

} // namespace rattandock::fleet
