#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

#include "rattandock/fleet/fleet_event.hpp"
#include "rattandock/fleet/fleet_message.hpp"

namespace rattandock::fleet {

/// Result of one read of the store's table of upstreams.
struct DirectoryRead
{
    /// Rows that exist: all of them, or those that were added or changed.
    std::vector<UpstreamEntry> present;
    std::vector<UpstreamId> removed;
    /// Version of the store at which the rows were read.
    std::uint64_t version = 0;
    /// True if `present` is a snapshot of the whole list, false if the rows are the delta since the
    /// previous read.
    bool isWhole = false;
    /// The answer was filled to its row limit, so there may be further changes.
    bool isPartial = false;
    /// When the read was sent. The rows are at least as recent.
    TimePoint sentAt{};
};

/// Times that bound how long a change of the list takes to reach all VMs. They are fractions of
/// `drainLimit`, the time after which a draining upstream must not receive new work.
struct DirectoryTimes
{
    explicit DirectoryTimes(Duration drainLimit)
        : interval(drainLimit / 4)
        , delayPerRank(drainLimit / 20)
        , maxDelay(drainLimit * 3 / 10)
        , maxUsableAge(drainLimit * 13 / 20)
    {
    }

    /// Age of the list at which the first reader of a zone reads again.
    Duration interval;
    /// Additional delay per reader rank, so that each reader first waits for the changes that the
    /// readers before it forward.
    Duration delayPerRank;
    /// Upper limit of the additional delay.
    Duration maxDelay;
    /// While the store is readable, no task is started based on a list older than this.
    Duration maxUsableAge;
};

/// One VM's copy of the platform's list of upstreams, with its version and age.
///
/// Load pattern: each upstream rewrites its row every 1.5 s, although usually only a counter
/// changes, or the time for which the upstream stays cold. With 1,100 upstreams, the changed rows
/// exceed what one answer of the store holds, and 147 VMs that each read all of them spend most of
/// their processor time on it. Therefore one VM per zone reads the list and forwards the changed
/// entries to the others, which read only if no changes arrive. A copy that has fallen behind is
/// refreshed with a snapshot instead of deltas. Thread safety: none.
class UpstreamDirectory
{
public:
    explicit UpstreamDirectory(DirectoryTimes times)
        : m_times(times)
    {
    }

    /// Returns when this VM must read the store itself. `rank`: its position among the readers of
    /// its zone, from 0.
    TimePoint nextRead(std::size_t rank) const;
    /// Returns true if the next read must request the whole list.
    bool needsWholeRead() const { return m_needsWholeRead; }
    std::uint64_t version() const { return m_version; }
    /// Returns the time at which the copy was up to date, or `TimePoint::min()` before the first
    /// read.
    TimePoint asOf() const { return m_asOf; }

    struct Update
    {
        /// For the dispatcher of this VM. Empty and without a time if the read was ignored.
        UpstreamListRead seen;
        /// Changes to forward to the other VMs of the zone; the sender sets their age.
        /// `std::nullopt` if they must not be forwarded.
        std::optional<UpstreamChanges> changes;
    };
    /// Applies the result of a read and returns the changes. Ignores a read that is older than the
    /// copy, and requires a read of the whole list after a partial one.
    Update applyRead(DirectoryRead read);
    /// Requires a read of the whole list, because the store no longer has the changes since
    /// version().
    void requireWholeRead() { m_needsWholeRead = true; }

    /// Applies changes that another VM forwarded. Returns `std::nullopt` and keeps the copy
    /// unchanged if changes before them are missing, if they are older than the copy, or if their
    /// age is invalid.
    std::optional<UpstreamListRead> applyChanges(const UpstreamChanges &changes, TimePoint now);

    /// Returns true if neither this VM nor another one of its zone has renewed the copy in time, so
    /// that a VM of another zone is to be asked for the changes.
    bool isOverdue(TimePoint now) const;
    /// Returns the changes since `version`, which another VM has, with their age. Returns
    /// `std::nullopt` if this copy is overdue, or if it does not have all changes since then.
    std::optional<UpstreamChanges> changesSince(std::uint64_t version, TimePoint now) const;

private:
    struct Step
    {
        /// Version of the copy after the step.
        std::uint64_t version = 0;
        std::vector<UpstreamId> changed;
    };

    void apply(UpstreamListRead &seen);
    /// Records which entries change from the present version to `version`.
    void recordStep(const UpstreamListRead &seen, std::uint64_t version);
    void updateReadInterval(const DirectoryRead &read);

    DirectoryTimes m_times;
    std::map<UpstreamId, UpstreamEntry> m_entries;
    std::uint64_t m_version = 0;
    TimePoint m_asOf = TimePoint::min();
    /// The steps with changes since `m_stepsAfter`, oldest first.
    std::deque<Step> m_steps;
    std::uint64_t m_stepsAfter = 0;
    /// Number of changed entries in the steps.
    std::size_t m_recordedChanges = 0;
    /// Estimated time in which 350 rows change, the target size of one answer.
    Duration m_fullAnswerInterval = Duration::max();
    bool m_needsWholeRead = true;
};

} // namespace rattandock::fleet
