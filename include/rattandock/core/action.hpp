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

/// Send one request to an upstream. The driver sends it at most once, or reports NotStarted.
struct StartTask
{
    AttemptId attempt;
    JobId job;
    TaskIndex task;
    UpstreamId upstream;
    Duration estimate{};
    std::string payload;
    /// The driver does not begin to send the request from then on.
    TimePoint sendBy;
    /// The driver closes the connection and reports TimedOut if there is no reply by then.
    TimePoint replyBy;
};

/// The attempt's result is of no use any more. The driver does not send the request if that has
/// not begun. A request that was sent runs on: the upstream's slot is busy until its task ends,
/// and only the reply tells when. AttemptEnded still follows.
struct StopTask
{
    AttemptId attempt;
    UpstreamId upstream;
};

/// Give the one final answer of a caller's request.
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

/// Read all rows whose key has the prefix; TableRowsRead or TableFailed follows, or no reply.
struct ReadTable
{
    TableOperationId operation;
    std::string prefix;
};

/// Write all rows or none; TableTransacted or TableFailed follows, or no reply.
struct TransactTable
{
    TableOperationId operation;
    std::vector<TableCheck> checks;
    std::vector<TableWrite> writes;
};

/// What kind of decision a Note tells of; each is one counter.
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

/// A decision to be counted by kind and reason, logged, and kept for `explain`.
struct Note
{
    NoteKind kind{};
    /// A stable name such as a refusal reason; a metric label.
    std::string_view reason;
    JobId job;
    /// Free text for the log and for `explain`; never a metric label.
    std::string detail;
};

/// The planned stop is done: every caller is answered and the records are handed over.
struct Stopped
{
};

using Action = std::variant<StartTask, StopTask, AnswerCaller, SendToPeer, ReadTable, TransactTable,
                            Note, Stopped>;
using Actions = std::vector<Action>;

} // namespace rattandock::core
