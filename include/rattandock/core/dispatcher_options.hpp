#pragma once

#include <cstdint>

#include "rattandock/base/ids.hpp"
#include "rattandock/base/time.hpp"
#include "rattandock/core/home_token.hpp"
#include "rattandock/core/placement_policy.hpp"

namespace rattandock::core {

using namespace std::chrono_literals;

/// Bounds and times of the decision core. The defaults are those of docs/settings.md.
struct DispatcherOptions
{
    VmId vm;
    ZoneId zone;
    Incarnation incarnation;
    TokenSecret tokenSecret{};

    /// A first submission is accepted this long after its token was issued.
    Duration tokenLifetime = 60s;
    /// Records are kept this long after their token expired. Bounds a job's deadline.
    Duration recordGrace = 60s;
    /// A key-form caller may resubmit a key this long.
    Duration keyValidity = 600s;
    /// A key-form submission may be on its way, also between VMs, for this long after its caller
    /// sent it. Records and quarantine of keys last this much longer than the key validity. A VM
    /// that was paused for a quarter of this time answers unknown to keys for another quarter,
    /// as it cannot tell how long they waited for it.
    Duration keyTravelTime = 60s;
    /// A forwarded request waits this much longer than its deadline for the home's answer.
    Duration forwardMargin = 2s;
    /// Key-form ids are accepted only under a lease on their range from the platform's table.
    /// Off for a single VM, which accepts all of them.
    bool keyRanges = false;
    /// The same on all VMs, now and later: it decides which range a key belongs to.
    std::uint32_t keyRangeCount = 1024;
    /// A range is held this long from before the renewal was sent.
    Duration lease = 600s;
    Duration leaseRenewal = 60s;
    /// A read or transaction without a reply is given up after this time.
    Duration tableTimeout = 5s;
    /// Pause after a failed read or transaction.
    Duration tableRetry = 1s;
    std::size_t maxRecords = 500'000;
    /// Answer bodies of finished jobs that are kept for resubmissions.
    Bytes answerStore{64U << 20U};

    std::size_t maxQueuedTasks = 20'000;
    Bytes maxQueuedBytes{256U << 20U};
    PlacementPolicyKind placement = PlacementPolicyKind::SpeedAware;
    /// Share of starts that may be sent again because they provably did not start.
    double retryBudgetShare = 0.1;
    Duration retryBackoff = 10ms;
    /// An attempt whose job has ended keeps its connection this long after the job's deadline, so
    /// that the upstream's slot is known to be busy.
    Duration replyGrace = 10s;
    /// A planned stop waits this long for running jobs and for a successor.
    Duration stopLimit = 30s;
    /// A successor that confirms nothing for this long is replaced by another peer.
    Duration handoverTimeout = 1s;
    /// Most records in one message of a handover.
    std::size_t handoverBatchRecords = 1000;
};

} // namespace rattandock::core
