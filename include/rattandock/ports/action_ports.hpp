#pragma once

#include "rattandock/core/action.hpp"

namespace rattandock::ports {

/// Sends tasks to upstreams and reports each end as one AttemptEnded.
/// Thread safety: called from the decision thread only; must not block.
class UpstreamPort
{
public:
    virtual ~UpstreamPort() = default;
    virtual void start(core::StartTask task) = 0;
    virtual void stop(core::StopTask task) = 0;
};

/// Gives answers to waiting callers.
/// Thread safety: called from the decision thread only; must not block.
class CallerPort
{
public:
    virtual ~CallerPort() = default;
    virtual void answer(core::AnswerCaller answer) = 0;
};

/// Sends messages to peers; a message to an unreachable peer is dropped and counted.
/// Thread safety: called from the decision thread only; must not block.
class PeerPort
{
public:
    virtual ~PeerPort() = default;
    virtual void send(core::SendToPeer message) = 0;
};

/// Reaches the platform's table; each call leads to one TableRowsRead, TableTransacted or
/// TableOperationFailed, or to none if the process ends first.
/// Thread safety: called from the decision thread only; must not block.
class TablePort
{
public:
    virtual ~TablePort() = default;
    virtual void read(core::ReadTable request) = 0;
    virtual void transact(core::TransactTable transaction) = 0;
};

/// Counts, logs and keeps decisions for `explain`.
/// Thread safety: called from the decision thread only; must not block.
class NoteSink
{
public:
    virtual ~NoteSink() = default;
    virtual void note(const core::Note &note, TimePoint now) = 0;
};

} // namespace rattandock::ports
