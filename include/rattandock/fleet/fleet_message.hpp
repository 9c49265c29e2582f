#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "rattandock/fleet/fleet_job.hpp"
#include "rattandock/fleet/upstream_entry.hpp"

namespace rattandock::fleet {

/// Room that one upstream has left.
struct FreeRoom
{
    /// Thousandths of a core.
    std::uint32_t cpu = 0;
    /// Run times there in percent of the callers' estimates.
    std::uint32_t timePercent = 100;

    friend bool operator==(const FreeRoom &, const FreeRoom &) = default;
};

/// Room at the sender, sent with each heartbeat.
struct RoomReport
{
    /// Upstreams with free room.
    std::vector<FreeRoom> free;
    /// Least time percent of all upstreams that take work, free or not; 0 if there are none.
    std::uint32_t fastestPercent = 0;
    /// Thousandths of a core of all upstreams that take work.
    std::uint64_t usableCpu = 0;
    /// Work of the tasks that wait, in thousandths of a core times microseconds.
    std::uint64_t queuedWork = 0;
};

/// Asks a VM to run some tasks of a job on its upstreams. One TaskOfferEnded follows, or the link
/// goes down. Size: the job plus 4 B a task.
struct TaskOffer
{
    /// Chosen by the sender; never reused by a process.
    std::uint64_t number = 0;
    /// Spans count from the sending.
    FleetJob job;
    std::vector<std::uint32_t> tasks;
    /// Run number of the first start.
    std::uint32_t firstRun = 1;
};

enum class OfferResult : std::uint8_t {
    /// All tasks are done.
    Done,
    /// A task has failed as often as allowed.
    Failed,
    /// No task was started, and none will be.
    NotRun,
    /// The tasks did not end in time; none runs any more or will.
    GivenUp,
};
inline constexpr std::size_t offerResultCount = 4;
std::string_view name(OfferResult result);

struct TaskOfferEnded
{
    std::uint64_t number = 0;
    OfferResult result{};
};

/// The sender of the offer needs it no more; its tasks are to be stopped.
struct TaskOfferWithdrawn
{
    std::uint64_t number = 0;
};

/// Changes of the platform's list of upstreams between two versions of the store, from the VM of
/// the zone that reads it. Sent at each read, so that the receivers know how old their list is.
/// Size: 40 B and about 150 B for each upstream that changed.
struct UpstreamChanges
{
    /// The receiver must know the list at this version or a later one.
    std::uint64_t after = 0;
    std::uint64_t version = 0;
    /// Time from the read of `version` to the sending.
    Duration age{};
    std::vector<UpstreamEntry> present;
    std::vector<UpstreamId> removed;
};

} // namespace rattandock::fleet
