#include "rattandock/adapters/metrics.hpp"

#include <prometheus/text_serializer.h>

namespace rattandock::adapters {

Metrics::Metrics()
    : m_registry(std::make_shared<prometheus::Registry>())
{
}

void Metrics::count(std::string_view name, std::string_view reason, double amount)
{
    const std::lock_guard lock{m_mutex};
    const std::pair<std::string, std::string> key{name, reason};
    auto it = m_counters.find(key);
    if (it == m_counters.end()) {
        auto &family = prometheus::BuildCounter()
                               .Name("rattandock_" + key.first + "_total")
                               .Help("See docs/metrics.md")
                               .Register(*m_registry);
        it = m_counters.emplace(key, &family.Add({{"reason", key.second}})).first;
    }
    it->second->Increment(amount);
}

void Metrics::set(std::string_view name, double value)
{
    const std::lock_guard lock{m_mutex};
    auto it = m_gauges.find(name);
    if (it == m_gauges.end()) {
        auto &family = prometheus::BuildGauge()
                               .Name("rattandock_" + std::string{name})
                               .Help("See docs/metrics.md")
                               .Register(*m_registry);
        it = m_gauges.emplace(std::string{name}, &family.Add({})).first;
    }
    it->second->Set(value);
}

std::string Metrics::text() const
{
    return prometheus::TextSerializer{}.Serialize(m_registry->Collect());
}

} // namespace rattandock::adapters
