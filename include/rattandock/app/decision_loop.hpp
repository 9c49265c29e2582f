#pragma once

#include <atomic>
#include <concurrentqueue/blockingconcurrentqueue.h>
#include <functional>
#include <thread>
#include <variant>

#include "rattandock/core/dispatcher.hpp"
#include "rattandock/ports/action_ports.hpp"
#include "rattandock/ports/clock.hpp"
#include "rattandock/ports/event_sink.hpp"

namespace rattandock::app {

/// Where the decision thread sends actions.
struct ActionPorts
{
    ports::UpstreamPort &upstreams;
    ports::CallerPort &callers;
    ports::PeerPort &peers;
    ports::TablePort &table;
    ports::NoteSink &notes;
};

/// The thread that owns the Dispatcher: takes events from a lock-free queue, carries out actions.
/// Thread safety: all methods may be called from any thread.
class DecisionLoop final : public ports::EventSink
{
public:
    /// Reads or changes the dispatcher on the decision thread.
    using Question = std::function<void(core::Dispatcher &dispatcher, TimePoint now)>;

    DecisionLoop(core::Dispatcher dispatcher, const ports::Clock &clock);
    DecisionLoop(const DecisionLoop &) = delete;
    DecisionLoop &operator=(const DecisionLoop &) = delete;
    ~DecisionLoop() override;

    /// Precondition: called once; the ports outlive the loop's thread.
    void start(ActionPorts ports);
    /// Ends the thread; events that are still queued are dropped.
    void stop();

    void post(core::Event event) override;
    /// Runs the question between two events. It is dropped after stop().
    void ask(Question question);
    /// Blocks until the events that the calling thread has posted are handled. The queue keeps
    /// the order of each thread only, not the order between threads.
    /// Precondition: the loop runs, and the caller is none of its threads and no I/O thread.
    void waitForPosted();

    /// True once the planned stop is done.
    bool isStopped() const { return m_stopped; }
    /// Share of the last whole second in which the thread did not wait for events, 0 to 1.
    double busyShare() const { return m_busyShare; }
    /// True while callers may get home tokens.
    bool issuesTokens() const { return m_issuesTokens; }

private:
    struct Quit
    {
    };
    using Item = std::variant<core::Event, Question, Quit>;

    void run();
    void measure(TimePoint waitBegan, TimePoint waitEnded);
    void carryOut(core::Actions &actions, TimePoint now);

    core::Dispatcher m_dispatcher;
    const ports::Clock &m_clock;
    moodycamel::BlockingConcurrentQueue<Item> m_queue;
    std::optional<ActionPorts> m_ports;
    std::thread m_thread;
    std::atomic<bool> m_stopped = false;
    std::atomic<bool> m_issuesTokens = false;
    std::atomic<double> m_busyShare = 0;
    /// Start of the second that is measured, and the time waited in it.
    TimePoint m_secondBegan;
    Duration m_waited{};
};

} // namespace rattandock::app
