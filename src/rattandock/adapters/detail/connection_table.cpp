#include "connection_table.hpp"

#include <boost/fiber/operations.hpp>

namespace rattandock::adapters::detail {

using boost::asio::ip::tcp;

namespace {

/// Bytes of a connection that are not charged, so that an ordinary request never lacks room. The
/// bound on connections bounds them together.
constexpr std::size_t freeBytes = 8U << 10U;

std::size_t chargeFor(std::size_t heldBytes)
{
    return heldBytes > freeBytes ? heldBytes - freeBytes : 0;
}

} // namespace

void ConnectionTable::beginWait(ServerConnection &connection)
{
    connection.waitNumber = ++m_lastWait;
    (connection.chargedBytes > 0 ? m_charged : m_uncharged).push_back(connection);
}

void ConnectionTable::endWait(ServerConnection &connection)
{
    if (connection.isEvicted) {
        return;
    }
    List &list = connection.chargedBytes > 0 ? m_charged : m_uncharged;
    list.erase(list.iterator_to(connection));
}

bool ConnectionTable::makeRoom(std::size_t bytes)
{
    while (m_budget.usedBytes + bytes > m_budget.maxBytes) {
        if (m_evicting == 0) {
            if (m_charged.empty()) {
                return false;
            }
            evict(m_charged);
        }
        boost::this_fiber::yield();
    }
    return true;
}

bool ConnectionTable::charge(ServerConnection &connection, std::size_t heldBytes)
{
    const std::size_t charge = chargeFor(heldBytes);
    if (charge > connection.chargedBytes && !makeRoom(charge - connection.chargedBytes)) {
        return false;
    }
    m_budget.usedBytes += charge - connection.chargedBytes;
    connection.chargedBytes = charge;
    return true;
}

void ConnectionTable::chargeAnyway(ServerConnection &connection, std::size_t heldBytes)
{
    if (!charge(connection, heldBytes)) {
        const std::size_t charge = chargeFor(heldBytes);
        m_budget.usedBytes += charge - connection.chargedBytes;
        connection.chargedBytes = charge;
    }
}

void ConnectionTable::remove(ServerConnection &connection)
{
    m_budget.usedBytes -= connection.chargedBytes;
    connection.chargedBytes = 0;
    if (connection.isEvicted) {
        --m_evicting;
    }
}

bool ConnectionTable::evictOne()
{
    if (m_charged.empty() && m_uncharged.empty()) {
        return false;
    }
    const bool isChargedOlder =
            !m_charged.empty()
            && (m_uncharged.empty()
                || m_charged.front().waitNumber < m_uncharged.front().waitNumber);
    evict(isChargedOlder ? m_charged : m_uncharged);
    return true;
}

void ConnectionTable::evict(List &from)
{
    ServerConnection &connection = from.front();
    from.pop_front();
    connection.isEvicted = true;
    ++m_evicting;
    connection.stream.cancel();
}

void ConnectionTable::shutDownReads()
{
    for (List *const list : {&m_charged, &m_uncharged}) {
        for (ServerConnection &it : *list) {
            boost::system::error_code ec;
            // Unlike a cancellation, this also ends reads that begin later.
            it.stream.socket().shutdown(tcp::socket::shutdown_receive, ec);
        }
    }
}

} // namespace rattandock::adapters::detail
