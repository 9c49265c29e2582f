#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "rattandock/base/ids.hpp"
#include "rattandock/base/time.hpp"

namespace rattandock::fleet {

/// What an entry VM writes about itself into the shared table.
struct MemberRow
{
    VmId vm;
    Incarnation incarnation;
    ZoneId zone;
    /// Listener for other VMs, `IP:PORT`.
    std::string peerAddress;
    /// Share of a core; upstreams are divided by it.
    double weight = 1;
    /// The VM stops and wants no new upstreams.
    bool draining = false;
    /// Grows with each write, so that readers see that the VM lives.
    std::uint64_t beat = 0;

    friend bool operator==(const MemberRow &, const MemberRow &) = default;
};

/// Who may order an upstream, as written in the shared table.
struct KeeperRow
{
    UpstreamId upstream;
    /// Part of the table in which the row lies.
    ZoneId zone;
    /// Empty if the last keeper gave the upstream up.
    VmId vm;
    Incarnation incarnation;
    /// Grows with each change of the keeper; the high part of its fencing tokens.
    std::uint64_t epoch = 0;
    /// Version of the row, for the condition of the next write; 0 if there is no row.
    std::uint64_t version = 0;

    friend bool operator==(const KeeperRow &, const KeeperRow &) = default;
};

/// Which of the VMs in the shared table are alive, as seen from one VM.
///
/// A VM counts as alive while its row changes or its peer link is up. Only reads that succeeded
/// count against it, so nobody dies while the store is away. Thread safety: none.
class Membership
{
public:
    /// `silence`: how long a row may stay unchanged, over successful reads, without a link.
    explicit Membership(Duration silence)
        : m_silence(silence)
    {
    }

    void see(const MemberRow &row);
    /// Rows of the zone, or of all if there is none, that are gone.
    void forgetAllBut(const std::map<VmId, MemberRow> &present,
                      const std::optional<ZoneId> &zone = std::nullopt);
    /// All rows of the zone, or of all zones, were read; rows that did not change since grow older.
    void readSucceeded(TimePoint now, const std::optional<ZoneId> &zone = std::nullopt);
    void readFailed() { m_lastRead.clear(); }
    /// The zone was read at least once since the start.
    bool wasRead(const ZoneId &zone) const;
    void setLink(const VmId &vm, bool up);
    /// A heartbeat came over a link. Returns true if it tells more than the VM's row.
    bool hear(const VmId &vm, Incarnation incarnation, bool draining);

    /// True if all VMs of the zone that are likely to show up have: each row has changed since it
    /// was first read, or some have and no further one did for a while.
    ///
    /// Load pattern: all VMs return from a power loss within half a second, while rows of VMs that
    /// are gone for good never change.
    bool hasSettled(const ZoneId &zone, TimePoint now) const;

    bool isAlive(const VmId &vm, Incarnation incarnation) const;
    /// Alive members and their rows.
    std::map<VmId, MemberRow> alive() const;
    const MemberRow *find(const VmId &vm) const;
    /// Zones in which at least one VM is alive and takes upstreams.
    std::set<ZoneId> servedZones() const;
    /// True if every living VM of the zone, but the given one, is linked, and its row is that of
    /// the process at the other end.
    bool isZoneLinked(const ZoneId &zone, const VmId &self) const;
    /// False if another process than that of the row answers over the VM's link.
    bool isRowCurrent(const VmId &vm) const;
    /// VMs of the zone with a row, alive or not.
    std::size_t sizeOf(const ZoneId &zone) const;
    /// How many living VMs of the same zone come before this one, the heaviest first.
    std::size_t rankInZone(const VmId &vm) const;

private:
    struct Member
    {
        MemberRow row;
        /// Time without a change, counted over successful reads only.
        Duration unchanged{};
        bool linked = false;
        /// Of the last heartbeat; none after a link went down.
        std::optional<Incarnation> heard;
        bool hasChanged = false;
    };
    bool isAlive(const Member &member) const
    {
        return member.linked || member.unchanged < m_silence;
    }

    Duration m_silence;
    std::map<VmId, Member> m_members;
    /// Last success by zone, without a zone for all, since the last failure.
    std::map<std::optional<ZoneId>, TimePoint> m_lastRead;
    std::set<std::optional<ZoneId>> m_everRead;
    /// Members of a zone whose row has changed, and when their number last grew.
    struct ShownUp
    {
        std::size_t count = 0;
        TimePoint grewAt;
    };
    std::map<ZoneId, ShownUp> m_shownUp;
};

} // namespace rattandock::fleet
