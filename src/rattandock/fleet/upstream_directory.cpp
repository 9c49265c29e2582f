#include "rattandock/fleet/upstream_directory.hpp"

#include <algorithm>
#include <set>

namespace rattandock::fleet {

namespace {

/// Upstreams in one message to the VMs of the zone.
constexpr std::size_t maxChangesPassedOn = 200;

/// Changes that claim a greater age, or one below zero, come from a faulty sender.
constexpr Duration longestSoundAge = std::chrono::minutes{1};
/// Changed rows that a read should find, well below the 500 of a full answer.
constexpr Duration::rep rowsAimedAt = 350;

} // namespace

TimePoint UpstreamDirectory::nextRead(std::size_t rank) const
{
    if (m_asOf == TimePoint::min() || m_needsWhole) {
        return TimePoint::min();
    }
    const auto steps = static_cast<Duration::rep>(rank);
    return m_asOf + std::min(m_times.interval, m_untilFull)
           + std::min(m_times.step * steps, m_times.longestDelay);
}

UpstreamDirectory::Update UpstreamDirectory::take(DirectoryRead read)
{
    Update update;
    UpstreamListRead &seen = update.seen;
    if (read.version < m_version) {
        // Changes that were passed on meanwhile are newer than these rows.
        return update;
    }
    learnRate(read);
    if (read.isPartial) {
        // It does not say when its last row was written, and the whole list follows.
        m_needsWhole = true;
        return update;
    }
    seen.isWhole = read.isWhole;
    seen.removed = std::move(read.removed);
    if (read.isWhole) {
        std::set<UpstreamId> present;
        for (const UpstreamEntry &it : read.present) {
            present.insert(it.id);
        }
        for (const auto &[id, entry] : m_entries) {
            if (!present.contains(id)) {
                seen.removed.push_back(id);
            }
        }
    }
    std::ranges::copy_if(read.present, std::back_inserter(seen.present), [&](const auto &it) {
        const auto known = m_entries.find(it.id);
        return known == m_entries.end() || known->second != it;
    });
    apply(seen);
    // Without an earlier version it isn't known what was removed, and a long list is read from the
    // store at less cost than it is sent to every VM.
    if (m_version > 0 && seen.present.size() + seen.removed.size() <= maxChangesPassedOn) {
        update.changes = {m_version, read.version, {}, seen.present, seen.removed};
    }
    m_version = read.version;
    m_asOf = std::max(m_asOf, read.sentAt);
    seen.asOf = m_asOf;
    m_needsWhole = false;
    if (read.isWhole) {
        seen.present = std::move(read.present);
    }
    return update;
}

void UpstreamDirectory::learnRate(const DirectoryRead &read)
{
    const auto rows = static_cast<Duration::rep>(read.present.size() + read.removed.size());
    if (read.isWhole || rows == 0 || m_asOf == TimePoint::min() || read.sentAt <= m_asOf) {
        return;
    }
    m_untilFull = (read.sentAt - m_asOf) * rowsAimedAt / rows;
}

std::optional<UpstreamListRead> UpstreamDirectory::take(const UpstreamChanges &changes,
                                                        TimePoint now)
{
    const bool isAgeSound = changes.age >= Duration{} && changes.age <= longestSoundAge;
    if (!isAgeSound || m_version == 0 || changes.after > m_version || changes.version < m_version) {
        return std::nullopt;
    }
    UpstreamListRead seen;
    seen.present = changes.present;
    seen.removed = changes.removed;
    apply(seen);
    m_version = changes.version;
    m_needsWhole = false;
    m_asOf = std::max(m_asOf, now - changes.age);
    seen.asOf = m_asOf;
    return seen;
}

void UpstreamDirectory::apply(UpstreamListRead &seen)
{
    for (const UpstreamId &it : seen.removed) {
        m_entries.erase(it);
    }
    for (const UpstreamEntry &it : seen.present) {
        m_entries[it.id] = it;
    }
}

} // namespace rattandock::fleet
