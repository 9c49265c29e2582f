#pragma once

#include <atomic>

#include "rattandock/adapters/platform_client.hpp"
#include "rattandock/adapters/vm_list_events.hpp"
#include "rattandock/ports/action_ports.hpp"
#include "rattandock/ports/event_sink.hpp"

namespace rattandock::app {

/// For a daemon without a platform: each call fails.
class NoTable final : public ports::TablePort
{
public:
    explicit NoTable(ports::EventSink &events);

    void read(core::ReadTable request) override;
    void transact(core::TransactTable transaction) override;

private:
    ports::EventSink &m_events;
};

/// Carries out the core's table actions on fibers of one I/O thread, and turns the platform's VM
/// list into events.
class PlatformBridge final : public ports::TablePort
{
public:
    /// Precondition: all references outlive the bridge; the threads run until shutDown().
    PlatformBridge(adapters::IoThreads &threads, const ports::Clock &clock,
                   adapters::Metrics &metrics, ports::EventSink &events,
                   const adapters::PlatformClientOptions &options, Duration vmListInterval);
    ~PlatformBridge() override;

    /// Begins to read the VM list. Call once.
    void start();

    void read(core::ReadTable request) override;
    void transact(core::TransactTable transaction) override;

    /// Returns when no call runs any more, after at most the client's deadline.
    /// Thread safety: from outside the I/O threads; no other call may follow.
    void shutDown();

private:
    void spawn(std::function<void()> call);
    void followVmList();

    adapters::IoThreads &m_threads;
    ports::EventSink &m_events;
    adapters::PlatformClient m_client;
    adapters::VmListEvents m_vmList;
    Duration m_vmListInterval;
    std::atomic<std::size_t> m_running = 0;
    std::atomic<bool> m_stopping = false;
};

} // namespace rattandock::app
