#pragma once

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "rattandock/adapters/io_threads.hpp"
#include "rattandock/adapters/metrics.hpp"
#include "rattandock/app/fleet_loop.hpp"
#include "rattandock/fleet/fleet_config.hpp"
#include "rattandock/fleet/member_reads.hpp"
#include "rattandock/fleet/read_backoff.hpp"
#include "rattandock/fleet/upstream_directory.hpp"
#include "rattandock/ports/metadata_store.hpp"

namespace rattandock::app {

/// Formats of the rows that others write into the store.
struct DirectoryFormat
{
    std::string upstreamsTable;
    std::string operatorTable;
    std::string configurationKey;
    /// Start of the keys in the operator's table that request the evacuation of the zone whose name
    /// follows.
    std::string evacuationKeyPrefix;
    std::function<std::optional<fleet::UpstreamEntry>(const std::string &id, std::string_view)>
            decodeUpstream;
    std::function<std::optional<fleet::FleetConfig>(std::string_view)> decodeConfiguration;
};

/// Follows the store's tables on fibers and turns their rows into events: the operator's
/// configuration, the upstreams, the members and the keepers. Writes this VM's own row.
///
/// Thread safety: all methods are called on the I/O thread.
class FleetSync
{
public:
    using OnConfiguration = std::function<void(fleet::FleetConfig)>;
    using OnMembers = std::function<void(const std::vector<fleet::MemberRow> &)>;

    /// Precondition: the references outlive the object; start() is called at most once.
    FleetSync(ports::MetadataStore &store, FleetLoop &loop, DirectoryFormat format,
              fleet::MemberRow self, fleet::DirectoryTimes directoryTimes,
              boost::asio::io_context &io);

    void start(OnConfiguration onConfiguration, OnMembers onMembers);
    /// Carries out a write of keepers' rows; KeeperWriteCompleted follows.
    void writeKeepers(const fleet::WriteKeepers &order);
    /// Takes changes of the list of upstreams that another VM has read. Those of another zone are
    /// used only while the copy of this VM is overdue, and are then forwarded in the own zone.
    void takeUpstreamChanges(const VmId &from, const fleet::UpstreamChanges &changes);
    /// Returns the changes of the list of upstreams since `version`, if they are known and recent.
    std::optional<fleet::UpstreamChanges> changesSince(std::uint64_t version) const
    {
        return m_directory.changesSince(version, m_loop.now());
    }
    /// The next beat comes at once, unless the last one has just been.
    void hurryBeat();
    /// Ends the fibers; they return after their current call.
    void stop();
    std::size_t running() const { return m_running; }

private:
    /// Follows one table: reads it whole, then its changes; whole again if they are lost.
    struct Table
    {
        std::string name;
        /// Wait for changes, and the least time between two calls.
        std::function<Duration()> wait;
        Duration interval{};
        std::function<ports::ReadResult()> readWhole;
        /// Called after each answer, also if it has no rows. `sentAt`: when the call was sent.
        std::function<void(const ports::StoreRows &rows, bool isWhole, TimePoint sentAt)> take;
        /// Called after each failed call that was sent at the given time.
        std::function<void(TimePoint sentAt)> failed = [](TimePoint) {};
    };

    void spawn(std::function<void()> function);
    void follow(const Table &table);
    void beat();
    void readDueMembers(bool isStarting);
    bool readMembers(const ZoneId &zone);
    void learnZones();
    /// Suspends the fiber; false when stopping.
    bool pause(Duration span);
    bool pause(boost::asio::steady_timer &timer, Duration span);
    /// Suspends the fiber until a full read may start; false when stopping.
    bool pauseFor(const fleet::ReadBackoff &backoff);
    void readForeignKeepers();
    void followUpstreams();
    void readUpstreams();
    void takeUpstreams(const ports::StoreRows &rows, bool isWhole, TimePoint sentAt);
    void takeKeepers(const ZoneId &zone, const std::vector<ports::StoreRow> &rows, bool isWhole);
    void takeConfiguration(const std::vector<ports::StoreRow> &rows);
    void takeEvacuations(const ports::StoreRows &rows, bool isWhole, TimePoint sentAt);
    void noteStore(const std::string &table, std::optional<ports::StoreFailure> failure);

    ports::MetadataStore &m_store;
    FleetLoop &m_loop;
    DirectoryFormat m_format;
    fleet::MemberRow m_self;
    fleet::UpstreamDirectory m_directory;
    boost::asio::io_context &m_io;
    OnConfiguration m_onConfiguration;
    OnMembers m_onMembers;
    fleet::MemberReads m_memberReads;
    std::set<ZoneId> m_zones;
    std::map<ZoneId, std::vector<fleet::MemberRow>> m_members;
    boost::asio::steady_timer *m_beatTimer = nullptr;
    TimePoint m_lastBeat;
    /// The last write of this VM's row succeeded.
    bool m_isRowWritten = false;
    bool m_isZoneListDue = false;
    bool m_isReadingMembers = false;
    fleet::ReadBackoff m_membersBackoff;
    fleet::ReadBackoff m_upstreamsBackoff;
    std::set<std::string> m_lostTables;
    std::set<std::string> m_unreadable;
    /// Zones with a request for their evacuation at the last read.
    std::set<ZoneId> m_evacuatedZones;
    std::vector<boost::asio::steady_timer *> m_pauses;
    std::size_t m_running = 0;
    bool m_isStopping = false;
};

} // namespace rattandock::app
