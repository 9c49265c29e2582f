#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "rattandock/fleet/fleet_message.hpp"
#include "rattandock/fleet/membership.hpp"
#include "rattandock/fleet/upstream_ledger.hpp"

namespace rattandock::fleet {

/// Why a job was turned away before any of its tasks started.
enum class TurnedAway : std::uint8_t {
    /// It would end after its objective, or the caller's deadline.
    Overload,
    /// No upstream that may run it is known.
    NoUpstreams,
    /// No upstream is large enough or has the label.
    NothingFits,
    /// The deadline came before there was room.
    DeadlinePassed,
    /// The VM stops.
    Stopping,
    /// The VM was paused and cannot tell what happened meanwhile.
    Paused,
    /// There was no room within the part of the caller's time that a job may wait.
    WaitedTooLong,
};
inline constexpr std::size_t turnedAwayCount = 7;
std::string_view name(TurnedAway reason);

/// Why a job whose tasks may have started has no result.
enum class BrokenOff : std::uint8_t {
    DeadlinePassed,
    /// The VM that ran some of its tasks cannot be reached.
    PeerLost,
    Stopping,
    Paused,
    /// The id was submitted again on another connection.
    Resubmitted,
};
inline constexpr std::size_t brokenOffCount = 5;
std::string_view name(BrokenOff reason);

struct JobCompleted
{
};
/// A task failed as often as allowed.
struct JobFailed
{
};
/// Nothing of the job has run or will run.
struct JobTurnedAway
{
    TurnedAway reason{};
    Duration retryAfter{};
};
/// Tasks may have started; none runs any more, or is being stopped.
struct JobBrokenOff
{
    BrokenOff reason{};
};
using JobEnd = std::variant<JobCompleted, JobFailed, JobTurnedAway, JobBrokenOff>;

struct AnswerJob
{
    CallerRequestId request;
    JobId job;
    JobEnd end;
};

/// Order an upstream to run a task. Sent once; StartAnswered follows.
struct StartOrder
{
    UpstreamId upstream;
    RunName name;
    RunNumber number;
    FencingToken token;
    UpstreamTime leaseUntil;
    std::string payload;
};

struct SendToVm
{
    VmId vm;
    std::variant<TaskOffer, TaskOfferEnded, TaskOfferWithdrawn> message;
};

/// Write rows of one zone if their versions are still those of `rows`, with the new keeper.
struct WriteKeepers
{
    ZoneId zone;
    /// New values; `version` is that of the row to be replaced, 0 for a new row.
    std::vector<KeeperRow> rows;
};

/// Connect to an upstream to see whether its zone can be reached; UpstreamProbed follows.
struct ProbeUpstream
{
    ZoneId zone;
    /// `IP:PORT`.
    std::string address;
};

/// What a decision was about.
enum class FleetNoteKind : std::uint8_t {
    JobTurnedAway,
    JobBrokenOff,
    JobFailed,
    JobCompleted,
    TasksOffered,
    /// What another VM made of offered tasks, at the VM that offered them.
    OfferEnded,
    /// What became of offered tasks, at the VM that took them.
    OfferAnswered,
    RunRepeated,
    UpstreamClaimed,
    UpstreamReleased,
    UpstreamLost,
    UpstreamGone,
    UpstreamSetAside,
    UpstreamRestored,
    PeerLink,
    Paused,
};
inline constexpr std::size_t fleetNoteKindCount = 16;
std::string_view name(FleetNoteKind kind);

/// A decision with its inputs, to be counted by kind and reason and logged.
struct FleetNote
{
    FleetNoteKind kind{};
    std::string_view reason;
    JobId job;
    std::string detail;
};

using FleetAction = std::variant<StartOrder, PollOrder, StopOrder, AnswerJob, SendToVm,
                                 WriteKeepers, ProbeUpstream, FleetNote>;
using FleetActions = std::vector<FleetAction>;

} // namespace rattandock::fleet
