#include "rattandock/core/handover_sender.hpp"

namespace rattandock::core {

namespace {

/// Including the record headers, a batch stays well below the 4 MiB limit of a peer message.
constexpr std::uint64_t maxBatchBytes = 1U << 20U;
constexpr std::size_t batchesPerStep = 4;
/// Limits the rate to about 4 GB/s, so that other events are handled between the batches.
constexpr Duration stepInterval = std::chrono::milliseconds{1};

} // namespace

HandoverSender::HandoverSender(ZoneId zone, Duration confirmTimeout)
    : m_zone(std::move(zone))
    , m_confirmTimeout(confirmTimeout)
{
}

void HandoverSender::begin(std::vector<std::vector<HandoverRecords>> sets)
{
    m_sets = std::move(sets);
    m_begun = true;
}

bool HandoverSender::confirm(const VmId &successor, Incarnation sealed, TimePoint now)
{
    if (!m_begun || done() || successor != m_successor || m_nextBatch < m_sets[m_currentSet].size()
        || m_sets[m_currentSet].front().sealedIncarnation != sealed) {
        return false;
    }
    ++m_currentSet;
    m_nextBatch = 0;
    m_nextSendTime = now;
    m_confirmDeadline = now + m_confirmTimeout;
    return true;
}

bool HandoverSender::chooseSuccessor(const PeerTable &peers, TimePoint now)
{
    const bool confirmationTimedOut = now >= m_confirmDeadline;
    if (m_successor && peers.isLinked(*m_successor) && !confirmationTimedOut) {
        return true;
    }
    const auto candidates = peers.successors(m_zone);
    m_currentSet = 0;
    m_nextBatch = 0;
    if (candidates.empty()) {
        m_successor.reset();
        return false;
    }
    m_successor = candidates[m_successorChoices++ % candidates.size()];
    m_nextSendTime = now;
    m_confirmDeadline = now + m_confirmTimeout;
    return true;
}

void HandoverSender::step(const PeerTable &peers, TimePoint now, Actions &actions)
{
    if (!m_begun || done() || !chooseSuccessor(peers, now) || now < m_nextSendTime) {
        return;
    }
    const auto &batches = m_sets[m_currentSet];
    for (std::size_t n = 0; n < batchesPerStep && m_nextBatch < batches.size(); ++n) {
        actions.emplace_back(SendToPeer{*m_successor, batches[m_nextBatch++]});
        m_confirmDeadline = now + m_confirmTimeout;
    }
    m_nextSendTime = now + stepInterval;
}

std::optional<TimePoint> HandoverSender::nextTimer() const
{
    if (!m_begun || done() || !m_successor) {
        return std::nullopt;
    }
    return m_nextBatch < m_sets[m_currentSet].size() ? m_nextSendTime : m_confirmDeadline;
}

std::vector<HandoverRecords> splitIntoBatches(const HandoverRecords &header,
                                              std::vector<HandoverRecord> records,
                                              std::size_t maxRecords)
{
    std::vector<HandoverRecords> batches{header};
    std::uint64_t bytes = 0;
    for (HandoverRecord &it : records) {
        if (bodyBytes(it.outcome) > maxBatchBytes) {
            it.outcome = withoutBody(it.outcome);
        }
        bytes += bodyBytes(it.outcome);
        if (batches.back().records.size() >= maxRecords || bytes > maxBatchBytes) {
            batches.push_back(header);
            batches.back().batch = static_cast<std::uint32_t>(batches.size() - 1);
            bytes = bodyBytes(it.outcome);
        }
        batches.back().records.push_back(std::move(it));
    }
    batches.back().last = true;
    return batches;
}

} // namespace rattandock::core
