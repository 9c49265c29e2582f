#pragma once

#include <deque>
#include <string>

#include "rattandock/base/time.hpp"

namespace rattandock::standins {

/// The platform's list of VMs, as JSON text, with its past states so that it can be read late.
/// Thread safety: none; one thread at a time.
class VmList
{
public:
    /// The longest lag; older states are dropped.
    static constexpr Duration maxLag = std::chrono::seconds{60};
    /// States within maxLag; the oldest are dropped first.
    static constexpr std::size_t maxStates = 1000;

    explicit VmList(std::string initial);

    void set(std::string list, TimePoint now);
    /// The list as it was `lag` before now. Precondition: lag is at most maxLag.
    const std::string &at(TimePoint now, Duration lag) const;

private:
    struct State
    {
        TimePoint since;
        std::string list;
    };

    std::deque<State> m_states;
};

} // namespace rattandock::standins
