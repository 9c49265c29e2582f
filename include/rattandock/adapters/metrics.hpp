#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <string>
#include <string_view>

namespace rattandock::adapters {

/// Counters and gauges of one process, with stable names `rattandock_*`.
/// Thread safety: all methods may be called from any thread.
class Metrics
{
public:
    Metrics();

    /// Adds one to `rattandock_NAME_total{reason="..."}`; registers it at first use.
    /// Precondition: few different names and reasons, all from fixed tables.
    void count(std::string_view name, std::string_view reason, double amount = 1.0);
    void set(std::string_view name, double value);

    /// Prometheus text format.
    std::string text() const;

private:
    std::shared_ptr<prometheus::Registry> m_registry;
    std::mutex m_mutex;
    std::map<std::pair<std::string, std::string>, prometheus::Counter *, std::less<>> m_counters;
    std::map<std::string, prometheus::Gauge *, std::less<>> m_gauges;
};

} // namespace rattandock::adapters
