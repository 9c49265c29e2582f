#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "rattandock/base/strong_value.hpp"

namespace rattandock::core {

/// Identifies a read or a transaction, so that its reply can be matched. Unique across all VMs.
using TableOperationId = StrongValue<struct TableOperationIdTag, std::string>;

/// A row of the platform's table. The version of a key increases with each write, also after the
/// row was deleted and written again. Version 0 means that the row doesn't exist.
struct TableRow
{
    std::string key;
    std::string value;
    std::uint64_t version = 0;
};

/// A precondition of a transaction: it is committed only if the row has this version.
struct TableCheck
{
    std::string key;
    std::uint64_t version = 0;
};

/// A row that a transaction writes or deletes.
struct TableWrite
{
    std::string key;
    /// `std::nullopt` deletes the row.
    std::optional<std::string> value;
};

} // namespace rattandock::core
