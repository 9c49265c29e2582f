#pragma once

#include <string>
#include <variant>
#include <vector>

#include "rattandock/base/ids.hpp"
#include "rattandock/base/time.hpp"
#include "rattandock/core/job_outcome.hpp"
#include "rattandock/core/peer_message.hpp"
#include "rattandock/core/platform_table.hpp"

namespace rattandock::core {

/// Sends the request of one task to an upstream. The driver sends it at most once, or reports
/// NotStarted.
struct StartTask
{
    AttemptId attempt;
    JobId job;
    TaskIndex task;
    UpstreamId upstream;
    Duration estimate{};
    std::string payload;
    /// The driver does not begin to send the request at or after this time.
    TimePoint sendBy;
    /// The driver closes the connection and reports TimedOut if no reply has arrived by this time.
    TimePoint replyBy;
};

/// Cancels an attempt whose result is no longer needed. The driver does not send the request if it
/// has not begun to. A task whose request was sent keeps running and occupies the upstream's slot
/// until it ends, which only the reply shows. AttemptEnded still follows.
struct StopTask
{
    AttemptId attempt;
    UpstreamId upstream;
};

/// Sends the single final answer to a caller's request.
struct AnswerCaller
{
    CallerRequestId request;
    JobId job;
    JobOutcome outcome;
};

struct SendToPeer
{
    VmId peer;
    PeerMessage message;
};

/// Reads all rows whose key starts with the prefix. TableRowsRead, TableOperationFailed or no reply
/// follows.
struct ReadTable
{
    TableOperationId operation;
    std::string prefix;
};

/// Writes all rows or none. TableTransacted, TableOperationFailed or no reply follows.
struct TransactTable
{
    TableOperationId operation;
    std::vector<TableCheck> checks;
    std::vector<TableWrite> writes;
};

/// Kind of decision that a Note reports. Each kind has its own counter.
enum class NoteKind : std::uint8_t {
    JobAccepted,
    JobJoined,
    JobRefused,
    JobEnded,
    JobForwarded,
    TaskPlaced,
    TaskResent,
    UpstreamSetAside,
    UpstreamRestored,
    UpstreamLeaving,
    UnknownAttempt,
    PeerMessageRefused,
    HandoverSent,
    HandoverTaken,
    KeyRangeChanged,
    ConfigurationInForce,
};
inline constexpr std::size_t noteKindCount = 16;

std::string_view name(NoteKind kind);

/// Reports a decision, which is counted by kind and reason, logged and stored for `explain`.
struct Note
{
    NoteKind kind{};
    /// Stable name, such as a refusal reason, used as a metric label.
    std::string_view reason;
    JobId job;
    /// Free text for the log and for `explain`. Not used as a metric label.
    std::string detail;
};

/// The planned stop is complete: callers were answered, and the records were handed over unless
/// there was no peer or no successor confirmed them before the stop limit.
struct Stopped
{
};

using Action = std::variant<StartTask, StopTask, AnswerCaller, SendToPeer, ReadTable, TransactTable,
                            Note, Stopped>;
using Actions = std::vector<Action>;

} // namespace rattandock::core
