// How a FleetSync writes the row of its VM and reads those of the others.
#include <algorithm>

#include "rattandock/adapters/fleet_rows_json.hpp"
#include "rattandock/app/fleet_sync.hpp"

namespace rattandock::app {

using ports::StoreFailure;
using ports::StoreRow;
using ports::StoreRows;

namespace {

const std::string membersTable = "members";

/// How often a VM writes its row, and at most reads those of others. Two beats make a VM's silence.
constexpr Duration beatInterval = std::chrono::milliseconds{700};
/// Beats of the first seconds, so that VMs that start together soon read the rows of each other.
constexpr Duration firstBeatInterval = std::chrono::milliseconds{150};
constexpr std::uint64_t firstBeats = 10;
/// Beats between two readings of the list of zones.
constexpr std::uint64_t beatsPerZoneList = 16;

} // namespace

void FleetSync::beat()
{
    while (!m_isStopping) {
        const bool isStarting = ++m_self.beat <= firstBeats;
        m_lastBeat = m_loop.now();
        m_self.draining = m_loop.dispatcher().status().stopping;
        const ports::WriteResult written =
                m_store.write({{membersTable, m_self.zone.value(), m_self.vm.value(),
                                adapters::encodeMember(m_self), std::nullopt}});
        const auto *const failure = std::get_if<StoreFailure>(&written);
        m_isRowWritten = failure == nullptr;
        if (failure != nullptr) {
            noteStore(membersTable, *failure);
        }
        m_isZoneListDue = m_isZoneListDue || m_self.beat % beatsPerZoneList == 1;
        // A read over a slow link takes longer than a beat. Other VMs take a VM whose row is not
        // written for two beats for failed.
        if (!m_isReadingMembers) {
            m_isReadingMembers = true;
            spawn([this, isStarting] {
                readDueMembers(isStarting);
                m_isReadingMembers = false;
            });
        }
        boost::asio::steady_timer timer{m_io};
        m_beatTimer = &timer;
        pause(timer, isStarting ? firstBeatInterval : beatInterval);
        m_beatTimer = nullptr;
    }
}

void FleetSync::hurryBeat()
{
    // Links come and go by the dozen when VMs start or fail.
    if (m_beatTimer != nullptr && m_loop.now() - m_lastBeat >= firstBeatInterval) {
        m_beatTimer->cancel();
    }
}

void FleetSync::readDueMembers(bool isStarting)
{
    if (m_isZoneListDue) {
        m_isZoneListDue = false;
        learnZones();
    }
    if (!pauseFor(m_membersBackoff)) {
        return;
    }
    bool isRead = true;
    for (const ZoneId &it : m_memberReads.zonesToRead(m_zones, m_loop.dispatcher().memberLinks(),
                                                      isStarting, m_loop.now())) {
        isRead = isRead && readMembers(it);
    }
    if (isRead && m_isRowWritten) {
        noteStore(membersTable, std::nullopt);
    }
}

void FleetSync::learnZones()
{
    if (const auto parts = m_store.parts(membersTable)) {
        for (const std::string &it : *parts) {
            m_zones.insert(ZoneId{it});
        }
    }
}

bool FleetSync::readMembers(const ZoneId &zone)
{
    const TimePoint sentAt = m_loop.now();
    const ports::ReadResult read = m_store.read(membersTable, zone.value());
    if (const auto *const failure = std::get_if<StoreFailure>(&read)) {
        m_membersBackoff.recordFailure(m_loop.now());
        noteStore(membersTable, *failure);
        m_loop.post(fleet::MembersRead{});
        return false;
    }
    m_membersBackoff.recordSuccess();
    m_memberReads.recordRead(zone, m_loop.now());
    std::vector<fleet::MemberRow> rows;
    for (const StoreRow &it : std::get<StoreRows>(read).rows) {
        if (auto row = adapters::decodeMember(it.key, it.value); row && row->zone == zone) {
            rows.push_back(std::move(*row));
        }
    }
    const auto isSameVm = [](const fleet::MemberRow &a, const fleet::MemberRow &b) {
        return a.vm == b.vm && a.peerAddress == b.peerAddress;
    };
    std::vector<fleet::MemberRow> &known = m_members[zone];
    if (!std::ranges::equal(known, rows, isSameVm)) {
        known = rows;
        std::vector<fleet::MemberRow> all;
        for (const auto &[it, members] : m_members) {
            all.insert(all.end(), members.begin(), members.end());
        }
        m_onMembers(all);
    }
    m_loop.post(fleet::MembersRead{std::move(rows), zone, sentAt});
    return true;
}

} // namespace rattandock::app
