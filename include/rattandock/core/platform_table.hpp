#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "rattandock/base/strong_value.hpp"

namespace rattandock::core {

/// Names one read or transaction, so that its reply finds it; unique over all VMs.
using TableOperationId = StrongValue<struct TableOperationIdTag, std::string>;

/// A row of the platform's table. Versions of a key only grow, also when the row was deleted and
/// written again; 0 means that there is no such row.
struct TableRow
{
    std::string key;
    std::string value;
    std::uint64_t version = 0;
};

/// The transaction takes effect only if the row has this version.
struct TableCheck
{
    std::string key;
    std::uint64_t version = 0;
};

struct TableWrite
{
    std::string key;
    /// Nothing deletes the row.
    std::optional<std::string> value;
};

} // namespace rattandock::core
