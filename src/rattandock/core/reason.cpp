#include "rattandock/core/reason.hpp"

#include <array>

namespace rattandock::core {

namespace {

template <std::size_t count, typename Reason>
std::string_view lookUp(const std::array<std::string_view, count> &names, Reason reason)
{
    return names.at(static_cast<std::size_t>(reason));
}

} // namespace

std::string_view name(RefusalReason reason)
{
    static constexpr std::array<std::string_view, refusalReasonCount> names{
            "draining",         "queue-full",    "deadline-too-short", "deadline-passed",
            "no-upstream-fits", "no-upstreams",  "quota-exceeded",     "record-table-full",
            "token-expired",    "token-revoked", "token-forged",       "sealed-never-seen",
            "id-reused",        "cancelled",     "retry-budget-empty", "key-validity-passed"};
    return lookUp(names, reason);
}

std::string_view name(FailureReason reason)
{
    static constexpr std::array<std::string_view, failureReasonCount> names{
            "task-failed",   "connection-lost",    "deadline-passed", "cancelled",
            "crossed-reply", "retry-budget-empty", "answer-evicted",  "no-upstreams"};
    return lookUp(names, reason);
}

std::string_view name(UnknownReason reason)
{
    static constexpr std::array<std::string_view, unknownReasonCount> names{
            "home-lost",          "home-unreachable",  "token-expired", "previous-holder-lost",
            "holder-unreachable", "record-table-full", "lease-lapsed",  "recently-paused"};
    return lookUp(names, reason);
}

std::string_view name(NotStartedReason reason)
{
    static constexpr std::array<std::string_view, notStartedReasonCount> names{
            "connection-refused", "request-not-written", "upstream-refused", "no-connection"};
    return lookUp(names, reason);
}

std::string_view name(AttemptFailure reason)
{
    static constexpr std::array<std::string_view, attemptFailureCount> names{
            "connection-lost", "timed-out", "bad-status", "crossed-reply", "malformed-reply"};
    return lookUp(names, reason);
}

} // namespace rattandock::core
