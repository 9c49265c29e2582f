#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "rattandock/fleet/fleet_job.hpp"
#include "rattandock/fleet/run_report.hpp"
#include "rattandock/fleet/upstream_entry.hpp"
#include "rattandock/fleet/upstream_trust.hpp"

namespace rattandock::fleet {

/// Free capacity of one upstream.
struct FreeCapacity
{
    /// Thousandths of a core.
    std::uint32_t cpu = 0;
    /// Run times on this upstream in percent of the callers' estimates.
    std::uint32_t runTimePercent = 100;

    friend bool operator==(const FreeCapacity &, const FreeCapacity &) = default;
};

/// Free capacity and load of the sender. Sent with each heartbeat.
struct CapacityReport
{
    /// Upstreams of the sender that have free CPU capacity.
    std::vector<FreeCapacity> free;
    /// Lowest `runTimePercent` of all upstreams that accept work, including busy ones; 0 if there
    /// are none.
    std::uint32_t fastestPercent = 0;
    /// Total capacity of all upstreams that accept work, in thousandths of a core.
    std::uint64_t usableCpu = 0;
    /// Expected work of the waiting tasks, in thousandths of a core times microseconds.
    std::uint64_t queuedWork = 0;
};

/// Revision of the messages between the VMs of a fleet. Heartbeats carry it. A VM sends a message
/// only to VMs of a revision that supports it, because a receiver closes the link on an unknown
/// one.
///   0: builds that send no revision.
///   1: TasksReturned, QueuedTaskOffer, and an answer to each TaskOfferWithdrawn.
///   2: ColdUpstreams.
///   3: UpstreamChangesRequest.
inline constexpr std::uint64_t fleetRevision = 3;
inline constexpr std::uint64_t coldUpstreamsRevision = 2;
inline constexpr std::uint64_t changesRequestRevision = 3;

/// Asks a VM to run some tasks of a job on its upstreams. The receiver answers with one
/// TaskOfferEnded unless the link is lost first. Size: the job plus 4 B for each task.
struct TaskOffer
{
    /// Assigned by the sender. A process never reuses a number.
    std::uint64_t number = 0;
    /// Its durations, such as the deadline, count from the time of sending.
    FleetJob job;
    /// Indices of the offered tasks in the job.
    std::vector<std::uint32_t> tasks;
    /// The receiver numbers the runs of each task from here.
    std::uint32_t firstRun = 1;
};

/// How the receiver of an offer ended it.
enum class OfferResult : std::uint8_t {
    /// All tasks completed.
    Done,
    /// A task failed as many times as the job allows.
    Failed,
    /// No task was started, and none will be started.
    NotRun,
    /// Not all tasks completed in time. No task is running, and none will be started.
    GivenUp,
};
inline constexpr std::size_t offerResultCount = 4;
std::string_view name(OfferResult result);

/// Answers a TaskOffer.
struct TaskOfferEnded
{
    std::uint64_t number = 0;
    OfferResult result{};
};

/// Withdraws an offer. The receiver stops the tasks of the offer and, if the offer had not ended,
/// answers with a TaskOfferEnded: NotRun if no task was started, else GivenUp.
struct TaskOfferWithdrawn
{
    std::uint64_t number = 0;
};

/// An offer whose tasks may wait in the receiver's queue, ordered together with the receiver's own
/// jobs. Sent to VMs of revision 1 or later.
struct QueuedTaskOffer
{
    TaskOffer offer;
    /// Tasks that have not started within this time are returned.
    Duration startWithin{};
};

/// Returns tasks of an offer that were not started in time, while other tasks of the offer were.
/// The returned tasks are not running and will not be started by the sender. The offer stays open
/// for the other tasks. Sent to VMs of revision 1 or later. Size: 16 B plus 4 B for each task.
struct TasksReturned
{
    std::uint64_t number = 0;
    /// Indices of the returned tasks in the job.
    std::vector<std::uint32_t> tasks;
    /// The runs of the returned tasks had numbers below this one.
    std::uint32_t nextRun = 1;
};

/// Delta of the platform's list of upstreams between two versions of the store. It is sent by the
/// VM that reads the list for its zone, after each read and also when nothing changed, so that the
/// receivers can compute the age of their list. Size: 40 B and about 150 B for each changed
/// upstream.
struct UpstreamChanges
{
    /// The delta starts at this version. A receiver whose list is older must not apply it.
    std::uint64_t after = 0;
    std::uint64_t version = 0;
    /// Time between the read of `version` and the sending of this message.
    Duration age{};
    std::vector<UpstreamEntry> present;
    std::vector<UpstreamId> removed;
};

/// Asks a VM of another zone for the changes of the list of upstreams since `version`. It is sent
/// to the linked VMs of other zones of revision 3 or later while no VM of the own zone can read the
/// list. The receiver answers with UpstreamChanges if it has them. Size: 8 B.
struct UpstreamChangesRequest
{
    std::uint64_t version = 0;
};

/// The zones that the operator evacuates, by the sender's last read. It is sent to each linked VM
/// when the set changes and after the link has come up, so that a VM that cannot read the store
/// learns the set. Size: 24 B and the names of the zones.
struct EvacuationState
{
    /// Version of the store at which the set was read.
    std::uint64_t version = 0;
    std::vector<ZoneId> zones;
    /// Time between the sending of the read and the sending of this message.
    Duration age{};
};

/// How much longer an upstream is slow because its process started recently.
struct ColdUpstream
{
    UpstreamId upstream;
    /// Time from the sending of the message; zero if the upstream is warm.
    Duration left{};
};

/// Upstreams that turned cold, or warm before the time that was sent earlier. Sent to the linked
/// VMs of revision 2 or later in the own zone by a VM that read it from the store, as entries in
/// UpstreamChanges do not contain it. Size: 8 B and about 30 B for each upstream.
struct ColdUpstreams
{
    std::vector<ColdUpstream> upstreams;
};

/// How far the keeper of an upstream trusts it. Sent to the linked VMs of the upstream's zone at
/// each change and when the keeper gives up the upstream, for the next keeper. Size: about 60 B.
struct UpstreamSuspicion
{
    UpstreamId upstream;
    /// The process that the runs were started on. What it did says nothing about another one.
    UpstreamProcessStart processStart;
    UpstreamTrust state;
    /// Time from the last counted failure to the sending of this message.
    Duration age{};
};

} // namespace rattandock::fleet
