#pragma once

#include <memory>
#include <mutex>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <string>
#include <string_view>
#include <unordered_map>

namespace rattandock::adapters {

/// Counters and gauges of one process, with stable names `rattandock_*`; docs/metrics.md lists
/// them. All that are known when the process starts are exposed from the start with value 0.
/// Thread safety: all methods may be called from any thread.
class Metrics
{
public:
    Metrics();

    /// Adds to `rattandock_NAME_total{reason="..."}`. Takes no lock for a name and reason of the
    /// tables; any other one is registered at its first use, under a lock.
    /// Precondition: few different names and reasons, all from fixed tables.
    void count(std::string_view name, std::string_view reason, double amount = 1.0);
    /// Sets `rattandock_NAME`. Precondition: the gauge is in the table.
    void set(std::string_view name, double value);

    /// Prometheus text format.
    std::string text() const;

private:
    using Counters = std::unordered_map<std::string, prometheus::Counter *>;

    void addCounter(std::string_view name, std::string_view help, std::string_view reason,
                    Counters &counters);

    std::shared_ptr<prometheus::Registry> m_registry;
    /// Not changed after construction, so that reading needs no lock.
    Counters m_counters;
    std::unordered_map<std::string, prometheus::Gauge *> m_gauges;
    std::mutex m_mutex;
    /// Counters that are in no table.
    Counters m_lateCounters;
};

/// Resident memory of this process in bytes; 0 if it cannot be read.
std::uint64_t residentBytes();

} // namespace rattandock::adapters
