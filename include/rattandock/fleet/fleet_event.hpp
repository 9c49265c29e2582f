#pragma once

#include <optional>
#include <set>
#include <variant>
#include <vector>

#include "rattandock/fleet/fleet_message.hpp"
#include "rattandock/fleet/membership.hpp"
#include "rattandock/fleet/run_report.hpp"
#include "rattandock/fleet/upstream_entry.hpp"
#include "rattandock/fleet/upstream_ledger.hpp"

namespace rattandock::fleet {

/// A caller submitted a job. The dispatcher returns one AnswerJob for it, unless the caller
/// disconnects first.
struct JobSubmitted
{
    CallerRequestId request;
    FleetJob job;
};

/// The caller's connection closed. The dispatcher stops the tasks that run for it.
struct CallerDisconnected
{
    CallerRequestId request;
};

/// A caller cancels a job of this VM. The job ends as failed and its tasks are stopped.
struct JobCancelled
{
    JobId job;
};

/// The platform's list of upstreams was read, by this VM or by the VM that reads it for the zone.
struct UpstreamListRead
{
    /// An upstream that is cold until a time; it is warm if the time is in the past.
    struct Cold
    {
        UpstreamId upstream;
        TimePoint until{};
    };

    /// Upstreams that were added or changed, or the complete list if `isWhole` is set.
    std::vector<UpstreamEntry> present;
    std::vector<UpstreamId> removed;
    /// `present` is the complete list; upstreams that are not in it were removed.
    bool isWhole = false;
    /// The list includes every change made before this time. If absent, the time of the event is
    /// used when `isWhole` is set; otherwise the age of the list stays unchanged.
    std::optional<TimePoint> asOf = std::nullopt;
    /// Upstreams whose entries state that they are cold, or no longer. Their entries may be
    /// unchanged apart from that and missing from `present`.
    std::vector<Cold> cold{};
};

/// A read of the platform's list of upstreams failed.
struct UpstreamListReadFailed
{
    /// When the read was sent.
    TimePoint sentAt{};
};

/// The operator's requests for the evacuation of availability zones were read.
struct EvacuationsRead
{
    /// Version of the store at which the set was read.
    std::uint64_t version = 0;
    /// All zones with a request.
    std::set<ZoneId> zones;
    /// When the read was sent. The set includes every request made before this time.
    TimePoint asOf{};
};

/// A read of the requests for evacuations failed.
struct EvacuationsReadFailed
{
    /// When the read was sent.
    TimePoint sentAt{};
};

/// A read of the table of members ended.
struct MembersRead
{
    /// The rows that were read, or `std::nullopt` if the read failed.
    std::optional<std::vector<MemberRow>> rows;
    /// The rows are all rows of this zone, or of all zones if absent.
    std::optional<ZoneId> zone = std::nullopt;
    /// When the read was sent; the time of the event if absent.
    std::optional<TimePoint> sentAt = std::nullopt;
};

/// A read of a table of keepers succeeded.
struct KeepersRead
{
    std::vector<KeeperRow> rows;
    /// `rows` holds all rows of the table, not only those that changed.
    bool isWhole = false;
    /// The rows come from the table of this zone, or from all tables if absent.
    std::optional<ZoneId> zone = std::nullopt;
};

/// A WriteKeepers action ended.
struct KeeperWriteCompleted
{
    ZoneId zone;
    /// Whether the write was committed, or `std::nullopt` if its outcome is unknown.
    std::optional<bool> committed;
    /// The written rows after a commit, otherwise those current rows that the store returned.
    std::vector<KeeperRow> rows;
};

/// A StartOrder was answered, or failed without an answer.
struct StartOrderCompleted
{
    UpstreamId upstream;
    RunName name;
    RunNumber number;
    OrderResult result{};
    /// The upstream's clock, if its answer contains it.
    std::optional<UpstreamTime> clock;
};

/// A StopOrder was answered, or failed without an answer.
struct StopOrderCompleted
{
    UpstreamId upstream;
    RunName name;
    RunNumber number;
    OrderResult result{};
};

/// An upstream answered a PollOrder with a report of its runs.
struct RunReportReceived
{
    UpstreamId upstream;
    PollNumber number;
    RunReport report;
};

/// A PollOrder failed or was rejected, so there is no report.
struct RunReportFailed
{
    UpstreamId upstream;
    PollNumber number;
    OrderResult result{};
};

/// The link to another VM was established or lost. Task offers that were sent over a lost link are
/// cancelled at both ends.
struct PeerLinkChanged
{
    VmId vm;
    bool isUp = false;
};

/// The connection over which another VM sent its messages ended, after its last message. The link
/// to that VM may still be up. Task offers between the two VMs are cancelled, as the other end
/// cancels its part when it notices the same.
struct PeerInputClosed
{
    VmId vm;
};

/// A heartbeat from another VM was received.
struct PeerCapacityReported
{
    VmId vm;
    ZoneId zone;
    /// The VM is being stopped, so no more offers are sent to it.
    bool draining = false;
    CapacityReport room;
    /// Incarnation of the sending process. Some tests leave it out.
    std::optional<Incarnation> incarnation = std::nullopt;
    /// Revision of the messages that the VM supports, see fleetRevision.
    std::uint64_t revision = 0;
};

/// Another VM asks this one to run some tasks of a job.
struct OfferReceived
{
    VmId from;
    TaskOffer offer;
    /// Set if the tasks may wait in this VM's queue for so long.
    std::optional<Duration> startWithin = std::nullopt;
};

/// Another VM answered an offer of this VM.
struct OfferEnded
{
    VmId from;
    TaskOfferEnded end;
};

/// Another VM sent the zones that the operator evacuates.
struct EvacuationStateReceived
{
    VmId from;
    EvacuationState state;
};

/// Another VM withdrew an offer that it had sent to this VM.
struct OfferWithdrawn
{
    VmId from;
    TaskOfferWithdrawn withdrawal;
};

/// Another VM returned some tasks of an offer of this VM.
struct OfferedTasksReturned
{
    VmId from;
    TasksReturned returned;
};

/// Another VM of the zone reported how far it trusts an upstream.
struct SuspicionReceived
{
    VmId from;
    UpstreamSuspicion suspicion;
};

/// Another VM of the zone reported upstreams that turned cold or warm.
struct ColdUpstreamsReceived
{
    VmId from;
    ColdUpstreams report;
};

/// A ProbeUpstream action ended.
struct UpstreamProbed
{
    ZoneId zone;
    bool isReachable = false;
};

/// A planned stop of the process was requested.
struct StopRequested
{
};

/// The process did not run for `length`, so its view of upstreams, members and jobs may be stale.
struct ProcessPaused
{
    Duration length{};
};

/// The time that nextTimer() returned was reached.
struct TimerDue
{
};

using FleetEvent =
        std::variant<JobSubmitted, CallerDisconnected, JobCancelled, UpstreamListRead,
                     UpstreamListReadFailed, EvacuationsRead, EvacuationsReadFailed, MembersRead,
                     KeepersRead, KeeperWriteCompleted, StartOrderCompleted, StopOrderCompleted,
                     RunReportReceived, RunReportFailed, PeerLinkChanged, PeerInputClosed,
                     PeerCapacityReported, SuspicionReceived, ColdUpstreamsReceived, OfferReceived,
                     OfferEnded, OfferWithdrawn, EvacuationStateReceived, OfferedTasksReturned,
                     UpstreamProbed, StopRequested, ProcessPaused, TimerDue>;

} // namespace rattandock::fleet
