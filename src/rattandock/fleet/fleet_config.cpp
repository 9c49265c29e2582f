#include "rattandock/fleet/fleet_config.hpp"

namespace rattandock::fleet {

const QueueSpec *FleetConfig::queueFor(std::string_view host, std::string_view path) const
{
    const QueueSpec *best = nullptr;
    for (const QueueSpec &it : queues) {
        if (it.host == host && path.starts_with(it.pathPrefix)
            && (best == nullptr || it.pathPrefix.size() > best->pathPrefix.size())) {
            best = &it;
        }
    }
    return best;
}

} // namespace rattandock::fleet
