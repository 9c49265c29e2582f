#pragma once

#include <cstdint>
#include <string_view>

namespace rattandock::core {

/// Reason for which a job was refused and not run.
enum class RefusalReason : std::uint8_t {
    Draining,
    QueueFull,
    DeadlineTooShort,
    DeadlinePassed,
    NoUpstreamFits,
    NoUpstreams,
    QuotaExceeded,
    RecordTableFull,
    TokenExpired,
    TokenRevoked,
    TokenForged,
    SealedNeverSeen,
    IdReused,
    Cancelled,
    RetryBudgetEmpty,
    KeyValidityPassed,
};
inline constexpr std::size_t refusalReasonCount = 16;

/// Reason for which a job failed after at least one of its tasks may have started.
enum class FailureReason : std::uint8_t {
    TaskFailed,
    ConnectionLost,
    DeadlinePassed,
    Cancelled,
    CrossedReply,
    RetryBudgetEmpty,
    AnswerEvicted,
    NoUpstreams,
};
inline constexpr std::size_t failureReasonCount = 8;

/// Reason for which it cannot be determined whether a job ran.
enum class UnknownReason : std::uint8_t {
    HomeLost,
    HomeUnreachable,
    TokenExpired,
    PreviousHolderLost,
    HolderUnreachable,
    RecordTableFull,
    LeaseLapsed,
    RecentlyPaused,
};
inline constexpr std::size_t unknownReasonCount = 8;

/// Reason for which an attempt certainly did not start its task.
enum class NotStartedReason : std::uint8_t {
    ConnectionRefused,
    RequestNotWritten,
    UpstreamRefused,
    NoConnection,
};
inline constexpr std::size_t notStartedReasonCount = 4;

/// Reason for which an attempt that may have started its task ended without a result.
enum class AttemptFailure : std::uint8_t {
    ConnectionLost,
    TimedOut,
    BadStatus,
    CrossedReply,
    MalformedReply,
};
inline constexpr std::size_t attemptFailureCount = 5;

/// Returns the stable name of the reason, as used in answers, metrics and logs.
std::string_view name(RefusalReason reason);
std::string_view name(FailureReason reason);
std::string_view name(UnknownReason reason);
std::string_view name(NotStartedReason reason);
std::string_view name(AttemptFailure reason);

} // namespace rattandock::core
