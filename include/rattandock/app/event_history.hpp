#pragma once

#include <compare>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "rattandock/adapters/log.hpp"
#include "rattandock/adapters/metrics.hpp"
#include "rattandock/fleet/fleet_action.hpp"
#include "rattandock/ports/action_ports.hpp"

namespace rattandock::app {

/// One decision as `explain` shows it.
struct HistoryEntry
{
    TimePoint time;
    /// Stable name of what was decided.
    std::string_view event;
    std::string reason;
    JobId job;
    std::string detail;
};

/// How often a decision was taken for a reason since the start.
struct DecisionCount
{
    std::string_view event;
    std::string reason;
    std::uint64_t count = 0;
};

/// Counts and logs each decision and keeps the last ones, indexed by job, for `explain`.
/// Thread safety: the decision thread only.
class EventHistory final : public ports::NoteSink
{
public:
    /// Keeps at most `maxEntries` decisions; the default is about 6 MB with typical ids.
    explicit EventHistory(adapters::Metrics &metrics, std::size_t maxEntries = 20'000);

    void note(const core::Note &note, TimePoint now) override;
    void note(const fleet::FleetLogRecord &note, TimePoint now);

    /// The kept decisions about a job, oldest first.
    std::vector<HistoryEntry> about(const JobId &job) const;

    /// Ordered by kind and reason.
    std::vector<DecisionCount> counts() const;

    std::size_t size() const { return m_entries.size(); }

private:
    /// How a kind of decision is logged and listed.
    struct Kind
    {
        std::string_view event;
        std::size_t order = 0;
        adapters::LogLevel level{};
        adapters::LogPart part{};
    };
    struct CountKey
    {
        std::size_t order = 0;
        std::string_view event;
        std::string reason;

        friend auto operator<=>(const CountKey &, const CountKey &) = default;
    };
    void record(const Kind &kind, std::string_view reason, const JobId &job,
                const std::string &detail, TimePoint now);
    void forgetOldest();

    adapters::Metrics &m_metrics;
    const std::size_t m_maxEntries;
    std::deque<HistoryEntry> m_entries;
    /// Number of the first entry in m_entries.
    std::uint64_t m_firstNumber = 0;
    /// Numbers of the kept entries of each job, oldest first.
    std::unordered_map<JobId, std::deque<std::uint64_t>> m_numbersOf;
    std::map<CountKey, std::uint64_t> m_counts;
};

} // namespace rattandock::app
