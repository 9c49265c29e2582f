#pragma once

#include <concepts>
#include <tuple>
#include <type_traits>

#include "rattandock/core/peer_message.hpp"

namespace rattandock::adapters::detail {

template <typename T, typename U>
concept Is = std::same_as<std::remove_const_t<T>, U>;

// The encoded fields of each type in order; reading and writing share them.

template <Is<core::Heartbeat> T>
auto fields(T &it)
{
    return std::tie(it.vm, it.incarnation, it.zone, it.monotonicTime, it.configuration,
                    it.queuedTasks, it.runningTasks, it.draining);
}

template <Is<core::Resources> T>
auto fields(T &it)
{
    return std::tie(it.cores, it.memory, it.accelerators);
}

template <Is<core::TaskSpec> T>
auto fields(T &it)
{
    return std::tie(it.payload, it.estimate, it.needs);
}

template <Is<core::JobSpec> T>
auto fields(T &it)
{
    return std::tie(it.id, it.team, it.deadline, it.tasks);
}

template <Is<core::Complete> T>
auto fields(T &it)
{
    return std::tie(it.results);
}

template <Is<core::Failed> T>
auto fields(T &it)
{
    return std::tie(it.reason, it.startedTasks);
}

template <Is<core::NotRun> T>
auto fields(T &it)
{
    return std::tie(it.reason, it.retryAfter);
}

template <Is<core::Unknown> T>
auto fields(T &it)
{
    return std::tie(it.reason);
}

template <Is<core::ForwardJob> T>
auto fields(T &it)
{
    return std::tie(it.forwardNumber, it.expectedIncarnation, it.job);
}

template <Is<core::ForwardedAnswer> T>
auto fields(T &it)
{
    return std::tie(it.forwardNumber, it.outcome);
}

template <Is<core::SlotEntry> T>
auto fields(T &it)
{
    return std::tie(it.upstream, it.count, it.measuredTime);
}

template <typename T>
concept SlotList = Is<T, core::SlotRequest> || Is<T, core::SlotGrant> || Is<T, core::SlotRelease>;

template <SlotList T>
auto fields(T &it)
{
    return std::tie(it.entries);
}

template <Is<core::HandoverRecord> T>
auto fields(T &it)
{
    return std::tie(it.id, it.digest, it.outcome);
}

template <Is<core::HandoverRecords> T>
auto fields(T &it)
{
    return std::tie(it.sealedVm, it.sealedIncarnation, it.records, it.last);
}

template <Is<core::HandoverPointer> T>
auto fields(T &it)
{
    return std::tie(it.sealedIncarnation, it.successor);
}

template <Is<core::ConfigurationDelta> T>
auto fields(T &it)
{
    return std::tie(it.version, it.changes);
}

/// Number of enumerators; the encoded value is below it.
template <typename Enum>
inline constexpr std::size_t enumeratorCount = 0;
template <>
inline constexpr std::size_t enumeratorCount<core::RefusalReason> = core::refusalReasonCount;
template <>
inline constexpr std::size_t enumeratorCount<core::FailureReason> = core::failureReasonCount;
template <>
inline constexpr std::size_t enumeratorCount<core::UnknownReason> = core::unknownReasonCount;

} // namespace rattandock::adapters::detail
