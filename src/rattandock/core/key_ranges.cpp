#include "rattandock/core/key_ranges.hpp"

#include <xxhash.h>

#include <algorithm>

namespace rattandock::core {

namespace {

/// Extends a wait by 1%, the largest assumed drift between the monotonic clocks of two VMs.
Duration withClockDrift(Duration span)
{
    return span + span / 100;
}

} // namespace

KeyRanges::KeyRanges(const DispatcherOptions &options, const SafetyRules &rules)
    : m_options(options)
    , m_rules(rules)
    , m_self{options.vm, options.incarnation}
    , m_ranges(options.keyRangeCount)
    , m_nextCycle(TimePoint::min())
{
}

std::uint32_t KeyRanges::rangeOf(const JobId &id) const
{
    const auto hash = XXH3_64bits(id.value().data(), id.value().size());
    return static_cast<std::uint32_t>(hash % m_ranges.size());
}

KeyRangeState KeyRanges::rangeState(std::uint32_t range, TimePoint now) const
{
    const Range &it = m_ranges.at(range);
    if (!it.held) {
        return KeyRangeState::NotHeld;
    }
    if (m_rules.checkLease && (!m_leaseUntil || now >= *m_leaseUntil)) {
        return KeyRangeState::LeaseExpired;
    }
    return m_rules.quarantine && now < it.quarantineUntil ? KeyRangeState::Quarantined
                                                          : KeyRangeState::Held;
}

std::optional<KeyHolder> KeyRanges::holder(std::uint32_t range) const
{
    const Range &it = m_ranges.at(range);
    return it.row ? std::optional{it.row->holder} : std::nullopt;
}

std::size_t KeyRanges::knownCount() const
{
    return static_cast<std::size_t>(
            std::ranges::count_if(m_ranges, [](const Range &it) { return it.row.has_value(); }));
}

std::size_t KeyRanges::heldCount() const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_ranges, &Range::held));
}

TableOperationId KeyRanges::nextOperation()
{
    return TableOperationId{m_self.vm.value() + '.' + std::to_string(m_self.incarnation.value())
                            + '.' + std::to_string(++m_counter)};
}

void KeyRanges::step(TimePoint now, Actions &actions)
{
    if (m_pending && now >= m_pending->timeoutAt) {
        m_pending.reset();
        m_nextCycle = now + m_options.tableRetry;
    }
    if (m_stopped || m_pending || now < m_nextCycle) {
        return;
    }
    m_cycleRequested = false;
    m_pending = Operation{nextOperation(), now + m_options.tableTimeout, {}};
    actions.emplace_back(ReadTable{m_pending->id, std::string{keyRowPrefix}});
}

void KeyRanges::startCycleNow(TimePoint now)
{
    m_cycleRequested = true;
    m_nextCycle = std::min(m_nextCycle, now);
}

std::optional<TimePoint> KeyRanges::nextTimer() const
{
    if (m_pending) {
        return m_pending->timeoutAt;
    }
    return m_stopped ? std::nullopt : std::optional{m_nextCycle};
}

void KeyRanges::on(const TableRowsRead &event, const SealedSets &sealed, std::size_t peerCount,
                   TimePoint now, Actions &actions)
{
    if (!m_pending || m_pending->id != event.operation) {
        return;
    }
    m_pending.reset();
    readRows(event.rows, now);
    if (!m_stopped) {
        startTransaction(sealed, peerCount, now, actions);
    }
}

void KeyRanges::on(const TableTransacted &event, TimePoint now, Actions &actions)
{
    if (!m_pending || m_pending->id != event.operation) {
        return;
    }
    const Operation operation = std::move(*m_pending);
    m_pending.reset();
    m_nextCycle = m_cycleRequested
                          ? now
                          : now + (event.committed ? m_options.leaseRenewal : m_options.tableRetry);
    if (!event.committed) {
        return;
    }
    const std::size_t before = heldCount();
    for (const TableWrite &it : operation.writes) {
        if (const auto range = parseRangeKey(it.key)) {
            m_ranges.at(*range).row = parseRangeRow(*it.value);
            updateHeld(m_ranges.at(*range), now);
        } else if (it.key == leaseKey(m_self)) {
            confirmLease(*it.value);
        }
    }
    if (knownCount() < m_ranges.size()) {
        // Other VMs are taking the remaining free ranges now. Reading again soon makes their
        // holders available, so that keys of these ranges can be forwarded.
        m_nextCycle = std::min(m_nextCycle, now + m_options.tableRetry);
    }
    if (heldCount() != before) {
        actions.emplace_back(Note{NoteKind::KeyRangeChanged,
                                  "taken",
                                  {},
                                  std::to_string(heldCount()) + " ranges held"});
    }
}

void KeyRanges::on(const TableOperationFailed &event, TimePoint now)
{
    if (m_pending && m_pending->id == event.operation) {
        // The transaction may have been committed, or may still be committed later. The next read
        // returns the result.
        m_pending.reset();
        m_nextCycle = now + m_options.tableRetry;
    }
}

void KeyRanges::readRows(const std::vector<TableRow> &rows, TimePoint now)
{
    // After a gap in the reads, an unchanged lease doesn't show that its holder is lost: the holder
    // may have been unable to reach the platform, as this VM was. Its wait starts again.
    const bool gap = !m_lastRead || now - *m_lastRead > 2 * m_options.leaseRenewal;
    m_lastRead = now;
    for (auto &[holder, lease] : m_leases) {
        lease.present = false;
    }
    for (Range &it : m_ranges) {
        it.row.reset();
        it.version = 0;
    }
    for (const TableRow &row : rows) {
        if (const auto holder = parseLeaseKey(row.key)) {
            auto [it, added] = m_leases.try_emplace(*holder);
            Lease &lease = it->second;
            if (added || gap || lease.value != row.value || lease.version != row.version) {
                lease = {row.value, row.version, now, true};
            }
            lease.present = true;
        } else if (const auto range = parseRangeKey(row.key); range && *range < m_ranges.size()) {
            m_ranges[*range].row = parseRangeRow(row.value);
            m_ranges[*range].version = row.version;
        }
    }
    std::erase_if(m_leases, [](const auto &it) { return !it.second.present; });
    for (Range &it : m_ranges) {
        updateHeld(it, now);
    }
    if (const auto own = m_leases.find(m_self); own != m_leases.end()) {
        confirmLease(own->second.value);
    }
}

void KeyRanges::updateHeld(Range &range, TimePoint now)
{
    const bool held = range.row && range.row->holder == m_self;
    if (held && !range.held && range.row->quarantine) {
        range.quarantineUntil =
                now + withClockDrift(m_options.keyValidity + m_options.keyTransitTime);
    }
    range.held = held;
}

void KeyRanges::confirmLease(const std::string &value)
{
    if (const auto sent = m_sentLeases.find(value); sent != m_sentLeases.end()) {
        m_leaseUntil = sent->second + m_options.lease;
    }
}

bool KeyRanges::isLeaseExpired(const KeyHolder &holder, TimePoint now) const
{
    if (holder == m_self) {
        return false;
    }
    const auto it = m_leases.find(holder);
    // A holder writes its lease in the same transaction that takes ranges, and a successor deletes
    // the lease row in the transaction that takes all of them. So each holder of a range has a
    // lease row.
    const Duration expiryWait =
            m_rules.watchLease ? withClockDrift(m_options.lease) : 2 * m_options.leaseRenewal;
    return it != m_leases.end() && now - it->second.unchangedSince >= expiryWait;
}

void KeyRanges::startTransaction(const SealedSets &sealed, std::size_t peerCount, TimePoint now,
                                 Actions &actions)
{
    std::vector<TableCheck> checks;
    std::vector<TableWrite> writes;
    const auto own = m_leases.find(m_self);
    const std::string lease = "renewal-" + std::to_string(++m_counter);
    checks.push_back({leaseKey(m_self), own == m_leases.end() ? 0 : own->second.version});
    writes.push_back({leaseKey(m_self), lease});

    // Each transaction takes all ranges of at most one stopped or lost holder and deletes its lease
    // row. This makes that holder's next renewal fail, and its next read shows it holds no ranges.
    std::optional<KeyHolder> previousHolder;
    bool handedOver = false;
    for (const Range &it : m_ranges) {
        if (it.row && it.row->holder != m_self && !handedOver) {
            handedOver = sealed.accepted(it.row->holder.incarnation);
            if (handedOver || (!previousHolder && isLeaseExpired(it.row->holder, now))) {
                previousHolder = it.row->holder;
            }
        }
    }
    if (previousHolder) {
        const auto it = m_leases.find(*previousHolder);
        checks.push_back(
                {leaseKey(*previousHolder), it == m_leases.end() ? 0 : it->second.version});
        writes.push_back({leaseKey(*previousHolder), std::nullopt});
    }
    // Limits the free ranges taken per cycle, so that VMs that start together get similar shares.
    std::size_t freeRangeShare = m_ranges.size() / (peerCount + 1) + 1;
    for (std::uint32_t n = 0; n < m_ranges.size(); ++n) {
        const Range &it = m_ranges[n];
        std::optional<bool> quarantine;
        if (!it.row && it.version == 0 && freeRangeShare > 0) {
            --freeRangeShare;
            quarantine = false;
        } else if (it.row && previousHolder && it.row->holder == *previousHolder) {
            quarantine = !handedOver || it.row->quarantine;
        } else if (it.held && it.row->quarantine && now >= it.quarantineUntil) {
            quarantine = false;
        }
        if (quarantine) {
            checks.push_back({rangeKey(n), it.version});
            writes.push_back({rangeKey(n), format(RangeRow{m_self, *quarantine})});
        }
    }
    std::erase_if(m_sentLeases, [&](const auto &it) { return it.second + m_options.lease < now; });
    m_sentLeases.emplace(lease, now);
    m_pending = Operation{nextOperation(), now + m_options.tableTimeout, writes};
    actions.emplace_back(TransactTable{m_pending->id, std::move(checks), std::move(writes)});
}

} // namespace rattandock::core
