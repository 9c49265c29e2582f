#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <ostream>
#include <utility>

namespace rattandock {

/// A value of type Rep that cannot be mixed up with a value of another Tag.
/// Thread safety: as safe as Rep.
template <typename Tag, typename Rep>
class StrongValue
{
public:
    using RepType = Rep;

    constexpr StrongValue() = default;
    constexpr explicit StrongValue(Rep value)
        : m_value(std::move(value))
    {
    }

    constexpr const Rep &value() const { return m_value; }

    friend constexpr auto operator<=>(const StrongValue &, const StrongValue &) = default;

    friend std::ostream &operator<<(std::ostream &out, const StrongValue &it)
    {
        return out << it.m_value;
    }

private:
    Rep m_value{};
};

} // namespace rattandock

template <typename Tag, typename Rep>
struct std::hash<rattandock::StrongValue<Tag, Rep>>
{
    std::size_t operator()(const rattandock::StrongValue<Tag, Rep> &it) const
    {
        return std::hash<Rep>{}(it.value());
    }
};
