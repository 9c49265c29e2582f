#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "rattandock/app/config_reading.hpp"

namespace rattandock::app {

struct QueueAdded
{
    fleet::QueueId queue;
};

struct QueueRemoved
{
    fleet::QueueId queue;
};

/// One member of a queue that both configurations have.
struct QueueChanged
{
    fleet::QueueId queue;
    QueueField field{};
    std::string from;
    std::string to;
};

using ConfigDifference = std::variant<QueueAdded, QueueRemoved, QueueChanged>;

/// How a configuration differs from an earlier one.
struct ConfigDifferences
{
    /// The items that are kept; more are only counted.
    static constexpr std::size_t maxKept = 1'000;

    /// Added and changed queues in the order of the new configuration, then removed ones in the
    /// order of the earlier one.
    std::vector<ConfigDifference> items;
    std::size_t added = 0;
    std::size_t removed = 0;
    /// Queues of which at least one member changed.
    std::size_t changed = 0;
    std::size_t omitted = 0;
};

/// Compares by the queues' names. Of queues with the same name the first is compared with the
/// first, and so on. The order of queues is not compared. Work: n log n in the number of queues.
/// Thread safety: may be called from any thread.
ConfigDifferences compareConfigurations(const fleet::FleetConfig &from,
                                        const fleet::FleetConfig &to);

/// The value of a member as text.
std::string valueOf(const fleet::QueueSpec &queue, QueueField field);

} // namespace rattandock::app
