#include "rattandock/core/action.hpp"

#include <array>

namespace rattandock::core {

std::string_view name(NoteKind kind)
{
    static constexpr std::array<std::string_view, noteKindCount> names{
            "job-accepted",      "job-joined",       "job-refused",       "job-ended",
            "job-forwarded",     "task-placed",      "task-resent",       "upstream-ejected",
            "upstream-restored", "upstream-leaving", "unknown-attempt",   "peer-message-refused",
            "handover-sent",     "handover-taken",   "key-range-changed", "configuration-in-force"};
    return names.at(static_cast<std::size_t>(kind));
}

} // namespace rattandock::core
