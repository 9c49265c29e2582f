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

/// A caller submitted a job. Exactly one AnswerCaller follows for the request.
struct JobSubmitted
{
    CallerRequestId request;
    JobSpec job;
};

/// A caller cancelled a job. Its unstarted tasks never start, and callers that wait for the job are
/// answered.
struct JobCancelled
{
    JobId job;
};

/// The caller's connection closed, so its request is no longer answered.
struct CallerDisconnected
{
    CallerRequestId request;
};

/// An attempt ended. Each StartTask leads to exactly one AttemptEnded.
struct AttemptEnded
{
    AttemptId attempt;
    AttemptResult result;
    /// Time between the start and the end of the request.
    Duration elapsed{};
    /// The upstream's reply announced that the upstream is leaving.
    bool upstreamLeaving = false;
};

/// The platform's list reported the lifecycle state of an upstream.
struct UpstreamStateReported
{
    UpstreamId upstream;
    UpstreamLife life{};
};

/// A new configuration of teams and upstreams takes effect. Versions that are not newer than the
/// current one are ignored.
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

/// Reply to a ReadTable: a consistent snapshot of the rows, taken after the request was sent.
struct TableRowsRead
{
    TableOperationId operation;
    std::vector<TableRow> rows;
};

/// Reply to a TransactTable: it was committed, or it was rejected for good because a check failed.
struct TableTransacted
{
    TableOperationId operation;
    bool committed = false;
};

/// A table operation got no usable reply from the platform. A transaction may have been committed
/// already or may still be committed later.
struct TableOperationFailed
{
    TableOperationId operation;
};

/// A planned stop was requested. The action Stopped follows when it is complete.
struct DrainRequested
{
};

/// The time returned by nextTimer() has been reached.
struct TimerFired
{
};

using Event = std::variant<JobSubmitted, JobCancelled, CallerDisconnected, AttemptEnded,
                           UpstreamStateReported, ConfigurationAccepted, PeerMessageReceived,
                           PeerLinkChanged, TableRowsRead, TableTransacted, TableOperationFailed,
                           DrainRequested, TimerFired>;

} // namespace rattandock::core
