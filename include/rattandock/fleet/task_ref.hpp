#pragma once

#include <compare>
#include <cstdint>

#include "rattandock/base/ids.hpp"

namespace rattandock::fleet {

/// Identifies a job within this process. Numbers are not reused.
using JobNumber = StrongValue<struct JobNumberTag, std::uint64_t>;

/// Identifies one task of a job of this VM.
struct TaskRef
{
    JobNumber job;
    TaskIndex task;

    friend auto operator<=>(const TaskRef &, const TaskRef &) = default;
};

} // namespace rattandock::fleet
