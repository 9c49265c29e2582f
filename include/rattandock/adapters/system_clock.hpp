#pragma once

#include <ctime>

#include "rattandock/ports/clock.hpp"

namespace rattandock::adapters {

/// The machine's monotonic clock, including the time that the VM was suspended: a lease must lapse
/// while its holder sleeps.
class SystemClock final : public ports::Clock
{
public:
    TimePoint now() const override
    {
        timespec time{};
        clock_gettime(CLOCK_BOOTTIME, &time);
        return TimePoint{std::chrono::duration_cast<Duration>(
                std::chrono::seconds{time.tv_sec} + std::chrono::nanoseconds{time.tv_nsec})};
    }
};

} // namespace rattandock::adapters
