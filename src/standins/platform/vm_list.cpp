#include "standins/platform/vm_list.hpp"

#include <utility>

namespace rattandock::standins {

VmList::VmList(std::string initial)
{
    m_states.push_back({TimePoint::min(), std::move(initial)});
}

void VmList::set(std::string list, TimePoint now)
{
    m_states.push_back({now, std::move(list)});
    while (m_states.size() > 1
           && (m_states.size() > maxStates || m_states[1].since < now - maxLag)) {
        m_states.pop_front();
    }
}

const std::string &VmList::at(TimePoint now, Duration lag) const
{
    for (auto it = m_states.rbegin(); it != m_states.rend(); ++it) {
        if (it->since <= now - lag) {
            return it->list;
        }
    }
    return m_states.front().list;
}

} // namespace rattandock::standins
