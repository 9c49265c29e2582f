#include "rattandock/fleet/fleet_message.hpp"

#include <array>

namespace rattandock::fleet {

std::string_view name(OfferResult result)
{
    static constexpr std::array<std::string_view, offerResultCount> names{"done", "failed",
                                                                          "not-run", "given-up"};
    return names.at(static_cast<std::size_t>(result));
}

} // namespace rattandock::fleet
