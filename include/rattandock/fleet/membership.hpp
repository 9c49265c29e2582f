#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "rattandock/base/ids.hpp"
#include "rattandock/base/time.hpp"

namespace rattandock::fleet {

/// Level from which VMs decode EvacuationState.
inline constexpr std::uint32_t evacuationMessageLevel = 1;
/// Level of this build. It is raised with each new peer message.
inline constexpr std::uint32_t ownMessageLevel = evacuationMessageLevel;

/// Row of the shared table in which an entry VM publishes its own state.
struct MemberRow
{
    VmId vm;
    Incarnation incarnation;
    ZoneId zone;
    /// Address of the listener for other VMs, as `IP:PORT`.
    std::string peerAddress;
    /// Share of a processor core. Upstreams are assigned to VMs in proportion to it.
    double weight = 1;
    /// The VM is shutting down and must not be assigned new upstreams.
    bool draining = false;
    /// Heartbeat counter, incremented with each write of the row.
    std::uint64_t beat = 0;
    /// Highest level of peer messages that the VM decodes; 0 in rows of builds without this field.
    /// An unknown message closes the link, so none is sent above this level during a rolling
    /// update.
    std::uint32_t messageLevel = 0;

    friend bool operator==(const MemberRow &, const MemberRow &) = default;
};

/// Row of the shared table that assigns an upstream to its keeper, the one VM that may send it
/// orders.
struct KeeperRow
{
    UpstreamId upstream;
    /// Partition of the table that holds the row.
    ZoneId zone;
    /// Empty if the last keeper released the upstream.
    VmId vm;
    Incarnation incarnation;
    /// Incremented with each change of the keeper. Forms the high part of the keeper's fencing
    /// tokens.
    std::uint64_t epoch = 0;
    /// Version of the row, for the conditional write that replaces it; 0 if there is no row.
    std::uint64_t version = 0;

    friend bool operator==(const KeeperRow &, const KeeperRow &) = default;
};

/// Failure detector for the VMs in the shared table, from the view of one VM.
///
/// A VM counts as alive while its row changes or its peer link is up. The time without a change is
/// counted over successful reads only, so no VM is declared failed while the store is unavailable.
/// Thread safety: none.
class Membership
{
public:
    /// `rowTimeout`: a VM without a link fails when its row is unchanged for this long, counted
    /// over successful reads.
    explicit Membership(Duration rowTimeout)
        : m_rowTimeout(rowTimeout)
    {
    }

    /// Adds or updates a member by its row.
    void updateRow(const MemberRow &row);
    /// Removes the members of the zone, or of all zones if none is given, that are not in
    /// `present`.
    void eraseMissing(const std::map<VmId, MemberRow> &present,
                      const std::optional<ZoneId> &zone = std::nullopt);
    /// Records that all rows of the zone, or of all zones if none is given, were read successfully.
    /// Adds the time between the starts of this read and of the previous successful one to the age
    /// of each row, but at most one beat if the row has changed; `sentAt` is `now` if absent. Call
    /// it after updateRow() for the rows of the read.
    void readSucceeded(TimePoint now, const std::optional<ZoneId> &zone = std::nullopt,
                       const std::optional<TimePoint> &sentAt = std::nullopt);
    /// Records a failed read. The time until the next successful read does not age the rows.
    void readFailed() { m_lastRead.clear(); }
    /// Returns true if the zone was read at least once since the start.
    bool wasRead(const ZoneId &zone) const;
    void setLink(const VmId &vm, bool up);
    /// Records a heartbeat that was received over a peer link. Returns true if it reports a change
    /// that is not in the VM's row yet: another process, or the start of draining.
    bool recordHeartbeat(const VmId &vm, Incarnation incarnation, bool draining);

    /// Returns true if no further VM of the zone is expected to become active: all rows have
    /// changed since they were first read, or at least one has and no further one did for 450 ms.
    ///
    /// Load pattern: after a power loss all VMs return within half a second, while the rows of VMs
    /// that were removed permanently never change.
    bool hasSettled(const ZoneId &zone, TimePoint now) const;

    bool isAlive(const VmId &vm, Incarnation incarnation) const;
    /// Returns the rows of the members that are alive.
    std::map<VmId, MemberRow> aliveMembers() const;
    /// Returns the member's row, or `nullptr` if there is none. Valid until the next change.
    const MemberRow *find(const VmId &vm) const;
    /// Returns the zones in which at least one VM is alive and not draining.
    std::set<ZoneId> servedZones() const;
    /// Returns true if each alive VM of the zone except `self` has a peer link, and its row belongs
    /// to the process at the other end of the link.
    bool isZoneLinked(const ZoneId &zone, const VmId &self) const;
    /// Returns false if there is no row, or if the heartbeats over the VM's link come from another
    /// process than the one that wrote the row.
    bool isRowCurrent(const VmId &vm) const;
    /// Returns the number of VMs of the zone that have a row, whether they are alive or not.
    std::size_t memberCount(const ZoneId &zone) const;
    /// Returns how many alive, non-draining VMs of the same zone precede this one in descending
    /// order of weight; equal weights are ordered by id. Returns 0 if the VM has no row.
    std::size_t rankInZone(const VmId &vm) const;

private:
    struct Member
    {
        MemberRow row;
        /// Time since the row last changed, counted over successful reads only.
        Duration unchanged{};
        bool linked = false;
        /// Incarnation in the last heartbeat; `std::nullopt` after the link went down.
        std::optional<Incarnation> heartbeatIncarnation;
        /// Whether the row has changed since it was first read.
        bool hasChanged = false;
        /// Whether the row has changed since the last call of readSucceeded().
        bool hasChangedInRead = false;
    };
    bool isAlive(const Member &member) const
    {
        return member.linked || member.unchanged < m_rowTimeout;
    }

    Duration m_rowTimeout;
    std::map<VmId, Member> m_members;
    /// Start of the last successful read of each zone since the last failed read. The key without a
    /// zone stands for reads of all zones.
    std::map<std::optional<ZoneId>, TimePoint> m_lastRead;
    /// Zones that were read since the start. The key without a zone stands for all zones.
    std::set<std::optional<ZoneId>> m_zonesRead;
    /// Number of a zone's members whose row has changed, and when that number last grew.
    struct ActiveCount
    {
        std::size_t count = 0;
        TimePoint grewAt;
    };
    std::map<ZoneId, ActiveCount> m_activeCounts;
};

} // namespace rattandock::fleet
