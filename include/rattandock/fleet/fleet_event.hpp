#pragma once

#include <optional>
#include <variant>
#include <vector>

#include "rattandock/fleet/fleet_message.hpp"
#include "rattandock/fleet/membership.hpp"
#include "rattandock/fleet/run_report.hpp"
#include "rattandock/fleet/upstream_entry.hpp"
#include "rattandock/fleet/upstream_ledger.hpp"

namespace rattandock::fleet {

/// A caller submits a job; one AnswerJob follows unless the caller leaves before.
struct JobArrived
{
    CallerRequestId request;
    FleetJob job;
};

/// The caller's connection closed; what runs for it is stopped.
struct CallerGone
{
    CallerRequestId request;
};

/// Changes of the platform's list of upstreams.
struct UpstreamsSeen
{
    std::vector<UpstreamEntry> present;
    std::vector<UpstreamId> removed;
    /// `present` is the whole list.
    bool isWhole = false;
    /// The list was at least as new as this; the moment of the event if absent and `isWhole`.
    std::optional<TimePoint> asOf = std::nullopt;
};

/// The platform's list of upstreams could not be read.
struct UpstreamsUnread
{
    TimePoint sentAt{};
};

/// Rows of the members' table, or a failed read.
struct MembersRead
{
    std::optional<std::vector<MemberRow>> rows;
    /// The rows are all of this zone, or of all zones if absent.
    std::optional<ZoneId> zone = std::nullopt;
};

/// Rows of a keepers' table.
struct KeepersRead
{
    std::vector<KeeperRow> rows;
    bool isWhole = false;
    /// The rows are of this zone's table, or of all tables if absent.
    std::optional<ZoneId> zone = std::nullopt;
};

/// A ClaimKeepers has ended. After a failure the rows show what holds now.
struct KeepersWritten
{
    ZoneId zone;
    /// Nothing if it is not known whether the write took effect.
    std::optional<bool> committed;
    /// With a commit the rows written, else the current rows, as far as known.
    std::vector<KeeperRow> rows;
};

struct StartAnswered
{
    UpstreamId upstream;
    RunName name;
    RunNumber number;
    OrderResult result{};
    std::optional<UpstreamTime> clock;
};

struct StopAnswered
{
    UpstreamId upstream;
    RunName name;
    RunNumber number;
    OrderResult result{};
};

struct LookAnswered
{
    UpstreamId upstream;
    PollNumber number;
    RunReport report;
};

struct LookFailed
{
    UpstreamId upstream;
    PollNumber number;
    OrderResult result{};
};

/// The link to another VM came up or went down. What was offered over a lost link ends there.
struct PeerLink
{
    VmId vm;
    bool isUp = false;
};

struct PeerRoomSeen
{
    VmId vm;
    ZoneId zone;
    bool draining = false;
    RoomReport room;
    /// Of the sending process; not every test names one.
    std::optional<Incarnation> incarnation = std::nullopt;
};

struct OfferArrived
{
    VmId from;
    TaskOffer offer;
};

struct OfferEnded
{
    VmId from;
    TaskOfferEnded end;
};

struct OfferWithdrawn
{
    VmId from;
    TaskOfferWithdrawn withdrawal;
};

/// A ProbeUpstream has ended.
struct UpstreamProbed
{
    ZoneId zone;
    bool isReachable = false;
};

/// A planned stop begins.
struct StopRequested
{
};

/// The process did not run for a long time; what it believes is old.
struct ProcessPaused
{
    Duration length{};
};

/// The time from nextTimer() has come.
struct TimerDue
{
};

using FleetEvent =
        std::variant<JobArrived, CallerGone, UpstreamsSeen, UpstreamsUnread, MembersRead,
                     KeepersRead, KeepersWritten, StartAnswered, StopAnswered, LookAnswered,
                     LookFailed, PeerLink, PeerRoomSeen, OfferArrived, OfferEnded, OfferWithdrawn,
                     UpstreamProbed, StopRequested, ProcessPaused, TimerDue>;

} // namespace rattandock::fleet
