#pragma once

#include <cstdint>

#include "rattandock/base/ids.hpp"
#include "rattandock/base/time.hpp"
#include "rattandock/core/home_token.hpp"
#include "rattandock/core/placement_policy.hpp"

namespace rattandock::core {

using namespace std::chrono_literals;

/// Limits and durations of the decision core. The defaults match docs/settings.md.
struct DispatcherOptions
{
    VmId vm;
    ZoneId zone;
    Incarnation incarnation;
    TokenSecret tokenSecret{};

    /// Time after the issue of a token during which its first submission is accepted.
    Duration tokenLifetime = 60s;
    /// Time for which a record is kept after its token expired. Also the longest deadline of a job.
    Duration recordGrace = 60s;
    /// Time during which a key-form caller may resubmit a key.
    Duration keyValidity = 600s;
    /// Longest time from sending a key-form submission to its processing, including forwarding
    /// between VMs. Records and the quarantine of keys last longer than the key validity by this
    /// time. A VM that was paused for a quarter of this time answers `unknown` to keys for another
    /// quarter of it, because it cannot determine how long they waited during the pause.
    Duration keyTransitTime = 60s;
    /// Time after its deadline for which a forwarded request still waits for the home's answer.
    Duration forwardMargin = 2s;
    /// If set, key-form ids are accepted only while this VM holds a lease on their range in the
    /// platform's table. If not set, as for a single VM, all key-form ids are accepted.
    bool keyRanges = false;
    /// Number of key ranges. It determines the range of a key, so it must be the same on all VMs
    /// and must not change.
    std::uint32_t keyRangeCount = 1024;
    /// Duration of a key-range lease, counted from a time just before its renewal was sent.
    Duration lease = 600s;
    Duration leaseRenewal = 60s;
    /// Timeout of a read or transaction on the platform's table.
    Duration tableTimeout = 5s;
    /// Delay before the next attempt after a failed read or transaction.
    Duration tableRetry = 1s;
    std::size_t maxRecords = 500'000;
    /// Maximum total size of the answer bodies that are kept for resubmissions of ended jobs.
    Bytes answerStore{64U << 20U};

    std::size_t maxQueuedTasks = 20'000;
    Bytes maxQueuedBytes{256U << 20U};
    PlacementPolicyKind placement = PlacementPolicyKind::SpeedAware;
    /// Re-sends of tasks that were not started, as a share of first starts.
    double retryBudgetShare = 0.1;
    /// Mean delay of the first re-send of a task.
    Duration retryBackoff = 10ms;
    /// Time after the deadline of its job for which an attempt of an ended job keeps its
    /// connection. Until the reply arrives, the slot of the upstream counts as busy.
    Duration replyGrace = 10s;
    /// Maximum time that a planned stop waits for running jobs and for a successor.
    Duration stopLimit = 30s;
    /// A successor that confirms no records for this time is replaced by another peer.
    Duration handoverTimeout = 1s;
    /// Maximum number of records in one handover message.
    std::size_t handoverBatchRecords = 1000;
};

} // namespace rattandock::core
