#pragma once

#include <atomic>
#include <mutex>

#include "rattandock/adapters/http_message.hpp"
#include "rattandock/ports/clock.hpp"
#include "standins/platform/object_store.hpp"
#include "standins/platform/platform_faults.hpp"
#include "standins/platform/table.hpp"
#include "standins/platform/vm_list.hpp"

namespace rattandock::standins {

struct PlatformLimits
{
    TableLimits table;
    std::uint64_t maxObjectBytes = 128U << 20U;
};

/// Table service, object store and VM list behind one address.
///
/// Routes: `GET /table/KEY`, `GET /table?prefix=P`, `POST /table/transact`, `GET` and
/// `PUT /objects/NAME`, `GET /vms`; for tests also `PUT /vms`, `GET` and `POST /faults`, which no
/// fault affects.
/// Thread safety: serve() may be called from any fiber of any thread; it may suspend the fiber.
class StandinPlatform
{
public:
    /// Precondition: the clock outlives the platform; vms is a JSON array.
    StandinPlatform(const PlatformLimits &limits, const ports::Clock &clock, std::string vms);

    adapters::HttpResponse serve(const adapters::HttpRequest &request);

    /// Ends the waits of slow requests, so that the server can stop.
    void stop() { m_stopping = true; }

private:
    adapters::HttpResponse control(const adapters::HttpRequest &request);
    adapters::HttpResponse route(const adapters::HttpRequest &request);
    adapters::HttpResponse readTable(const adapters::HttpRequest &request) const;
    adapters::HttpResponse transact(const adapters::HttpRequest &request);
    adapters::HttpResponse serveObject(const adapters::HttpRequest &request);
    void wait(Duration span) const;

    const ports::Clock &m_clock;
    std::atomic<bool> m_stopping = false;
    /// Guards all below; never held while a fiber is suspended.
    std::mutex m_mutex;
    Table m_table;
    ObjectStore m_objects;
    VmList m_vms;
    PlatformFaults m_faults;
};

} // namespace rattandock::standins
