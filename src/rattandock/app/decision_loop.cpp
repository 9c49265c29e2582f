#include "rattandock/app/decision_loop.hpp"

#include <future>

#include "rattandock/base/overloaded.hpp"

namespace rattandock::app {

namespace {

/// Longest wait without a timer; bounds how late an atomic flag is published.
constexpr Duration idleWait = std::chrono::milliseconds{100};

} // namespace

DecisionLoop::DecisionLoop(core::Dispatcher dispatcher, const ports::Clock &clock)
    : m_dispatcher(std::move(dispatcher))
    , m_clock(clock)
    , m_issuesTokens(m_dispatcher.issuesTokens())
{
}

DecisionLoop::~DecisionLoop()
{
    stop();
}

void DecisionLoop::start(ActionPorts ports)
{
    m_ports.emplace(ports);
    m_thread = std::thread([this] { run(); });
}

void DecisionLoop::stop()
{
    if (m_thread.joinable()) {
        m_queue.enqueue(Quit{});
        m_thread.join();
    }
}

void DecisionLoop::post(core::Event event)
{
    m_queue.enqueue(std::move(event));
}

void DecisionLoop::ask(Question question)
{
    m_queue.enqueue(std::move(question));
}

void DecisionLoop::waitForPosted()
{
    std::promise<void> handled;
    ask([&handled](core::Dispatcher &, TimePoint) { handled.set_value(); });
    handled.get_future().wait();
}

void DecisionLoop::run()
{
    core::Actions actions;
    m_secondBegan = m_clock.now();
    while (true) {
        const auto timer = m_dispatcher.nextTimer();
        const TimePoint waitBegan = m_clock.now();
        const Duration untilTimer = timer ? *timer - waitBegan : idleWait;
        Item item = core::Event{core::TimerFired{}};
        if (untilTimer > Duration::zero()) {
            m_queue.wait_dequeue_timed(item, std::min(untilTimer, idleWait));
        } else {
            m_queue.try_dequeue(item);
        }
        const TimePoint now = m_clock.now();
        measure(waitBegan, now);
        if (std::holds_alternative<Quit>(item)) {
            return;
        }
        std::visit(Overloaded{[&](const core::Event &it) { m_dispatcher.handle(it, now, actions); },
                              [&](const Question &it) { it(m_dispatcher, now); },
                              [](const Quit &) {}},
                   item);
        carryOut(actions, now);
        m_issuesTokens = m_dispatcher.issuesTokens();
    }
}

void DecisionLoop::measure(TimePoint waitBegan, TimePoint waitEnded)
{
    m_waited += waitEnded - waitBegan;
    const Duration passed = waitEnded - m_secondBegan;
    if (passed >= std::chrono::seconds{1}) {
        m_busyShare =
                1.0 - static_cast<double>(m_waited.count()) / static_cast<double>(passed.count());
        m_secondBegan = waitEnded;
        m_waited = {};
    }
}

void DecisionLoop::carryOut(core::Actions &actions, TimePoint now)
{
    for (core::Action &action : actions) {
        std::visit(
                Overloaded{[&](core::StartTask &it) { m_ports->upstreams.start(std::move(it)); },
                           [&](core::StopTask &it) { m_ports->upstreams.stop(std::move(it)); },
                           [&](core::AnswerCaller &it) { m_ports->callers.answer(std::move(it)); },
                           [&](core::SendToPeer &it) { m_ports->peers.send(std::move(it)); },
                           [&](core::ReadTable &it) { m_ports->table.read(std::move(it)); },
                           [&](core::TransactTable &it) { m_ports->table.transact(std::move(it)); },
                           [&](core::Note &it) { m_ports->notes.note(it, now); },
                           [&](core::Stopped &) { m_stopped = true; }},
                action);
    }
    actions.clear();
}

} // namespace rattandock::app
