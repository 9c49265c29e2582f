#include "rattandock/fleet/upstream_directory.hpp"

#include <algorithm>
#include <set>

namespace rattandock::fleet {

namespace {

/// Largest number of upstreams in one message to the other VMs of the zone.
constexpr std::size_t maxForwardedChanges = 200;

/// Forwarded changes with a greater or a negative age are invalid and come from a faulty sender.
constexpr Duration maxChangesAge = std::chrono::minutes{1};
/// Target number of changed rows per read, well below the limit of 500 rows per answer.
constexpr Duration::rep targetRowsPerRead = 350;

} // namespace

TimePoint UpstreamDirectory::nextRead(std::size_t rank) const
{
    if (m_asOf == TimePoint::min() || m_needsWholeRead) {
        return TimePoint::min();
    }
    const auto steps = static_cast<Duration::rep>(rank);
    return m_asOf + std::min(m_times.interval, m_fullAnswerInterval)
           + std::min(m_times.delayPerRank * steps, m_times.maxDelay);
}

UpstreamDirectory::Update UpstreamDirectory::applyRead(DirectoryRead read)
{
    Update update;
    UpstreamListRead &seen = update.seen;
    if (read.version < m_version) {
        // Forwarded changes that arrived during the read are newer than its rows.
        return update;
    }
    updateReadInterval(read);
    if (read.isPartial) {
        // A partial answer does not contain the time at which its last row was written, so the age
        // of the copy would be unknown. The next read requests the whole list.
        m_needsWholeRead = true;
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
    for (const UpstreamEntry &it : read.present) {
        const auto known = m_entries.find(it.id);
        if (it.coldLeft > Duration{}
            || (known != m_entries.end() && known->second.coldLeft > Duration{})) {
            seen.cold.push_back({it.id, read.sentAt + it.coldLeft});
        }
        if (known != m_entries.end()) {
            known->second.coldLeft = it.coldLeft;
        }
    }
    std::ranges::copy_if(read.present, std::back_inserter(seen.present), [&](const auto &it) {
        const auto known = m_entries.find(it.id);
        return known == m_entries.end() || known->second != it;
    });
    apply(seen);
    // Without a previous version the removed upstreams are unknown. A long list of changes costs
    // less to read from the store than to send to every VM.
    if (m_version > 0 && seen.present.size() + seen.removed.size() <= maxForwardedChanges) {
        update.changes = {m_version, read.version, {}, seen.present, seen.removed};
    }
    recordStep(seen, read.version);
    m_version = read.version;
    m_asOf = std::max(m_asOf, read.sentAt);
    seen.asOf = m_asOf;
    m_needsWholeRead = false;
    if (read.isWhole) {
        seen.present = std::move(read.present);
    }
    return update;
}

void UpstreamDirectory::updateReadInterval(const DirectoryRead &read)
{
    const auto rows = static_cast<Duration::rep>(read.present.size() + read.removed.size());
    if (read.isWhole || rows == 0 || m_asOf == TimePoint::min() || read.sentAt <= m_asOf) {
        return;
    }
    m_fullAnswerInterval = (read.sentAt - m_asOf) * targetRowsPerRead / rows;
}

std::optional<UpstreamListRead> UpstreamDirectory::applyChanges(const UpstreamChanges &changes,
                                                                TimePoint now)
{
    const bool isAgeValid = changes.age >= Duration{} && changes.age <= maxChangesAge;
    if (!isAgeValid || m_version == 0 || changes.after > m_version || changes.version < m_version) {
        return std::nullopt;
    }
    UpstreamListRead seen;
    seen.present = changes.present;
    seen.removed = changes.removed;
    apply(seen);
    recordStep(seen, changes.version);
    m_version = changes.version;
    m_needsWholeRead = false;
    m_asOf = std::max(m_asOf, now - changes.age);
    seen.asOf = m_asOf;
    return seen;
}

bool UpstreamDirectory::isOverdue(TimePoint now) const
{
    return m_asOf == TimePoint::min() || now - m_asOf > m_times.interval + m_times.maxDelay;
}

std::optional<UpstreamChanges> UpstreamDirectory::changesSince(std::uint64_t version,
                                                               TimePoint now) const
{
    if (isOverdue(now) || version < m_stepsAfter || version > m_version) {
        return std::nullopt;
    }
    std::set<UpstreamId> changed;
    for (const Step &it : m_steps) {
        if (it.version > version) {
            changed.insert(it.changed.begin(), it.changed.end());
        }
    }
    UpstreamChanges changes{version, m_version, now - m_asOf, {}, {}};
    for (const UpstreamId &it : changed) {
        if (const auto entry = m_entries.find(it); entry != m_entries.end()) {
            changes.present.push_back(entry->second);
        } else {
            changes.removed.push_back(it);
        }
    }
    return changes;
}

void UpstreamDirectory::recordStep(const UpstreamListRead &seen, std::uint64_t version)
{
    if (m_version == 0) {
        m_stepsAfter = version;
        return;
    }
    Step step{version, seen.removed};
    for (const UpstreamEntry &it : seen.present) {
        step.changed.push_back(it.id);
    }
    if (step.changed.empty()) {
        return;
    }
    m_recordedChanges += step.changed.size();
    m_steps.push_back(std::move(step));
    while (m_recordedChanges > maxForwardedChanges) {
        m_stepsAfter = m_steps.front().version;
        m_recordedChanges -= m_steps.front().changed.size();
        m_steps.pop_front();
    }
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
