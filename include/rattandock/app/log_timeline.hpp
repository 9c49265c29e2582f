#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace rattandock::app {

/// Log lines of one VM.
struct VmLog
{
    /// Printed before each of its lines.
    std::string name;
    std::vector<std::string> lines;
};

/// Joins what several VMs logged about one job: its own lines, and what was last decided about the
/// upstreams that they name, in the order of their times. Lines without a time are left out.
/// Empty if no line names the job. Thread safety: any thread.
std::vector<std::string> jobTimeline(std::string_view job, const std::vector<VmLog> &logs);

} // namespace rattandock::app
