#pragma once

#include <deque>
#include <string>
#include <vector>

#include "rattandock/adapters/metrics.hpp"
#include "rattandock/ports/action_ports.hpp"

namespace rattandock::app {

/// One decision as `explain` shows it.
struct HistoryEntry
{
    TimePoint time;
    core::NoteKind kind{};
    std::string reason;
    JobId job;
    std::string detail;
};

/// Counts and logs each decision and keeps the last ones for `explain`.
/// Thread safety: the decision thread only.
class EventHistory final : public ports::NoteSink
{
public:
    explicit EventHistory(adapters::Metrics &metrics);

    void note(const core::Note &note, TimePoint now) override;

    /// The kept decisions about a job, oldest first.
    std::vector<HistoryEntry> about(const JobId &job) const;

private:
    adapters::Metrics &m_metrics;
    std::deque<HistoryEntry> m_entries;
};

} // namespace rattandock::app
