#include "rattandock/app/event_history.hpp"

#include <algorithm>
#include <array>

#include "rattandock/adapters/log.hpp"

namespace rattandock::app {

using adapters::LogLevel;
using adapters::LogPart;

namespace {

LogPart partOf(core::NoteKind kind)
{
    switch (kind) {
    case core::NoteKind::UpstreamSetAside:
    case core::NoteKind::UpstreamRestored:
    case core::NoteKind::UpstreamLeaving:
    case core::NoteKind::UnknownAttempt:
        return LogPart::Upstream;
    case core::NoteKind::PeerMessageRefused:
    case core::NoteKind::HandoverSent:
    case core::NoteKind::HandoverTaken:
    case core::NoteKind::KeyRangeChanged:
        return LogPart::Peer;
    case core::NoteKind::ConfigurationInForce:
        return LogPart::Config;
    default:
        return LogPart::Dispatch;
    }
}

LogLevel levelOf(core::NoteKind kind)
{
    switch (kind) {
    case core::NoteKind::UpstreamSetAside:
    case core::NoteKind::PeerMessageRefused:
        return LogLevel::Warn;
    case core::NoteKind::JobAccepted:
    case core::NoteKind::JobJoined:
    case core::NoteKind::JobEnded:
    case core::NoteKind::TaskPlaced:
        return LogLevel::Debug;
    default:
        return LogLevel::Info;
    }
}

/// Name of the counter of a kind: its stable name with underscores.
std::string_view counterOf(core::NoteKind kind)
{
    static const auto names = [] {
        std::array<std::string, core::noteKindCount> all;
        for (std::size_t n = 0; n < all.size(); ++n) {
            all.at(n) = name(static_cast<core::NoteKind>(n));
            std::ranges::replace(all.at(n), '-', '_');
        }
        return all;
    }();
    return names.at(static_cast<std::size_t>(kind));
}

} // namespace

EventHistory::EventHistory(adapters::Metrics &metrics, std::size_t maxEntries)
    : m_metrics(metrics)
    , m_maxEntries(maxEntries)
{
}

void EventHistory::note(const core::Note &note, TimePoint now)
{
    m_metrics.count(counterOf(note.kind), note.reason);
    ++m_counts[{note.kind, std::string{note.reason}}];
    if (isLogged(levelOf(note.kind))) {
        std::string sentence{name(note.kind)};
        sentence += " reason=" + std::string{note.reason};
        if (!note.detail.empty()) {
            sentence += " (" + note.detail + ')';
        }
        log(levelOf(note.kind), partOf(note.kind), sentence, note.job.value());
    }
    if (!note.job.value().empty()) {
        m_numbersOf[note.job].push_back(m_firstNumber + m_entries.size());
    }
    m_entries.push_back({now, note.kind, std::string{note.reason}, note.job, note.detail});
    if (m_entries.size() > m_maxEntries) {
        forgetOldest();
    }
}

std::vector<HistoryEntry> EventHistory::about(const JobId &job) const
{
    std::vector<HistoryEntry> found;
    if (const auto it = m_numbersOf.find(job); it != m_numbersOf.end()) {
        for (const std::uint64_t number : it->second) {
            found.push_back(m_entries[number - m_firstNumber]);
        }
    }
    return found;
}

std::vector<DecisionCount> EventHistory::counts() const
{
    std::vector<DecisionCount> counts;
    for (const auto &[key, n] : m_counts) {
        counts.push_back({key.first, key.second, n});
    }
    return counts;
}

void EventHistory::forgetOldest()
{
    if (const auto it = m_numbersOf.find(m_entries.front().job); it != m_numbersOf.end()) {
        it->second.pop_front();
        if (it->second.empty()) {
            m_numbersOf.erase(it);
        }
    }
    m_entries.pop_front();
    ++m_firstNumber;
}

} // namespace rattandock::app
