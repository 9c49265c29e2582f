#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "rattandock/base/ids.hpp"

namespace rattandock::core {

/// Prefix of all rows about key ranges.
inline constexpr std::string_view keyRowPrefix = "keys/";

/// A holder of key ranges: one incarnation of a VM. Text form: `VM.INCARNATION`, with the
/// incarnation in decimal.
struct KeyHolder
{
    VmId vm;
    Incarnation incarnation;

    friend auto operator<=>(const KeyHolder &, const KeyHolder &) = default;
};

/// Value of a range's row. Text form: `HOLDER,clean` or `HOLDER,quarantine`.
struct RangeRow
{
    KeyHolder holder;
    /// True if the holder took the range from a lost holder. It then starts no tasks for keys of
    /// the range until the key validity has passed.
    bool quarantine = false;
};

std::string leaseKey(const KeyHolder &holder);
std::string rangeKey(std::uint32_t range);
std::string format(const RangeRow &row);

/// These return `std::nullopt` if the text doesn't have the form given above.
std::optional<KeyHolder> parseLeaseKey(std::string_view key);
std::optional<std::uint32_t> parseRangeKey(std::string_view key);
std::optional<RangeRow> parseRangeRow(std::string_view value);

} // namespace rattandock::core
