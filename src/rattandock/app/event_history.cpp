#include "rattandock/app/event_history.hpp"

#include <algorithm>

#include "rattandock/adapters/log.hpp"

namespace rattandock::app {

using adapters::LogLevel;
using adapters::LogPart;

namespace {

/// About 4 MB with typical ids.
constexpr std::size_t maxEntries = 20'000;

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

} // namespace

EventHistory::EventHistory(adapters::Metrics &metrics)
    : m_metrics(metrics)
{
}

void EventHistory::note(const core::Note &note, TimePoint now)
{
    std::string counter{name(note.kind)};
    std::ranges::replace(counter, '-', '_');
    m_metrics.count(counter, note.reason);
    if (isLogged(levelOf(note.kind))) {
        std::string sentence{name(note.kind)};
        sentence += " reason=" + std::string{note.reason};
        if (!note.detail.empty()) {
            sentence += " (" + note.detail + ')';
        }
        log(levelOf(note.kind), partOf(note.kind), sentence, note.job.value());
    }
    m_entries.push_back({now, note.kind, std::string{note.reason}, note.job, note.detail});
    if (m_entries.size() > maxEntries) {
        m_entries.pop_front();
    }
}

std::vector<HistoryEntry> EventHistory::about(const JobId &job) const
{
    std::vector<HistoryEntry> found;
    for (const HistoryEntry &it : m_entries) {
        if (it.job == job) {
            found.push_back(it);
        }
    }
    return found;
}

} // namespace rattandock::app
