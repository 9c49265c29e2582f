#pragma once

#include <string_view>
#include <vector>

namespace rattandock::adapters::detail {

struct CounterFamily
{
    std::string_view name;
    std::string_view help;
    std::vector<std::string_view> reasons;
};

struct GaugeFamily
{
    std::string_view name;
    std::string_view help;
};

/// Every counter that a daemon exposes from its start.
std::vector<CounterFamily> counterFamilies();
std::vector<GaugeFamily> gaugeFamilies();

} // namespace rattandock::adapters::detail
