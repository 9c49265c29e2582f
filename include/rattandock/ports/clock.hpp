#pragma once

#include "rattandock/base/time.hpp"

namespace rattandock::ports {

/// Source of monotonic time. Thread safety: all methods may be called from any thread.
class Clock
{
public:
    virtual ~Clock() = default;
    virtual TimePoint now() const = 0;
};

} // namespace rattandock::ports
