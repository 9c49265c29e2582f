#pragma once

#include "rattandock/base/ids.hpp"

namespace rattandock::core {

/// Identifies a job record in its JobTable. Handles are not reused while the process runs.
using JobHandle = StrongValue<struct JobHandleTag, std::uint64_t>;

/// Identifies one task of a job in a JobTable.
struct TaskRef
{
    JobHandle job;
    TaskIndex task;

    friend auto operator<=>(const TaskRef &, const TaskRef &) = default;
};

} // namespace rattandock::core
