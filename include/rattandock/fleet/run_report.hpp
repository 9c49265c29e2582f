#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "rattandock/base/strong_value.hpp"
#include "rattandock/base/time.hpp"
#include "rattandock/fleet/run_name.hpp"

namespace rattandock::fleet {

/// Numbers the starts of a task, from 1; an upstream refuses a number that it has ended.
using RunNumber = StrongValue<struct RunNumberTag, std::uint32_t>;
/// An upstream refuses orders with a lower token than the highest it has seen.
using FencingToken = StrongValue<struct FencingTokenTag, std::uint64_t>;
/// A time on an upstream's own steady clock.
using UpstreamTime = StrongValue<struct UpstreamTimeTag, Duration>;
/// One life of an upstream process; its runs, ends and clock start anew with it.
using UpstreamLifeStart = StrongValue<struct UpstreamLifeStartTag, std::uint64_t>;
/// Position in an upstream's list of ends.
using EndNumber = StrongValue<struct EndNumberTag, std::uint64_t>;

enum class RunEndKind : std::uint8_t {
    Done,
    /// Through the task's own fault or the upstream's.
    Failed,
    Stopped,
    /// The lease ran out.
    Lapsed,
    /// Another member of the group ended.
    Broken,
    /// The other members of the group did not come.
    Alone,
};

struct ActiveRun
{
    RunName name;
    RunNumber number;

    friend bool operator==(const ActiveRun &, const ActiveRun &) = default;
};

struct EndedRun
{
    EndNumber position;
    RunName name;
    RunNumber number;
    RunEndKind how{};

    friend bool operator==(const EndedRun &, const EndedRun &) = default;
};

/// What an upstream says of its runs.
struct RunReport
{
    UpstreamTime clock;
    /// Nothing if the upstream does not say.
    UpstreamLifeStart life;
    std::vector<ActiveRun> active;
    /// In rising order of position; those that were acknowledged are left out.
    std::vector<EndedRun> ended;

    friend bool operator==(const RunReport &, const RunReport &) = default;
};

/// How an upstream answered an order.
enum class OrderResult : std::uint8_t {
    Done,
    /// A higher token was seen there.
    Fenced,
    /// The run's number is not higher than that of an ended run.
    OldRun,
    /// The lease of the order had already run out on the upstream's clock.
    Late,
    NoRoom,
    /// Another incarnation is at that address.
    OtherIncarnation,
    /// The upstream is unhealthy and has done nothing.
    Unhealthy,
    /// The upstream takes the order for wrong.
    Rejected,
    /// No answer; the order may have been carried out, or may be later.
    NoAnswer,
    /// No connection was made, so the order was not sent.
    NotSent,
};
inline constexpr std::size_t orderResultCount = 10;
std::string_view name(OrderResult result);

} // namespace rattandock::fleet
