#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "rattandock/base/time.hpp"

namespace rattandock::load {

/// What became of one planned job.
struct JobRecord
{
    std::string id;
    /// Index of the planned job.
    std::size_t plan = 0;
    std::size_t tasks = 0;
    bool direct = false;
    /// From the planned arrival to the answer.
    Duration response{};
    /// `complete`, `failed`, `not-run`, `unknown`, or `error`, `lost`, `not-connected`.
    std::string outcome;
    std::string reason;
    /// A complete answer with another number of results than the job has tasks.
    bool partial = false;
    /// A result of another task than the one at its place.
    bool crossed = false;
    bool cancelled = false;
    std::uint32_t submissions = 0;
    /// Outcomes of resubmissions that contradict the first answer.
    std::vector<std::string> contradictions;
};

} // namespace rattandock::load
