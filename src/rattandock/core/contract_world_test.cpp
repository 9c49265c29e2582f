// Simulates processes and time, and runs a schedule.
#include "contract_world_test.hpp"

namespace rattandock::core::test {

using namespace std::chrono_literals;

ContractWorld::ContractWorld(const Schedule &schedule, const SafetyRules &rules,
                             FaultCounts &counts)
    : m_schedule(schedule)
    , m_rules(rules)
    , m_counts(counts)
    , m_random(schedule.seed)
{
}

DispatcherOptions ContractWorld::optionsOf(std::size_t slot, Incarnation incarnation) const
{
    DispatcherOptions options;
    options.vm = vmName(slot);
    options.zone = zoneOf(slot);
    options.incarnation = incarnation;
    options.tokenSecret.fill(static_cast<unsigned char>(incarnation.value()));
    // Scaled down proportionally so that a schedule of one minute reaches every limit.
    options.tokenLifetime = 6s;
    options.recordGrace = 6s;
    options.keyValidity = 15s;
    options.keyTransitTime = 12s;
    options.forwardMargin = 1s;
    options.keyRanges = true;
    options.keyRangeCount = 6;
    // With the long lease, the previous holder's lease is still valid after a quarantine that
    // started too early, so that the violation is detectable.
    options.lease = m_schedule.seed % 3 == 0 ? 300s : 10s;
    options.leaseRenewal = 2s;
    options.tableTimeout = 400ms;
    options.tableRetry = 200ms;
    options.stopLimit = 4s;
    options.handoverTimeout = 300ms;
    options.handoverBatchRecords = 2;
    options.maxRecords = 12;
    options.maxQueuedTasks = 8;
    options.answerStore = Bytes{400};
    return options;
}

void ContractWorld::startProcess(std::size_t slot)
{
    auto process = std::make_unique<Process>();
    process->number = static_cast<int>(m_processes.size());
    process->slot = slot;
    // Widely spaced, like random incarnations.
    process->incarnation = Incarnation{(m_processes.size() + 1) * 1'000'003};
    process->clockOffset = delay(1'000'000, 9'000'000);
    process->clockDrift = std::uniform_int_distribution<int>{-4, 4}(m_random);
    process->core = std::make_unique<Dispatcher>(optionsOf(slot, process->incarnation), m_random(),
                                                 m_rules);
    m_current[slot] = m_processes.size();
    m_processes.push_back(std::move(process));
    Process &it = *m_processes.back();

    ConfigurationAccepted configuration{ConfigurationVersion{1}, {}, {}};
    for (const char *name : {"u0", "u1"}) {
        UpstreamSpec upstream;
        upstream.id = UpstreamId{name};
        upstream.slots = Slots{1};
        configuration.upstreams.push_back(upstream);
    }
    handle(it, configuration);
    for (std::size_t peer = 0; peer < vmCount; ++peer) {
        if (peer != slot && peer < m_processes.size()) {
            // The peer first receives the disconnect of the previous process.
            const bool cut = m_cut[slot][peer];
            handle(it, PeerLinkChanged{vmName(peer), !cut});
            post(at(peer).number, PeerLinkChanged{vmName(slot), false});
            post(at(peer).number, PeerLinkChanged{vmName(slot), !cut});
        }
    }
    sendHeartbeats(it.number);
}

void ContractWorld::terminate(Process &process)
{
    process.alive = false;
    process.timer.reset();
    m_checker.waiveAnswersOf(process.number);
}

TimePoint ContractWorld::localTime(const Process &process) const
{
    const Duration span = m_now.time_since_epoch();
    return TimePoint{process.clockOffset + span + span * process.clockDrift / 1000};
}

void ContractWorld::run()
{
    for (std::size_t slot = 0; slot < vmCount; ++slot) {
        startProcess(slot);
    }
    passTime(2s);
    for (const Step &it : m_schedule.steps) {
        execute(it);
        passTime(delay(0, 300));
    }
    recoverAndCheckAnswers();
}

void ContractWorld::recoverAndCheckAnswers()
{
    execute({StepKind::ClearFaults, 0, 0});
    execute({StepKind::RestoreLinks, 0, 0});
    for (std::size_t n = 0; n < m_processes.size(); ++n) {
        if (m_processes[n]->alive && m_processes[n]->paused) {
            resume(*m_processes[n]);
        }
    }
    passTime(5s);
    for (const Job &it : std::vector<Job>{m_jobs}) {
        sendCopy(it, m_random() % vmCount);
    }
    // Exceeds the longest deadline plus its margins.
    passTime(12s);
    m_checker.requireAllAnswered();
    m_counts["answers: unknown"] += m_checker.unknownAnswers();
    m_counts["answers: complete"] += m_checker.completeAnswers();
    m_counts["answers: not-run"] += m_checker.notRunAnswers();
}

void ContractWorld::scheduleAfter(Duration span, std::function<void()> run)
{
    m_scheduledActions.push({m_now + span, m_order++, std::move(run)});
}

Duration ContractWorld::delay(int lowMs, int highMs)
{
    return std::chrono::milliseconds{std::uniform_int_distribution<int>{lowMs, highMs}(m_random)};
}

bool ContractWorld::chance(int percent)
{
    return std::uniform_int_distribution<int>{0, 99}(m_random) < percent;
}

void ContractWorld::passTime(Duration span)
{
    const TimePoint until = m_now + span;
    while (true) {
        Process *due = nullptr;
        TimePoint next = until;
        for (const auto &it : m_processes) {
            if (it->alive && !it->paused && it->timer && *it->timer < next) {
                next = *it->timer;
                due = it.get();
            }
        }
        if (!m_scheduledActions.empty() && m_scheduledActions.top().time <= next) {
            const ScheduledAction it = m_scheduledActions.top();
            m_scheduledActions.pop();
            m_now = std::max(m_now, it.time);
            it.run();
        } else if (due != nullptr) {
            m_now = std::max(m_now, next);
            handle(*due, TimerFired{});
        } else {
            m_now = until;
            return;
        }
    }
}

void ContractWorld::handle(Process &process, const Event &event)
{
    if (!process.alive) {
        return;
    }
    if (process.paused) {
        process.inbox.push_back(event);
        return;
    }
    Actions actions;
    const TimePoint local = localTime(process);
    process.core->handle(event, local, actions);
    for (Action &it : actions) {
        perform(process, it);
    }
    process.timer.reset();
    if (const auto timer = process.core->nextTimer(); timer && process.alive) {
        // Adds at least 1 ms because the local clock and simulated time round differently.
        const Duration wait = std::max<Duration>(*timer - local, 0us);
        process.timer = m_now + wait + wait / 100 + 1ms;
    }
}

void ContractWorld::post(int process, const Event &event)
{
    handle(*m_processes[static_cast<std::size_t>(process)], event);
}

void ContractWorld::resume(Process &process)
{
    process.paused = false;
    if (at(process.slot).number != process.number) {
        // The process was replaced while paused, so its connections are closed.
        for (std::size_t peer = 0; peer < vmCount; ++peer) {
            if (peer != process.slot) {
                process.inbox.push_back(PeerLinkChanged{vmName(peer), false});
            }
        }
    }
    std::deque<Event> inbox;
    inbox.swap(process.inbox);
    for (const Event &it : inbox) {
        handle(process, it);
    }
    handle(process, TimerFired{});
}

void ContractWorld::sendHeartbeats(int number)
{
    Process &process = *m_processes[static_cast<std::size_t>(number)];
    if (!process.alive || at(process.slot).number != number) {
        return;
    }
    if (!process.paused) {
        Heartbeat heartbeat;
        heartbeat.vm = vmName(process.slot);
        heartbeat.zone = zoneOf(process.slot);
        heartbeat.incarnation = process.incarnation;
        heartbeat.draining = process.draining;
        for (std::size_t peer = 0; peer < vmCount; ++peer) {
            if (peer != process.slot) {
                sendToPeer(process, {vmName(peer), heartbeat});
            }
        }
    }
    scheduleAfter(1s, [this, number] { sendHeartbeats(number); });
}

} // namespace rattandock::core::test
