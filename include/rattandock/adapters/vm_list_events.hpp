#pragma once

#include <map>
#include <vector>

#include "rattandock/adapters/platform_client.hpp"
#include "rattandock/ports/event_sink.hpp"

namespace rattandock::adapters {

/// Turns successive reads of the platform's VM list into UpstreamStateReported events: one for each
/// change, and Gone for a VM that the list no longer names. The list is only a hint and may lag.
/// Thread safety: none; one thread at a time.
class VmListEvents
{
public:
    /// Precondition: the events outlive the object.
    explicit VmListEvents(ports::EventSink &events);

    void update(const std::vector<PlatformVm> &list);

private:
    ports::EventSink &m_events;
    std::map<std::string, core::UpstreamLife> m_known;
};

} // namespace rattandock::adapters
