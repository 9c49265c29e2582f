#include "rattandock/app/fleet_sync.hpp"

#include <algorithm>

#include "rattandock/adapters/fleet_rows_json.hpp"
#include "rattandock/adapters/io_wait.hpp"
#include "rattandock/adapters/log.hpp"
#include "rattandock/base/overloaded.hpp"

namespace rattandock::app {

using adapters::LogLevel;
using adapters::LogPart;
using ports::StoreFailure;
using ports::StoreRow;
using ports::StoreRows;

namespace {

/// Each zone has its own, so that a VM follows those of its zone only. The store allows 100 tables.
const std::string keepersTablePrefix = "keepers-";

/// Wait of a call for changes of keepers. A connection that went silent shows after it.
constexpr Duration changesWait = std::chrono::milliseconds{2000};
/// How often it is looked whether the list of upstreams must be read, at most and at least.
constexpr Duration shortestReadPause = std::chrono::milliseconds{20};
constexpr Duration longestReadPause = std::chrono::milliseconds{250};
/// Least time between two reads of the keepers' rows: at a start each VM writes some of them.
constexpr Duration keepersInterval = std::chrono::milliseconds{250};
/// Between two reads of the keepers of a zone that has no VM of its own.
constexpr Duration foreignKeepersInterval = std::chrono::milliseconds{700};
/// Pause after a failed call for changes. Full reads wait as ReadBackoff says.
constexpr Duration retryPause = std::chrono::milliseconds{250};

std::string keepersTableOf(const ZoneId &zone)
{
    return keepersTablePrefix + zone.value();
}

} // namespace

FleetSync::FleetSync(ports::MetadataStore &store, FleetLoop &loop, DirectoryFormat format,
                     fleet::MemberRow self, fleet::DirectoryTimes directoryTimes,
                     boost::asio::io_context &io)
    : m_store(store)
    , m_loop(loop)
    , m_format(std::move(format))
    , m_self(std::move(self))
    , m_directory(directoryTimes)
    , m_io(io)
    , m_memberReads(m_self.zone)
    , m_zones{m_self.zone}
{
}

void FleetSync::start(OnConfiguration onConfiguration, OnMembers onMembers)
{
    m_onConfiguration = std::move(onConfiguration);
    m_onMembers = std::move(onMembers);
    spawn([this] { beat(); });
    spawn([this] {
        follow({m_format.operatorTable,
                [this] { return m_loop.dispatcher().evacuationReadWait(m_loop.now()); }, Duration{},
                [this] { return m_store.read(m_format.operatorTable, ""); },
                [this](const StoreRows &rows, bool isWhole, TimePoint sentAt) {
                    takeConfiguration(rows.rows);
                    takeEvacuations(rows, isWhole, sentAt);
                },
                [this](TimePoint sentAt) { m_loop.post(fleet::EvacuationsReadFailed{sentAt}); }});
    });
    spawn([this] { followUpstreams(); });
    spawn([this] {
        const ZoneId &zone = m_self.zone;
        follow({keepersTableOf(zone), [] { return changesWait; }, keepersInterval,
                [this, zone] { return m_store.read(keepersTableOf(zone), zone.value()); },
                [this, zone](const StoreRows &rows, bool isWhole, TimePoint) {
                    if (isWhole || !rows.rows.empty()) {
                        takeKeepers(zone, rows.rows, isWhole);
                    }
                }});
    });
    spawn([this] { readForeignKeepers(); });
}

void FleetSync::spawn(std::function<void()> function)
{
    ++m_running;
    adapters::spawnFiber([this, function = std::move(function)] {
        function();
        --m_running;
    });
}

void FleetSync::stop()
{
    m_isStopping = true;
    for (boost::asio::steady_timer *const it : m_pauses) {
        it->cancel();
    }
}

bool FleetSync::pause(Duration span)
{
    boost::asio::steady_timer timer{m_io};
    return pause(timer, span);
}

bool FleetSync::pause(boost::asio::steady_timer &timer, Duration span)
{
    if (m_isStopping) {
        return false;
    }
    timer.expires_after(span);
    m_pauses.push_back(&timer);
    adapters::awaitIo([&timer](auto handle) { timer.async_wait(handle); });
    std::erase(m_pauses, &timer);
    return !m_isStopping;
}

bool FleetSync::pauseFor(const fleet::ReadBackoff &backoff)
{
    const Duration delay = backoff.remaining(m_loop.now());
    return delay > Duration{} ? pause(delay) : !m_isStopping;
}

void FleetSync::noteStore(const std::string &table, std::optional<StoreFailure> failure)
{
    if (m_isStopping) {
        // The calls were broken off by this process itself.
        return;
    }
    if (failure && m_lostTables.insert(table).second) {
        log(LogLevel::Warn, LogPart::Platform,
            "store lost table=" + table + " reason=" + std::string{name(*failure)});
    } else if (!failure && m_lostTables.erase(table) > 0) {
        log(LogLevel::Info, LogPart::Platform, "store regained table=" + table);
    }
}

void FleetSync::follow(const Table &table)
{
    std::uint64_t version = 0;
    bool readsWhole = true;
    fleet::ReadBackoff backoff;
    while (!m_isStopping) {
        if (readsWhole && !pauseFor(backoff)) {
            return;
        }
        const TimePoint sentAt = m_loop.now();
        const ports::ReadResult result =
                readsWhole ? table.readWhole() : m_store.changes(table.name, version, table.wait());
        if (const auto *const failure = std::get_if<StoreFailure>(&result)) {
            backoff.recordFailure(m_loop.now());
            if (*failure == StoreFailure::HistoryGone) {
                log(LogLevel::Info, LogPart::Platform,
                    "store history gone, reads again table=" + table.name);
                readsWhole = true;
                continue;
            }
            noteStore(table.name, *failure);
            table.failed(sentAt);
            if (!readsWhole) {
                pause(retryPause);
            }
            continue;
        }
        noteStore(table.name, std::nullopt);
        if (!readsWhole) {
            // A full read alone does not end the backoff: the store may have lost its history again
            // at each read of changes.
            backoff.recordSuccess();
        }
        const StoreRows &rows = std::get<StoreRows>(result);
        if (rows.isPartial) {
            // A full answer may lack the latest changes.
            readsWhole = true;
            continue;
        }
        version = rows.version;
        table.take(rows, readsWhole, sentAt);
        readsWhole = false;
        if (table.interval > Duration{}) {
            pause(table.interval);
        }
    }
}

void FleetSync::readForeignKeepers()
{
    while (pause(foreignKeepersInterval)) {
        for (const ZoneId &it : m_loop.dispatcher().foreignZonesToKeep(m_loop.now())) {
            const ports::ReadResult read = m_store.read(keepersTableOf(it), it.value());
            const auto *const failure = std::get_if<StoreFailure>(&read);
            noteStore(keepersTableOf(it),
                      failure != nullptr ? std::optional{*failure} : std::nullopt);
            if (failure == nullptr) {
                takeKeepers(it, std::get<StoreRows>(read).rows, true);
            }
        }
    }
}

void FleetSync::followUpstreams()
{
    while (!m_isStopping) {
        const TimePoint now = m_loop.now();
        const fleet::FleetDispatcher &dispatcher = m_loop.dispatcher();
        const TimePoint due = dispatcher.isUpstreamListUsable(now)
                                      ? m_directory.nextRead(dispatcher.listReaderRank())
                                      : now;
        if (due > now) {
            pause(std::clamp(due - now, shortestReadPause, longestReadPause));
        } else {
            readUpstreams();
        }
    }
}

void FleetSync::readUpstreams()
{
    const std::string &table = m_format.upstreamsTable;
    // Changes that another VM sends during the pause may make the full read unnecessary.
    if (m_directory.needsWholeRead() && !pauseFor(m_upstreamsBackoff)) {
        return;
    }
    const bool isWhole = m_directory.needsWholeRead();
    const TimePoint sentAt = m_loop.now();
    const ports::ReadResult result =
            isWhole ? m_store.read(table, "")
                    : m_store.changes(table, m_directory.version(), Duration{});
    if (const auto *const failure = std::get_if<StoreFailure>(&result)) {
        m_upstreamsBackoff.recordFailure(m_loop.now());
        if (*failure == StoreFailure::HistoryGone) {
            log(LogLevel::Info, LogPart::Platform,
                "store history gone, reads again table=" + table);
            m_directory.requireWholeRead();
            return;
        }
        noteStore(table, *failure);
        m_loop.post(fleet::UpstreamListReadFailed{sentAt});
        // The store may turn away only this VM or its zone.
        if (m_directory.version() > 0 && m_directory.isOverdue(m_loop.now())) {
            m_loop.requestUpstreamChanges(m_directory.version());
        }
        if (!isWhole) {
            pause(retryPause);
        }
        return;
    }
    noteStore(table, std::nullopt);
    if (!isWhole) {
        m_upstreamsBackoff.recordSuccess();
    }
    takeUpstreams(std::get<StoreRows>(result), isWhole, sentAt);
}

void FleetSync::takeUpstreams(const StoreRows &rows, bool isWhole, TimePoint sentAt)
{
    fleet::DirectoryRead read{{}, {}, rows.version, isWhole, rows.isPartial, sentAt};
    for (const StoreRow &it : rows.rows) {
        if (it.isRemoved) {
            read.removed.emplace_back(it.key);
            m_unreadable.erase(it.key);
            continue;
        }
        if (auto entry = m_format.decodeUpstream(it.key, it.value)) {
            m_zones.insert(entry->zone);
            read.present.push_back(std::move(*entry));
        } else if (m_unreadable.insert(it.key).second) {
            log(LogLevel::Warn, LogPart::Platform,
                "upstream entry skipped reason=unreadable key=" + it.key);
        }
    }
    fleet::UpstreamDirectory::Update update = m_directory.applyRead(std::move(read));
    m_loop.post(std::move(update.seen));
    if (update.changes) {
        update.changes->age = m_loop.now() - sentAt;
        m_loop.sendToZone(*update.changes);
    }
}

void FleetSync::takeUpstreamChanges(const VmId &from, const fleet::UpstreamChanges &changes)
{
    const bool isFromOwnZone = m_loop.dispatcher().isInOwnZone(from);
    if (!isFromOwnZone && !m_directory.isOverdue(m_loop.now())) {
        return;
    }
    if (auto seen = m_directory.applyChanges(changes, m_loop.now())) {
        m_loop.post(std::move(*seen));
        if (!isFromOwnZone) {
            m_loop.sendToZone(changes);
        }
    }
}

void FleetSync::takeKeepers(const ZoneId &zone, const std::vector<StoreRow> &rows, bool isWhole)
{
    fleet::KeepersRead read{{}, isWhole, zone};
    for (const StoreRow &it : rows) {
        if (it.isRemoved) {
            continue;
        }
        if (auto row = adapters::decodeKeeper(it.key, it.part, it.version, it.value)) {
            read.rows.push_back(std::move(*row));
        }
    }
    m_loop.post(std::move(read));
}

void FleetSync::takeConfiguration(const std::vector<StoreRow> &rows)
{
    for (const StoreRow &it : rows) {
        if (it.key != m_format.configurationKey || it.isRemoved) {
            continue;
        }
        if (auto config = m_format.decodeConfiguration(it.value)) {
            m_onConfiguration(std::move(*config));
        } else {
            log(LogLevel::Error, LogPart::Config, "configuration unreadable, the last one stays");
        }
    }
}

void FleetSync::takeEvacuations(const StoreRows &rows, bool isWhole, TimePoint sentAt)
{
    if (isWhole) {
        m_evacuatedZones.clear();
    }
    for (const StoreRow &it : rows.rows) {
        if (!it.part.empty() || !it.key.starts_with(m_format.evacuationKeyPrefix)) {
            continue;
        }
        const ZoneId zone{it.key.substr(m_format.evacuationKeyPrefix.size())};
        if (zone.value().empty()) {
            continue;
        }
        if (it.isRemoved) {
            m_evacuatedZones.erase(zone);
        } else {
            m_evacuatedZones.insert(zone);
        }
    }
    m_loop.post(fleet::EvacuationsRead{rows.version, m_evacuatedZones, sentAt});
}

void FleetSync::writeKeepers(const fleet::WriteKeepers &order)
{
    spawn([this, order] {
        std::vector<ports::StoreWrite> writes;
        for (const fleet::KeeperRow &it : order.rows) {
            writes.push_back({keepersTableOf(order.zone), order.zone.value(), it.upstream.value(),
                              adapters::encodeKeeper(it), it.version});
        }
        fleet::KeeperWriteCompleted written{order.zone, std::nullopt, {}};
        std::visit(Overloaded{[&](const ports::StoreCommitted &it) {
                                  written.committed = true;
                                  written.rows = order.rows;
                                  for (fleet::KeeperRow &row : written.rows) {
                                      row.version = it.version;
                                  }
                              },
                              [&](const ports::StoreConflict &it) {
                                  written.committed = false;
                                  for (const StoreRow &row : it.rows) {
                                      if (auto keeper = adapters::decodeKeeper(
                                                  row.key, order.zone.value(), row.version,
                                                  row.value)) {
                                          written.rows.push_back(std::move(*keeper));
                                      }
                                  }
                              },
                              [&](const StoreFailure &it) {
                                  if (it == StoreFailure::Refused) {
                                      written.committed = false;
                                  }
                                  log(LogLevel::Warn, LogPart::Platform,
                                      "keepers not written zone=" + order.zone.value()
                                              + " reason=" + std::string{name(it)});
                              }},
                   m_store.write(writes));
        m_loop.post(std::move(written));
    });
}

} // namespace rattandock::app
