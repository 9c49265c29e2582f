#include "rattandock/adapters/vm_list_events.hpp"

#include <utility>

namespace rattandock::adapters {

VmListEvents::VmListEvents(ports::EventSink &events)
    : m_events(events)
{
}

void VmListEvents::update(const std::vector<PlatformVm> &list)
{
    std::map<std::string, core::UpstreamLife> seen;
    for (const PlatformVm &it : list) {
        seen[it.id] = it.life;
    }
    for (const auto &[id, life] : seen) {
        const auto before = m_known.find(id);
        if (before == m_known.end() || before->second != life) {
            m_events.post(core::UpstreamStateReported{UpstreamId{id}, life});
        }
    }
    for (const auto &[id, life] : m_known) {
        if (!seen.contains(id)) {
            m_events.post(core::UpstreamStateReported{UpstreamId{id}, core::UpstreamLife::Gone});
        }
    }
    m_known = std::move(seen);
}

} // namespace rattandock::adapters
