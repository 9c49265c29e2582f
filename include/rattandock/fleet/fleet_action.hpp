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

/// Why a job was rejected before any of its tasks started.
enum class TurnAwayReason : std::uint8_t {
    /// The job is expected to end after its objective or after the caller's deadline.
    Overload,
    /// There is no upstream that may run the job's service.
    NoUpstreams,
    /// No upstream both is large enough for a task and has the required label.
    NothingFits,
    /// The deadline passed before an upstream had room.
    DeadlinePassed,
    /// The VM is being stopped.
    Stopping,
    /// The VM's process was paused, so its view of the fleet may be stale.
    Paused,
    /// No upstream had room within the share of the caller's deadline that a job may spend waiting.
    WaitedTooLong,
    /// The job waited, and jobs with more value per work are predicted to use the capacity until it
    /// can no longer be served in a useful time.
    Yielded,
};
inline constexpr std::size_t turnAwayReasonCount = 8;
std::string_view name(TurnAwayReason reason);

/// Why a job was aborted after some of its tasks may have started.
enum class BreakOffReason : std::uint8_t {
    DeadlinePassed,
    /// The link to a VM that runs some of the job's tasks, or that offered them, was lost.
    PeerLost,
    Stopping,
    Paused,
    /// A job with the same id was submitted on another connection.
    Resubmitted,
};
inline constexpr std::size_t breakOffReasonCount = 5;
std::string_view name(BreakOffReason reason);

enum class FailureReason : std::uint8_t {
    /// A task failed as many times as the job allows, or an upstream rejected it.
    Attempts,
    /// Upstreams crashed under a task repeatedly.
    UpstreamCrashes,
    /// The caller has cancelled the job.
    Cancelled,
};
inline constexpr std::size_t failureReasonCount = 3;
std::string_view name(FailureReason reason);

struct JobCompleted
{
};
/// The job is not tried again.
struct JobFailed
{
    FailureReason reason = FailureReason::Attempts;
};
/// The job was rejected. None of its tasks has run or will run.
struct JobTurnedAway
{
    TurnAwayReason reason{};
    /// The caller should wait this long before it submits the job again.
    Duration retryAfter{};
};
/// The job was aborted. Some of its tasks may have started; those that still run are being stopped.
struct JobBrokenOff
{
    BreakOffReason reason{};
};
using JobEnd = std::variant<JobCompleted, JobFailed, JobTurnedAway, JobBrokenOff>;

/// Answers the caller of a job.
struct AnswerJob
{
    CallerRequestId request;
    JobId job;
    JobEnd end;
};

/// Orders an upstream to run a task. The order must be sent once and never retried. A
/// StartOrderCompleted event reports the result.
struct StartOrder
{
    UpstreamId upstream;
    RunName name;
    RunNumber number;
    FencingToken token;
    /// End of the run's lease on the upstream's clock.
    UpstreamTime leaseUntil;
    std::string payload;
};

/// Sends a message to another VM over its link.
struct SendToVm
{
    VmId vm;
    std::variant<TaskOffer, TaskOfferEnded, TaskOfferWithdrawn, EvacuationState, QueuedTaskOffer,
                 TasksReturned, UpstreamSuspicion, ColdUpstreams>
            message;
};

/// Writes keeper rows of one zone if the stored versions still match those in `rows`. A
/// KeeperWriteCompleted event reports the result.
struct WriteKeepers
{
    ZoneId zone;
    /// New values. `version` is the version of the row to be replaced, 0 for a new row.
    std::vector<KeeperRow> rows;
};

/// Connects to an upstream to check whether its zone can be reached. An UpstreamProbed event
/// reports the result.
struct ProbeUpstream
{
    ZoneId zone;
    /// `IP:PORT`.
    std::string address;
};

/// Kind of a decision in the log and in metrics. The kinds appear there under the names that
/// name() returns.
enum class FleetLogRecordKind : std::uint8_t {
    JobTurnedAway,
    JobBrokenOff,
    JobFailed,
    JobCompleted,
    TasksOffered,
    /// Recorded by the VM that offered tasks when the other VM did not run them or was lost.
    OfferEnded,
    /// Recorded by the VM that accepted offered tasks when it reports their result.
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
    /// This VM learned that the operator evacuates a zone, or no longer does.
    EvacuationRequested,
    EvacuationWithdrawn,
    /// A new keeper starts from the previous one's record of the upstream.
    SuspicionAdopted,
    /// Most upstreams of a zone are quarantined, or no longer.
    QuarantineWidespread,
    /// A kept upstream turned cold, or warm before the stated time.
    UpstreamCold,
    /// The work of upstreams that stood idle is limited after the evacuation of their zone.
    UpstreamsLimited,
    /// A run ended in time on such an upstream.
    UpstreamLimitRaised,
};
inline constexpr std::size_t fleetLogRecordKindCount = 23;
std::string_view name(FleetLogRecordKind kind);

/// A decision with its inputs. It is logged and counted by kind and reason.
struct FleetLogRecord
{
    FleetLogRecordKind kind{};
    std::string_view reason;
    JobId job;
    std::string detail;
};

/// Sends a heartbeat to linked VMs before the next regular one is due.
struct SendHeartbeat
{
    std::vector<VmId> vms;
};

/// This VM sends no further orders to the upstream at this address, as another one may keep it now.
struct ReleaseConnections
{
    /// `IP:PORT`.
    std::string address;
};

/// Closes the connections to and from all other VMs, with what they have not delivered. They are
/// set up again.
struct ResetPeerConnections
{
};

using FleetAction = std::variant<StartOrder, PollOrder, StopOrder, AnswerJob, SendToVm,
                                 SendHeartbeat, WriteKeepers, ProbeUpstream, ResetPeerConnections,
                                 ReleaseConnections, FleetLogRecord>;
using FleetActions = std::vector<FleetAction>;

} // namespace rattandock::fleet
