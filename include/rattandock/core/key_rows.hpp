#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "rattandock/base/ids.hpp"

namespace rattandock::core {

/// Prefix of all rows about key ranges.
inline constexpr std::string_view keyRowPrefix = "keys/";

/// One run of one VM as a holder of ranges. Text form: `VM.INCARNATION`, the number in decimal.
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
    /// The holder took the range from a lost one; it starts nothing for the key validity.
    bool quarantine = false;
};

std::string leaseKey(const KeyHolder &holder);
std::string rangeKey(std::uint32_t range);
std::string format(const RangeRow &row);

/// Nothing if the text is not of the form above.
std::optional<KeyHolder> parseLeaseKey(std::string_view key);
std::optional<std::uint32_t> parseRangeKey(std::string_view key);
std::optional<RangeRow> parseRangeRow(std::string_view value);

} // namespace rattandock::core
