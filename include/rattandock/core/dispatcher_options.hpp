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
    /// A forwarded request waits this much longer than its deadline for the home's answer.
    Duration forwardMargin = 2s;
    std::size_t maxRecords = 500'000;
    /// Answer bodies of finished jobs that are kept for resubmissions.
    Bytes answerStore{64U << 20U};

    std::size_t maxQueuedTasks = 20'000;
    Bytes maxQueuedBytes{256U << 20U};
    PlacementPolicyKind placement = PlacementPolicyKind::SpeedAware;
    /// Share of starts that may be sent again because they provably did not start.
    double retryBudgetShare = 0.1;
    Duration retryBackoff = 10ms;
    /// A planned stop waits this long for running jobs and for a successor.
    Duration stopLimit = 30s;
    /// A successor that confirms nothing for this long is replaced by another peer.
    Duration handoverTimeout = 1s;
};

} // namespace rattandock::core
