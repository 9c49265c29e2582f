#include "rattandock/core/key_rows.hpp"

#include <charconv>

namespace rattandock::core {

namespace {

constexpr std::string_view leasePrefix = "keys/lease/";
constexpr std::string_view rangePrefix = "keys/range/";
constexpr std::string_view quarantineMark = "quarantine";
constexpr std::string_view cleanMark = "clean";

template <typename Number>
std::optional<Number> toNumber(std::string_view text)
{
    Number value = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || result.ec != std::errc{} || result.ptr != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

std::string format(const KeyHolder &holder)
{
    return holder.vm.value() + '.' + std::to_string(holder.incarnation.value());
}

std::optional<KeyHolder> parseHolder(std::string_view text)
{
    const auto dot = text.rfind('.');
    if (dot == std::string_view::npos || dot == 0) {
        return std::nullopt;
    }
    const auto incarnation = toNumber<std::uint64_t>(text.substr(dot + 1));
    if (!incarnation) {
        return std::nullopt;
    }
    return KeyHolder{VmId{std::string{text.substr(0, dot)}}, Incarnation{*incarnation}};
}

} // namespace

std::string leaseKey(const KeyHolder &holder)
{
    return std::string{leasePrefix} + format(holder);
}

std::string rangeKey(std::uint32_t range)
{
    return std::string{rangePrefix} + std::to_string(range);
}

std::string format(const RangeRow &row)
{
    return format(row.holder) + ',' + std::string{row.quarantine ? quarantineMark : cleanMark};
}

std::optional<KeyHolder> parseLeaseKey(std::string_view key)
{
    if (!key.starts_with(leasePrefix)) {
        return std::nullopt;
    }
    return parseHolder(key.substr(leasePrefix.size()));
}

std::optional<std::uint32_t> parseRangeKey(std::string_view key)
{
    if (!key.starts_with(rangePrefix)) {
        return std::nullopt;
    }
    return toNumber<std::uint32_t>(key.substr(rangePrefix.size()));
}

std::optional<RangeRow> parseRangeRow(std::string_view value)
{
    const auto comma = value.rfind(',');
    if (comma == std::string_view::npos) {
        return std::nullopt;
    }
    const auto holder = parseHolder(value.substr(0, comma));
    const auto mark = value.substr(comma + 1);
    if (!holder || (mark != quarantineMark && mark != cleanMark)) {
        return std::nullopt;
    }
    return RangeRow{*holder, mark == quarantineMark};
}

} // namespace rattandock::core
