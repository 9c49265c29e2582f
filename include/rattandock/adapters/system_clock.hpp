#pragma once

#include "rattandock/ports/clock.hpp"

namespace rattandock::adapters {

/// The machine's monotonic clock.
class SystemClock final : public ports::Clock
{
public:
    TimePoint now() const override
    {
        return TimePoint{std::chrono::duration_cast<Duration>(
                std::chrono::steady_clock::now().time_since_epoch())};
    }
};

} // namespace rattandock::adapters
