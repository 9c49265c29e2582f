#pragma once

#include <memory>

#include "rattandock/adapters/http_connections.hpp"
#include "rattandock/adapters/settings.hpp"
#include "rattandock/app/fleet_api.hpp"
#include "rattandock/app/fleet_sync.hpp"
#include "rattandock/base/result.hpp"
#include "rattandock/ports/metadata_store.hpp"
#include "rattandock/ports/upstream_orders.hpp"

namespace rattandock::app {

/// What a fleet's daemon needs to speak to the platform around it.
struct PlatformAdapters
{
    std::function<std::unique_ptr<ports::MetadataStore>(
            adapters::HttpConnections &, const boost::asio::ip::tcp::endpoint &store)>
            makeStore;
    std::function<std::unique_ptr<ports::UpstreamOrders>(adapters::HttpConnections &)> makeOrders;
    DirectoryFormat directory;
    CallerFormat callers;
};

/// The daemon of one VM of a fleet: caller and operator listeners, links to the other VMs, and the
/// platform's store and upstreams behind adapters. Everything runs on one I/O thread.
/// Thread safety: all methods may be called from any thread outside the daemon's own.
class FleetDaemon
{
public:
    /// Binds the listeners and starts the thread. Errors: those of bind, with the setting.
    /// Precondition: the settings have `fleet`.
    static Checked<std::unique_ptr<FleetDaemon>> start(const adapters::Settings &settings,
                                                       const PlatformAdapters &platform);

    FleetDaemon(const FleetDaemon &) = delete;
    FleetDaemon &operator=(const FleetDaemon &) = delete;
    ~FleetDaemon();

    std::uint16_t callerPort() const;
    std::uint16_t operatorPort() const;

    /// Begins the planned stop: not ready, and each answer ends its connection.
    void drain();
    /// True once the planned stop is done or its limit has passed.
    bool isDrained() const;
    /// Closes listeners and ends the thread.
    void stop();

private:
    struct Parts;
    explicit FleetDaemon(std::unique_ptr<Parts> parts);

    std::unique_ptr<Parts> m_parts;
};

} // namespace rattandock::app
