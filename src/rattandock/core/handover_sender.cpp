#include "rattandock/core/handover_sender.hpp"

namespace rattandock::core {

namespace {

/// With the records' headers a batch stays far below the 4 MiB bound of a peer message.
constexpr std::uint64_t maxBatchBytes = 1U << 20U;
constexpr std::size_t batchesPerStep = 4;
/// Bounds the rate to about 4 GB/s, so that other events are handled between the batches.
constexpr Duration stepPause = std::chrono::milliseconds{1};

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
    if (!m_begun || done() || successor != m_successor || m_batch < m_sets[m_set].size()
        || m_sets[m_set].front().sealedIncarnation != sealed) {
        return false;
    }
    ++m_set;
    m_batch = 0;
    m_sendAt = now;
    m_confirmBy = now + m_confirmTimeout;
    return true;
}

bool HandoverSender::chooseSuccessor(const PeerTable &peers, TimePoint now)
{
    const bool silent = now >= m_confirmBy;
    if (m_successor && peers.isLinked(*m_successor) && !silent) {
        return true;
    }
    const auto candidates = peers.successors(m_zone);
    m_set = 0;
    m_batch = 0;
    if (candidates.empty()) {
        m_successor.reset();
        return false;
    }
    m_successor = candidates[m_choices++ % candidates.size()];
    m_sendAt = now;
    m_confirmBy = now + m_confirmTimeout;
    return true;
}

void HandoverSender::step(const PeerTable &peers, TimePoint now, Actions &actions)
{
    if (!m_begun || done() || !chooseSuccessor(peers, now) || now < m_sendAt) {
        return;
    }
    const auto &batches = m_sets[m_set];
    for (std::size_t n = 0; n < batchesPerStep && m_batch < batches.size(); ++n) {
        actions.emplace_back(SendToPeer{*m_successor, batches[m_batch++]});
        m_confirmBy = now + m_confirmTimeout;
    }
    m_sendAt = now + stepPause;
}

std::optional<TimePoint> HandoverSender::nextTimer() const
{
    if (!m_begun || done() || !m_successor) {
        return std::nullopt;
    }
    return m_batch < m_sets[m_set].size() ? m_sendAt : m_confirmBy;
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
