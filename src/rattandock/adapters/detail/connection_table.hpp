#pragma once

#include <atomic>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/intrusive/list.hpp>
#include <cstddef>
#include <cstdint>

#include "rattandock/adapters/io_wait.hpp"

namespace rattandock::adapters::detail {

/// Memory of the connections of all threads of a server.
struct BufferBudget
{
    explicit BufferBudget(std::size_t limit)
        : maxBytes(limit)
    {
    }

    const std::size_t maxBytes;
    std::atomic<std::size_t> usedBytes = 0;
};

/// One accepted connection. Its fiber owns it.
struct ServerConnection : boost::intrusive::list_base_hook<>
{
    explicit ServerConnection(boost::asio::ip::tcp::socket socket)
        : stream(std::move(socket))
    {
    }

    boost::beast::tcp_stream stream;
    /// Bytes that were read and not parsed.
    boost::beast::flat_buffer buf;
    /// Part of the budget that this connection uses.
    std::size_t chargedBytes = 0;
    /// Order in which the present waits began.
    std::uint64_t waitNumber = 0;
    /// It was ended to make room for others. Its fiber sends and reads nothing more.
    bool isEvicted = false;
};

/// Connections of one I/O thread. If memory or connections run out, those that have waited longest
/// for their client are ended, so that clients that stall cannot keep others out.
/// Thread safety: all methods are called from fibers of the thread.
class ConnectionTable
{
public:
    /// Precondition: the budget outlives the table.
    explicit ConnectionTable(BufferBudget &budget)
        : m_budget(budget)
    {
    }

    /// Suspends the fiber for an operation that depends on the client. The error is
    /// `operation_aborted` if the connection was evicted.
    template <typename Start>
    IoEnd awaitClient(ServerConnection &connection, Start &&start)
    {
        beginWait(connection);
        const IoEnd end = awaitIo(std::forward<Start>(start));
        endWait(connection);
        return connection.isEvicted ? IoEnd{boost::asio::error::operation_aborted, 0} : end;
    }

    /// Charges the connection for the bytes that it holds, in place of those from before. Evicts
    /// others until there is room, and suspends the fiber until they have ended; false if there
    /// is none to evict.
    bool charge(ServerConnection &connection, std::size_t heldBytes);
    /// As charge(), but charges the connection also if there is no room: for an answer, whose
    /// memory is already in use.
    void chargeAnyway(ServerConnection &connection, std::size_t heldBytes);
    /// The connection has ended. Precondition: it does not wait.
    void remove(ServerConnection &connection);

    /// Makes room for another connection; false if none waits for its client.
    bool evictOne();
    /// Evicted connections whose fibers have not ended.
    std::size_t evicting() const { return m_evicting; }

    /// Ends all reads, those that begin later too.
    void shutDownReads();

private:
    using List = boost::intrusive::list<ServerConnection>;

    void beginWait(ServerConnection &connection);
    void endWait(ServerConnection &connection);
    bool makeRoom(std::size_t bytes);
    void evict(List &from);

    BufferBudget &m_budget;
    /// Waiting connections, the longest wait first; those that use the budget and the others.
    List m_charged;
    List m_uncharged;
    std::uint64_t m_lastWait = 0;
    std::size_t m_evicting = 0;
};

} // namespace rattandock::adapters::detail
