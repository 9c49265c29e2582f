#pragma once

#include <istream>
#include <map>
#include <string>
#include <vector>

#include "load/load_run.hpp"

namespace rattandock::load {

/// Starts by task name, as in the start log.
using Starts = std::map<std::string, std::uint32_t, std::less<>>;

/// Reads a start log. Errors: a finding for each line that has not four fields.
Checked<Starts> readStartLog(std::istream &in);

/// What a run must not show: one sentence for each violation, with the job's id.
///
/// No task started twice; no partial or crossed answer; no `not-run` job with a start; no complete
/// job without the start of each task; no answer that contradicts the first; unless they are
/// expected, no lost answer. A run of no job, or in which no task started, is a violation.
std::vector<std::string> checkRun(const Scenario &scenario, const LoadResult &result,
                                  const Starts &starts);

} // namespace rattandock::load
