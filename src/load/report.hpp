#pragma once

#include <ostream>
#include <vector>

#include "load/load_run.hpp"

namespace rattandock::load {

/// The value below which the share of the values lies (nearest rank); 0 for no value.
double percentile(std::vector<double> values, double share);

/// One JSON line per job.
void writeJobLines(std::ostream &out, const Scenario &scenario, const LoadResult &result);

/// One line per job for the plot: arrival in s, response in ms, response over ideal, outcome.
void writePoints(std::ostream &out, const Scenario &scenario, const LoadResult &result);

/// The readable table.
void writeTable(std::ostream &out, const Scenario &scenario, const LoadResult &result);

} // namespace rattandock::load
