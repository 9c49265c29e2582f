#include "rattandock/app/config_differences.hpp"

#include <array>
#include <charconv>
#include <map>

namespace rattandock::app {

namespace {

/// Queues by name and by their number among those of the same name.
using QueuesByName = std::map<std::pair<std::string_view, std::size_t>, const fleet::QueueSpec *>;

/// Gives each queue its number among those of the same name.
class NameCounter
{
public:
    std::pair<std::string_view, std::size_t> next(const fleet::QueueSpec &queue)
    {
        const std::string_view id = queue.id.value();
        return {id, m_counts[id]++};
    }

private:
    std::map<std::string_view, std::size_t> m_counts;
};

QueuesByName byName(const fleet::FleetConfig &config)
{
    NameCounter names;
    QueuesByName queues;
    for (const fleet::QueueSpec &it : config.queues) {
        queues.emplace(names.next(it), &it);
    }
    return queues;
}

void keep(ConfigDifferences &differences, ConfigDifference difference)
{
    if (differences.items.size() < ConfigDifferences::maxKept) {
        differences.items.push_back(std::move(difference));
    } else {
        ++differences.omitted;
    }
}

/// True if a member differs.
bool keepChanges(ConfigDifferences &differences, const fleet::QueueSpec &from,
                 const fleet::QueueSpec &to)
{
    bool isChanged = false;
    for (std::size_t n = 0; n < queueFieldCount; ++n) {
        const auto field = static_cast<QueueField>(n);
        std::string before = valueOf(from, field);
        std::string after = valueOf(to, field);
        if (before != after) {
            isChanged = true;
            keep(differences, QueueChanged{to.id, field, std::move(before), std::move(after)});
        }
    }
    return isChanged;
}

/// Numbers are read with an error of a few units of the last place, which is no difference.
std::string textOf(double number)
{
    constexpr int digits = 12;
    std::array<char, 32> buf{};
    const auto end = std::to_chars(buf.data(), buf.data() + buf.size(), number,
                                   std::chars_format::general, digits)
                             .ptr;
    return {buf.data(), end};
}

} // namespace

std::string valueOf(const fleet::QueueSpec &queue, QueueField field)
{
    switch (field) {
    case QueueField::Name:
        return queue.id.value();
    case QueueField::Host:
        return queue.host;
    case QueueField::PathPrefix:
        return queue.pathPrefix;
    case QueueField::Service:
        return queue.service.value();
    case QueueField::Timeout:
        return std::to_string(toMilliseconds(queue.timeout));
    case QueueField::TargetLatency:
        return std::to_string(toMilliseconds(queue.targetLatency));
    case QueueField::Stretch:
        return textOf(queue.stretch);
    case QueueField::MaxAttempts:
        return std::to_string(queue.maxAttempts);
    case QueueField::Priority:
        return std::to_string(queue.priority);
    case QueueField::Advice:
        return queue.needsAdvice ? "true" : "false";
    }
    return {};
}

ConfigDifferences compareConfigurations(const fleet::FleetConfig &from,
                                        const fleet::FleetConfig &to)
{
    ConfigDifferences differences;
    QueuesByName before = byName(from);
    NameCounter names;
    for (const fleet::QueueSpec &it : to.queues) {
        const auto old = before.find(names.next(it));
        if (old == before.end()) {
            ++differences.added;
            keep(differences, QueueAdded{it.id});
            continue;
        }
        if (*old->second != it && keepChanges(differences, *old->second, it)) {
            ++differences.changed;
        }
        before.erase(old);
    }
    differences.removed = before.size();
    NameCounter oldNames;
    for (const fleet::QueueSpec &it : from.queues) {
        if (before.contains(oldNames.next(it))) {
            keep(differences, QueueRemoved{it.id});
        }
    }
    return differences;
}

} // namespace rattandock::app
