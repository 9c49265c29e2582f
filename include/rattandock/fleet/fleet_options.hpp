#pragma once

#include "rattandock/base/ids.hpp"
#include "rattandock/base/time.hpp"
#include "rattandock/fleet/lease_times.hpp"

namespace rattandock::fleet {

using namespace std::chrono_literals;

struct FleetOptions
{
    VmId vm;
    Incarnation incarnation;
    ZoneId zone;
    LeaseTimes lease;
    /// Another VM's row may stay unchanged this long, without a link to it, before its upstreams
    /// are taken over. Two beats of the rows.
    Duration memberSilence = 1400ms;
    /// How often this VM considers which upstreams to take or give up.
    Duration assignmentInterval = 250ms;
    /// After the start others are given at most this long to show up, so that they get their
    /// share.
    Duration settleTime = 1500ms;
    /// Another zone counts as reachable this long after an upstream there was reached.
    Duration zoneReachedFor = 2000ms;
    /// An upstream whose row vanished is still used this long, as rows may lapse while the store
    /// is away and come back within 2 s (platform's statement).
    Duration unlistedUse = 2500ms;
    /// An upstream that drains must get no new work this long after it said so (platform's bound).
    Duration drainLimit = 2000ms;
    /// The answer must leave this long before the caller's deadline to arrive in time.
    Duration answerMargin = 20ms;
    /// Jobs that wait here, at most.
    std::size_t maxWaitingJobs = 2000;
    /// A planned stop breaks off what is not done after this time; below the platform's grace.
    Duration stopLimit = 4500ms;
};

} // namespace rattandock::fleet
