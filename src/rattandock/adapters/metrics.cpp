#include "rattandock/adapters/metrics.hpp"

#include <prometheus/text_serializer.h>
#include <unistd.h>

#include <fstream>

#include "detail/metric_tables.hpp"

namespace rattandock::adapters {

namespace {

/// A key of both parts; short enough to need no allocation beyond the thread's buffer.
const std::string &keyOf(std::string_view name, std::string_view reason)
{
    thread_local std::string key;
    key.assign(name);
    key += '/';
    key += reason;
    return key;
}

} // namespace

Metrics::Metrics()
    : m_registry(std::make_shared<prometheus::Registry>())
{
    for (const auto &family : detail::counterFamilies()) {
        for (const std::string_view reason : family.reasons) {
            addCounter(family.name, family.help, reason, m_counters);
        }
    }
    for (const auto &family : detail::gaugeFamilies()) {
        auto &gauge = prometheus::BuildGauge()
                              .Name("rattandock_" + std::string{family.name})
                              .Help(std::string{family.help})
                              .Register(*m_registry);
        m_gauges.emplace(family.name, &gauge.Add({}));
    }
}

void Metrics::addCounter(std::string_view name, std::string_view help, std::string_view reason,
                         Counters &counters)
{
    auto &family = prometheus::BuildCounter()
                           .Name("rattandock_" + std::string{name} + "_total")
                           .Help(std::string{help})
                           .Register(*m_registry);
    counters.emplace(keyOf(name, reason), &family.Add({{"reason", std::string{reason}}}));
}

void Metrics::count(std::string_view name, std::string_view reason, double amount)
{
    const std::string &key = keyOf(name, reason);
    if (const auto it = m_counters.find(key); it != m_counters.end()) {
        it->second->Increment(amount);
        return;
    }
    const std::lock_guard lock{m_mutex};
    auto it = m_lateCounters.find(key);
    if (it == m_lateCounters.end()) {
        // The registry joins families by name only if their help is the same.
        std::string_view help = "Decisions by reason.";
        for (const auto &family : detail::counterFamilies()) {
            help = family.name == name ? family.help : help;
        }
        addCounter(name, help, reason, m_lateCounters);
        it = m_lateCounters.find(keyOf(name, reason));
    }
    it->second->Increment(amount);
}

void Metrics::set(std::string_view name, double value)
{
    m_gauges.at(std::string{name})->Set(value);
}

std::string Metrics::text() const
{
    return prometheus::TextSerializer{}.Serialize(m_registry->Collect());
}

std::uint64_t residentBytes()
{
    std::ifstream in{"/proc/self/statm"};
    std::uint64_t total = 0;
    std::uint64_t resident = 0;
    in >> total >> resident;
    return resident * static_cast<std::uint64_t>(::sysconf(_SC_PAGESIZE));
}

} // namespace rattandock::adapters
