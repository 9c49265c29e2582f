#pragma once

#include "rattandock/core/event.hpp"

namespace rattandock::ports {

/// Takes events for the decision core. Thread safety: post() may be called from any thread and
/// does not block.
class EventSink
{
public:
    virtual ~EventSink() = default;
    virtual void post(core::Event event) = 0;
};

} // namespace rattandock::ports
