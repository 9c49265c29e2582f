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

LogPart partOf(fleet::FleetLogRecordKind kind)
{
    switch (kind) {
    case fleet::FleetLogRecordKind::UpstreamClaimed:
    case fleet::FleetLogRecordKind::UpstreamReleased:
    case fleet::FleetLogRecordKind::UpstreamLost:
    case fleet::FleetLogRecordKind::UpstreamGone:
    case fleet::FleetLogRecordKind::UpstreamSetAside:
    case fleet::FleetLogRecordKind::UpstreamRestored:
    case fleet::FleetLogRecordKind::UpstreamCold:
    case fleet::FleetLogRecordKind::UpstreamsLimited:
    case fleet::FleetLogRecordKind::UpstreamLimitRaised:
        return LogPart::Upstream;
    case fleet::FleetLogRecordKind::PeerLink:
        return LogPart::Peer;
    default:
        return LogPart::Dispatch;
    }
}

LogLevel levelOf(const fleet::FleetLogRecord &note)
{
    switch (note.kind) {
    case fleet::FleetLogRecordKind::OfferAnswered:
        return note.reason == fleet::name(fleet::OfferResult::Done) ? LogLevel::Debug
                                                                    : LogLevel::Info;
    case fleet::FleetLogRecordKind::JobCompleted:
    case fleet::FleetLogRecordKind::TasksOffered:
    // The link itself logs the change.
    case fleet::FleetLogRecordKind::PeerLink:
        return LogLevel::Debug;
    case fleet::FleetLogRecordKind::UpstreamLost:
    case fleet::FleetLogRecordKind::UpstreamSetAside:
    case fleet::FleetLogRecordKind::Paused:
        return LogLevel::Warn;
    default:
        return LogLevel::Info;
    }
}

/// Name of the counter of a decision: its stable name with underscores.
const std::string &counterOf(std::string_view event)
{
    thread_local std::unordered_map<std::string_view, std::string> names;
    std::string &found = names[event];
    if (found.empty()) {
        found = event;
        std::ranges::replace(found, '-', '_');
    }
    return found;
}

} // namespace

EventHistory::EventHistory(adapters::Metrics &metrics, std::size_t maxEntries)
    : m_metrics(metrics)
    , m_maxEntries(maxEntries)
{
}

void EventHistory::note(const core::Note &note, TimePoint now)
{
    const auto order = static_cast<std::size_t>(note.kind);
    record({name(note.kind), order, levelOf(note.kind), partOf(note.kind)}, note.reason, note.job,
           note.detail, now);
}

void EventHistory::note(const fleet::FleetLogRecord &note, TimePoint now)
{
    const auto order = core::noteKindCount + static_cast<std::size_t>(note.kind);
    record({name(note.kind), order, levelOf(note), partOf(note.kind)}, note.reason, note.job,
           note.detail, now);
}

void EventHistory::record(const Kind &kind, std::string_view reason, const JobId &job,
                          const std::string &detail, TimePoint now)
{
    m_metrics.count(counterOf(kind.event), reason);
    ++m_counts[{kind.order, kind.event, std::string{reason}}];
    if (isLogged(kind.level)) {
        std::string sentence{kind.event};
        sentence += " reason=" + std::string{reason};
        if (!detail.empty()) {
            sentence += " (" + detail + ')';
        }
        log(kind.level, kind.part, sentence, job.value());
    }
    if (!job.value().empty()) {
        m_numbersOf[job].push_back(m_firstNumber + m_entries.size());
    }
    m_entries.push_back({now, kind.event, std::string{reason}, job, detail});
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
        counts.push_back({key.event, key.reason, n});
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
