#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <thread>
#include <vector>

namespace rattandock::adapters {

/// A fixed set of threads, each with its own io_context and fiber scheduler.
/// Thread safety: all methods may be called from any thread; stop() from outside the set.
class IoThreads
{
public:
    /// Precondition: count is at least 1.
    explicit IoThreads(std::size_t count);
    IoThreads(const IoThreads &) = delete;
    IoThreads &operator=(const IoThreads &) = delete;
    ~IoThreads();

    std::size_t count() const { return m_threads.size(); }
    /// Index of the calling thread. Precondition: it is one of an IoThreads.
    static std::size_t current();
    /// The io_context of the calling thread. Precondition: it is one of an IoThreads.
    static boost::asio::io_context &currentIo();
    boost::asio::io_context &io(std::size_t thread) { return m_threads[thread]->io; }

    /// Runs the function as a new fiber of the given thread.
    void spawn(std::size_t thread, std::function<void()> function);

    /// Ends the threads. Precondition: no fiber of them waits for anything.
    void stop();

private:
    struct Thread
    {
        boost::asio::io_context io{1};
        boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work{
                io.get_executor()};
        std::function<void()> requestStop;
        std::thread thread;
    };

    std::vector<std::unique_ptr<Thread>> m_threads;
};

/// Runs the function as a new fiber of the calling thread, with a stack of 64 KB.
/// Precondition: the calling thread is one of an IoThreads.
void spawnFiber(std::function<void()> function);

} // namespace rattandock::adapters
