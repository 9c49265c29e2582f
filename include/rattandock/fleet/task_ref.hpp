#pragma once

#include <compare>
#include <cstdint>

#include "rattandock/base/ids.hpp"

namespace rattandock::fleet {

/// Address of a job of this VM; never reused by a process.
using JobNumber = StrongValue<struct JobNumberTag, std::uint64_t>;

/// One task of a job of this VM.
struct TaskRef
{
    JobNumber job;
    TaskIndex task;

    friend auto operator<=>(const TaskRef &, const TaskRef &) = default;
};

} // namespace rattandock::fleet
