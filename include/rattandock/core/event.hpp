#pragma once

#include <variant>
#include <vector>

#include "rattandock/base/ids.hpp"
#include "rattandock/base/time.hpp"
#include "rattandock/core/attempt_result.hpp"
#include "rattandock/core/job_spec.hpp"
#include "rattandock/core/peer_message.hpp"
#include "rattandock/core/platform_table.hpp"
#include "rattandock/core/team_spec.hpp"
#include "rattandock/core/upstream_spec.hpp"

namespace rattandock::core {

/// A caller submits a job; exactly one AnswerCaller follows for the request.
struct JobSubmitted
{
    CallerRequestId request;
    JobSpec job;
};

/// A caller cancels a job. Unstarted tasks never start; the job's waiting callers are answered.
struct JobCancelled
{
    JobId job;
};

/// The caller's connection closed; its request needs no answer any more.
struct CallerLeft
{
    CallerRequestId request;
};

/// An attempt ended. Each StartTask leads to exactly one AttemptEnded.
struct AttemptEnded
{
    AttemptId attempt;
    AttemptResult result;
    /// Time from the start of the request to its end.
    Duration elapsed{};
    /// The upstream's reply said that it is leaving.
    bool upstreamLeaving = false;
};

/// The platform's list tells of an upstream's life.
struct UpstreamSeen
{
    UpstreamId upstream;
    UpstreamLife life{};
};

/// Teams and upstreams in force from now on. Older versions are ignored.
struct ConfigurationAccepted
{
    ConfigurationVersion version;
    std::vector<UpstreamSpec> upstreams;
    std::vector<TeamSpec> teams;
};

struct PeerMessageReceived
{
    VmId from;
    PeerMessage message;
};

/// The link to a peer came up or went down.
struct PeerLinkChanged
{
    VmId peer;
    bool up = false;
};

/// The rows of a ReadTable at one moment after it was sent.
struct TableRowsRead
{
    TableOperationId operation;
    std::vector<TableRow> rows;
};

/// A TransactTable has taken effect, or never will because a check failed.
struct TableTransacted
{
    TableOperationId operation;
    bool committed = false;
};

/// The platform gave no usable reply. A transaction may have taken effect or may yet do so.
struct TableFailed
{
    TableOperationId operation;
};

/// A planned stop begins; the action Stopped follows when it is done.
struct DrainRequested
{
};

/// The time from nextTimer() has come.
struct TimerFired
{
};

using Event = std::variant<JobSubmitted, JobCancelled, CallerLeft, AttemptEnded, UpstreamSeen,
                           ConfigurationAccepted, PeerMessageReceived, PeerLinkChanged,
                           TableRowsRead, TableTransacted, TableFailed, DrainRequested, TimerFired>;

} // namespace rattandock::core
