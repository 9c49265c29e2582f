#pragma once

#include "rattandock/base/ids.hpp"

namespace rattandock::core {

/// Address of a job record in its JobTable; never reused by a process.
using JobHandle = StrongValue<struct JobHandleTag, std::uint64_t>;

/// One task of a job in a JobTable.
struct TaskRef
{
    JobHandle job;
    TaskIndex task;

    friend auto operator<=>(const TaskRef &, const TaskRef &) = default;
};

} // namespace rattandock::core
