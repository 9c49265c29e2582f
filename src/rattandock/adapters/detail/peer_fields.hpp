#pragma once

#include <concepts>
#include <tuple>
#include <type_traits>

#include "rattandock/core/peer_message.hpp"

namespace rattandock::adapters::detail {

template <typename T, typename U>
concept Is = std::same_as<std::remove_const_t<T>, U>;

// The encoded fields of each type in order; reading and writing share them. A structured binding
// names every field of its type, so a field that is added to a message and not here fails to
// compile instead of being lost on the way.

template <Is<core::Heartbeat> T>
auto fields(T &it)
{
    auto &[vm, incarnation, zone, monotonicTime, configuration, queuedTasks, runningTasks, draining,
           room] = it;
    return std::tie(vm, incarnation, zone, monotonicTime, configuration, queuedTasks, runningTasks,
                    draining, room);
}

template <Is<fleet::FreeCapacity> T>
auto fields(T &it)
{
    auto &[cpu, runTimePercent] = it;
    return std::tie(cpu, runTimePercent);
}

template <Is<fleet::CapacityReport> T>
auto fields(T &it)
{
    auto &[free, fastestPercent, usableCpu, queuedWork] = it;
    return std::tie(free, fastestPercent, usableCpu, queuedWork);
}

template <Is<fleet::Resources> T>
auto fields(T &it)
{
    auto &[cpu, memory, accelerators] = it;
    return std::tie(cpu, memory, accelerators);
}

template <Is<fleet::FleetJob> T>
auto fields(T &it)
{
    // `predicted` and `stretch` are not sent, see FleetJob.
    auto &[id, queue, service, payload, taskCount, need, estimate, predicted, requiredLabel,
           preferredRack, maxPerUpstream, deadline, objective, stretch, maxAttempts, priority] = it;
    return std::tie(id, queue, service, payload, taskCount, need, estimate, requiredLabel,
                    preferredRack, maxPerUpstream, deadline, objective, maxAttempts, priority);
}

template <Is<fleet::TaskOffer> T>
auto fields(T &it)
{
    auto &[number, job, tasks, firstRun] = it;
    return std::tie(number, job, tasks, firstRun);
}

template <Is<fleet::TaskOfferEnded> T>
auto fields(T &it)
{
    auto &[number, result] = it;
    return std::tie(number, result);
}

template <Is<fleet::TaskOfferWithdrawn> T>
auto fields(T &it)
{
    auto &[number] = it;
    return std::tie(number);
}

template <Is<fleet::QueuedTaskOffer> T>
auto fields(T &it)
{
    auto &[offer, startWithin] = it;
    return std::tie(offer, startWithin);
}

template <Is<fleet::TasksReturned> T>
auto fields(T &it)
{
    auto &[number, tasks, nextRun] = it;
    return std::tie(number, tasks, nextRun);
}

template <Is<fleet::UpstreamEntry> T>
auto fields(T &it)
{
    // `coldLeft` is not sent: former builds refuse unknown fields, and it is outdated on arrival.
    auto &[id, service, zone, address, draining, capacity, labels, coldLeft] = it;
    return std::tie(id, service, zone, address, draining, capacity, labels);
}

template <Is<fleet::UpstreamChanges> T>
auto fields(T &it)
{
    auto &[after, version, age, present, removed] = it;
    return std::tie(after, version, age, present, removed);
}

template <Is<fleet::UpstreamChangesRequest> T>
auto fields(T &it)
{
    auto &[version] = it;
    return std::tie(version);
}

template <Is<fleet::EvacuationState> T>
auto fields(T &it)
{
    auto &[version, zones, age] = it;
    return std::tie(version, zones, age);
}

template <Is<fleet::UpstreamTrust> T>
auto fields(T &it)
{
    auto &[level, runLimit, pause] = it;
    return std::tie(level, runLimit, pause);
}

template <Is<fleet::UpstreamSuspicion> T>
auto fields(T &it)
{
    auto &[upstream, processStart, state, age] = it;
    return std::tie(upstream, processStart, state, age);
}

template <Is<fleet::ColdUpstream> T>
auto fields(T &it)
{
    auto &[upstream, left] = it;
    return std::tie(upstream, left);
}

template <Is<fleet::ColdUpstreams> T>
auto fields(T &it)
{
    auto &[upstreams] = it;
    return std::tie(upstreams);
}

template <Is<core::Resources> T>
auto fields(T &it)
{
    auto &[cores, memory, accelerators] = it;
    return std::tie(cores, memory, accelerators);
}

template <Is<core::TaskSpec> T>
auto fields(T &it)
{
    auto &[payload, estimate, needs] = it;
    return std::tie(payload, estimate, needs);
}

template <Is<core::JobSpec> T>
auto fields(T &it)
{
    auto &[id, team, deadline, tasks] = it;
    return std::tie(id, team, deadline, tasks);
}

template <Is<core::Complete> T>
auto fields(T &it)
{
    auto &[results] = it;
    return std::tie(results);
}

template <Is<core::Failed> T>
auto fields(T &it)
{
    auto &[reason, startedTasks] = it;
    return std::tie(reason, startedTasks);
}

template <Is<core::NotRun> T>
auto fields(T &it)
{
    auto &[reason, retryAfter] = it;
    return std::tie(reason, retryAfter);
}

template <Is<core::Unknown> T>
auto fields(T &it)
{
    auto &[reason] = it;
    return std::tie(reason);
}

template <Is<core::ForwardJob> T>
auto fields(T &it)
{
    auto &[forwardNumber, expectedIncarnation, job] = it;
    return std::tie(forwardNumber, expectedIncarnation, job);
}

template <Is<core::ForwardedAnswer> T>
auto fields(T &it)
{
    auto &[forwardNumber, outcome] = it;
    return std::tie(forwardNumber, outcome);
}

template <Is<core::SlotEntry> T>
auto fields(T &it)
{
    auto &[upstream, count, measuredTime] = it;
    return std::tie(upstream, count, measuredTime);
}

template <typename T>
concept SlotList = Is<T, core::SlotRequest> || Is<T, core::SlotGrant> || Is<T, core::SlotRelease>;

template <SlotList T>
auto fields(T &it)
{
    auto &[entries] = it;
    return std::tie(entries);
}

template <Is<core::HandoverRecord> T>
auto fields(T &it)
{
    auto &[id, digest, outcome] = it;
    return std::tie(id, digest, outcome);
}

template <Is<core::HandoverRecords> T>
auto fields(T &it)
{
    auto &[sealedVm, sealedIncarnation, sender, coversTokensIssuedAfter, keepFor, heldSets, batch,
           records, last] = it;
    return std::tie(sealedVm, sealedIncarnation, sender, coversTokensIssuedAfter, keepFor, heldSets,
                    batch, records, last);
}

template <Is<core::HandoverPointer> T>
auto fields(T &it)
{
    auto &[sealedIncarnation, successor] = it;
    return std::tie(sealedIncarnation, successor);
}

template <Is<core::ConfigurationDelta> T>
auto fields(T &it)
{
    auto &[version, changes] = it;
    return std::tie(version, changes);
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
template <>
inline constexpr std::size_t enumeratorCount<fleet::OfferResult> = fleet::offerResultCount;
template <>
inline constexpr std::size_t enumeratorCount<fleet::TrustLevel> = fleet::trustLevelCount;

} // namespace rattandock::adapters::detail
