#include "rattandock/app/platform_bridge.hpp"

#include <boost/fiber/operations.hpp>
#include <thread>

#include "rattandock/base/overloaded.hpp"

namespace rattandock::app {

using adapters::PlatformConflict;
using adapters::PlatformDone;

namespace {

/// All platform calls are made on this I/O thread; they are few.
constexpr std::size_t platformThread = 0;
/// Longest sleep between two looks at the request to stop.
constexpr Duration stopCheck = std::chrono::milliseconds{50};

adapters::PlatformTransaction toPlatform(core::TransactTable &&from)
{
    adapters::PlatformTransaction transaction;
    transaction.operation = from.operation.value();
    for (core::TableCheck &it : from.checks) {
        transaction.checks.push_back({std::move(it.key), it.version});
    }
    for (core::TableWrite &it : from.writes) {
        transaction.writes.push_back({std::move(it.key), std::move(it.value)});
    }
    return transaction;
}

core::TableRowsRead toEvent(core::TableOperationId operation,
                            std::vector<adapters::PlatformRow> &&rows)
{
    core::TableRowsRead event{std::move(operation), {}};
    for (adapters::PlatformRow &it : rows) {
        event.rows.push_back({std::move(it.key), std::move(it.value), it.version});
    }
    return event;
}

} // namespace

NoTable::NoTable(ports::EventSink &events)
    : m_events(events)
{
}

void NoTable::read(core::ReadTable request)
{
    m_events.post(core::TableOperationFailed{std::move(request.operation)});
}

void NoTable::transact(core::TransactTable transaction)
{
    m_events.post(core::TableOperationFailed{std::move(transaction.operation)});
}

PlatformBridge::PlatformBridge(adapters::IoThreads &threads, const ports::Clock &clock,
                               adapters::Metrics &metrics, ports::EventSink &events,
                               const adapters::PlatformClientOptions &options,
                               Duration vmListInterval)
    : m_threads(threads)
    , m_events(events)
    , m_client(threads, clock, metrics, options)
    , m_vmList(events)
    , m_vmListInterval(vmListInterval)
{
}

PlatformBridge::~PlatformBridge() = default;

void PlatformBridge::start()
{
    spawn([this] { followVmList(); });
}

void PlatformBridge::read(core::ReadTable request)
{
    spawn([this, request = std::move(request)]() mutable {
        auto result = m_client.readPrefix(request.prefix);
        if (auto *done = std::get_if<PlatformDone<std::vector<adapters::PlatformRow>>>(&result)) {
            m_events.post(toEvent(std::move(request.operation), std::move(done->value)));
        } else {
            m_events.post(core::TableOperationFailed{std::move(request.operation)});
        }
    });
}

void PlatformBridge::transact(core::TransactTable transaction)
{
    spawn([this, transaction = std::move(transaction)]() mutable {
        core::TableOperationId operation = transaction.operation;
        const auto result = m_client.transact(toPlatform(std::move(transaction)));
        m_events.post(
                std::visit(Overloaded{[&](const PlatformDone<std::uint64_t> &) -> core::Event {
                                          return core::TableTransacted{std::move(operation), true};
                                      },
                                      [&](const PlatformConflict &) -> core::Event {
                                          return core::TableTransacted{std::move(operation), false};
                                      },
                                      [&](const auto &) -> core::Event {
                                          return core::TableOperationFailed{std::move(operation)};
                                      }},
                           result));
    });
}

void PlatformBridge::shutDown()
{
    m_stopping = true;
    while (m_running > 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds{1});
    }
}

void PlatformBridge::spawn(std::function<void()> call)
{
    ++m_running;
    m_threads.spawn(platformThread, [this, call = std::move(call)] {
        call();
        --m_running;
    });
}

void PlatformBridge::followVmList()
{
    while (!m_stopping) {
        const auto result = m_client.listVms();
        if (const auto *done =
                    std::get_if<PlatformDone<std::vector<adapters::PlatformVm>>>(&result)) {
            m_vmList.update(done->value);
        }
        for (Duration slept{}; slept < m_vmListInterval && !m_stopping; slept += stopCheck) {
            boost::this_fiber::sleep_for(stopCheck);
        }
    }
}

} // namespace rattandock::app
