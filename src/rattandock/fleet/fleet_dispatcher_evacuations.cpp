// Evacuation of availability zones in a FleetDispatcher.
#include "rattandock/fleet/fleet_dispatcher.hpp"

namespace rattandock::fleet {

void FleetDispatcher::handleEvent(const EvacuationsRead &event, TimePoint /*now*/,
                                  FleetActions & /*actions*/)
{
    m_evacuations.update(event.version, event.zones, event.asOf);
}

void FleetDispatcher::handleEvent(const EvacuationsReadFailed &event, TimePoint /*now*/,
                                  FleetActions & /*actions*/)
{
    m_evacuations.recordReadFailure(event.sentAt);
}

bool FleetDispatcher::areEvacuationsUsable(TimePoint now) const
{
    return !m_options.evacuationLimit || m_evacuations.isUsable(now, *m_options.evacuationLimit);
}

} // namespace rattandock::fleet
