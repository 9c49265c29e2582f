#pragma once

#include <atomic>
#include <boost/fiber/future.hpp>
#include <unordered_map>
#include <vector>

#include "rattandock/adapters/io_threads.hpp"
#include "rattandock/ports/action_ports.hpp"

namespace rattandock::app {

/// Brings each answer to the fiber whose caller waits for it. Each I/O thread has its own table,
/// so no lock is needed; the thread is part of the request id.
class AnswerBoard final : public ports::CallerPort
{
public:
    explicit AnswerBoard(adapters::IoThreads &threads);

    /// Registers a request of the calling I/O thread.
    CallerRequestId open();
    /// Suspends the calling fiber until the answer is there.
    /// Precondition: open() gave the request on this thread; called once for it.
    core::JobOutcome wait(CallerRequestId request);

    void answer(core::AnswerCaller answer) override;

    /// Answers every waiting request, and each that opens later, `unknown`: the process ends, and
    /// their tasks may run. Thread safety: from outside the I/O threads.
    void answerAllUnknown();

private:
    using Promise = boost::fibers::promise<core::JobOutcome>;

    struct Table
    {
        std::uint64_t next = 1;
        bool closed = false;
        std::unordered_map<CallerRequestId, Promise> waiting;
    };

    adapters::IoThreads &m_threads;
    std::vector<Table> m_tables;
};

} // namespace rattandock::app
