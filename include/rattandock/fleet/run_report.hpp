#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "rattandock/base/strong_value.hpp"
#include "rattandock/base/time.hpp"
#include "rattandock/fleet/run_name.hpp"

namespace rattandock::fleet {

/// Number of an attempt to run a task, from 1. An upstream refuses to start a run whose number is
/// not higher than that of an ended run of the task.
using RunNumber = StrongValue<struct RunNumberTag, std::uint32_t>;
/// Fencing token of an order. An upstream refuses orders with a lower token than the highest
/// received.
using FencingToken = StrongValue<struct FencingTokenTag, std::uint64_t>;
/// Time on the steady clock of an upstream.
using UpstreamTime = StrongValue<struct UpstreamTimeTag, Duration>;
/// Identifies an upstream process by its start. A restarted process has no runs, an empty list of
/// ended runs and a new clock.
using UpstreamProcessStart = StrongValue<struct UpstreamProcessStartTag, std::uint64_t>;
/// Position in an upstream's list of ended runs.
using EndNumber = StrongValue<struct EndNumberTag, std::uint64_t>;

enum class RunEndKind : std::uint8_t {
    Done,
    /// The task or the upstream failed.
    Failed,
    Stopped,
    /// The lease expired, or the upstream lost the run.
    Lapsed,
    /// Another member of the run's group ended.
    Broken,
    /// The other members of the run's group did not start in time.
    Alone,
    /// The upstream's process ended while the run was active. Not reported by upstreams.
    Crashed,
};

struct ActiveRun
{
    RunName name;
    RunNumber number;

    friend bool operator==(const ActiveRun &, const ActiveRun &) = default;
};

struct ActiveRunHash
{
    std::size_t operator()(const ActiveRun &it) const
    {
        return std::hash<RunName>{}(it.name) * 31U + it.number.value();
    }
};

struct EndedRun
{
    EndNumber position;
    RunName name;
    RunNumber number;
    RunEndKind kind{};

    friend bool operator==(const EndedRun &, const EndedRun &) = default;
};

/// An upstream's report of its active and ended runs.
struct RunReport
{
    UpstreamTime clock;
    /// Zero if the upstream does not report it.
    UpstreamProcessStart processStart;
    std::vector<ActiveRun> active;
    /// Ended runs that were not acknowledged yet, in ascending order of position.
    std::vector<EndedRun> ended;
    /// True if more runs may have ended than `ended` lists. The next report lists them, once these
    /// are acknowledged.
    bool hasMoreEnds = false;

    friend bool operator==(const RunReport &, const RunReport &) = default;
};

/// Outcome of an order to an upstream.
enum class OrderResult : std::uint8_t {
    Done,
    /// The upstream has received a higher token.
    Fenced,
    /// The number of the run is not higher than that of an ended run of the task.
    OldRun,
    /// The lease in the order had already expired on the upstream's clock.
    Late,
    /// The run does not fit into the free capacity of the upstream.
    NoRoom,
    /// Another incarnation answers at the upstream's address.
    OtherIncarnation,
    /// The upstream is unhealthy and has not executed the order.
    Unhealthy,
    /// The upstream considers the order invalid.
    Rejected,
    /// No reply was received. The order may have been executed, or may still be executed later.
    NoAnswer,
    /// No connection was established, so the order was not sent.
    NotSent,
    /// The upstream's host refused the connection, so the order was not sent: no process listens at
    /// the address.
    ConnectionRefused,
};
inline constexpr std::size_t orderResultCount = 11;
/// Returns the reason text for the result, for logs and metrics.
std::string_view name(OrderResult result);

} // namespace rattandock::fleet
