#include "rattandock/fleet/upstream_ledger.hpp"

#include <algorithm>
#include <cmath>

namespace rattandock::fleet {

namespace {

/// A clock that is this much behind its estimate belongs to another process; drift and delays are
/// far smaller.
constexpr Duration clockSetBack = std::chrono::seconds{1};

/// Room for raises of the token within one epoch.
constexpr std::uint64_t raisesPerEpoch = 1U << 20U;

template <typename T>
T scaled(T time, double factor)
{
    return T{static_cast<typename T::rep>(static_cast<double>(time.count()) * factor)};
}

} // namespace

UpstreamLedger::UpstreamLedger(UpstreamEntry entry, std::uint64_t epoch, const LeaseTimes &times)
    : m_entry(std::move(entry))
    , m_epoch(epoch)
    , m_times(times)
{
}

FencingToken UpstreamLedger::token() const
{
    return FencingToken{m_epoch * raisesPerEpoch + m_raises};
}

bool UpstreamLedger::takesOrders() const
{
    return m_clock && m_failures == 0 && m_strangers.empty();
}

std::size_t UpstreamLedger::runsOf(JobNumber job) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
            m_runs, [&](const auto &it) { return it.second.task.job == job; }));
}

UpstreamTime UpstreamLedger::leaseUntil(TimePoint now) const
{
    return UpstreamTime{m_clock->first.value() + (now - m_clock->second) + m_times.lease};
}

void UpstreamLedger::startSent(const TaskRef &task, const RunName &name, RunNumber number,
                               const Resources &need, TimePoint now)
{
    m_runs.emplace(Key{name, number}, Run{task, need, State::Starting, token(), now, {}, {}});
    m_taken = m_taken.plus(need);
    m_leaseSent = now + m_times.lease;
}

void UpstreamLedger::startAnswered(const RunName &name, RunNumber number, OrderResult result,
                                   std::optional<UpstreamTime> clock, TimePoint now,
                                   LedgerOutputs &out)
{
    if (clock) {
        learnClock(*clock, now);
    }
    const auto it = m_runs.find(Key{name, number});
    if (it == m_runs.end()) {
        return;
    }
    Run &run = it->second;
    const bool raisedSince = run.token < token();
    switch (result) {
    case OrderResult::Done:
        if (!run.confirmed) {
            run.confirmed = now;
        }
        if (run.state == State::Starting) {
            run.state = State::Active;
        }
        return;
    case OrderResult::NoAnswer:
        if (run.confirmed) {
            return;
        }
        if (run.state == State::Starting) {
            run.state = State::Unconfirmed;
        }
        // From the next look on, the order is refused if it has not been carried out by then.
        m_raises += raisedSince ? 0 : 1;
        m_retryAt = now;
        return;
    case OrderResult::Fenced:
    case OrderResult::OtherIncarnation:
        if (result == OrderResult::OtherIncarnation || !raisedSince) {
            out.emplace_back(UpstreamLost{m_entry.id, result});
            return;
        }
        break;
    default:
        break;
    }
    const TaskRef task = run.task;
    remove(it);
    out.emplace_back(RunNeverStarted{task, result});
}

UpstreamLedger::Runs::iterator UpstreamLedger::remove(Runs::iterator it)
{
    m_taken = m_taken.minus(it->second.need);
    return m_runs.erase(it);
}

void UpstreamLedger::end(Runs::iterator it, RunEndKind how, TimePoint now, LedgerOutputs &out)
{
    const Run &run = it->second;
    out.emplace_back(RunOver{run.task, how, now - run.sent, run.confirmed.has_value()});
    remove(it);
}

void UpstreamLedger::endAll(RunEndKind how, TimePoint now, LedgerOutputs &out)
{
    while (!m_runs.empty()) {
        end(m_runs.begin(), how, now, out);
    }
}

void UpstreamLedger::learnClock(UpstreamTime clock, TimePoint now)
{
    if (m_clock) {
        const Duration expected = m_clock->first.value() + (now - m_clock->second);
        if (clock.value() + clockSetBack < expected && !m_runs.empty()) {
            // The process started anew. Leases that were given on its former clock end far in the
            // future of the new one, and are cut to the maximum.
            m_leaseSent = std::max(m_leaseSent, now + m_times.maxLease);
        }
    }
    m_clock.emplace(clock, now);
}

void UpstreamLedger::beginLife(const RunReport &report, TimePoint now, LedgerOutputs &out)
{
    const bool reborn = m_life != UpstreamLifeStart{};
    m_life = report.life;
    if (!reborn) {
        return;
    }
    // It runs nothing of before and has seen no token, so an order that is still under way may yet
    // be carried out; the raised token refuses it from the next look on.
    for (auto it = m_runs.begin(); it != m_runs.end();) {
        const auto next = std::next(it);
        const ActiveRun run{it->first.name, it->first.number};
        const bool isActive = std::ranges::find(report.active, run) != report.active.end();
        if (!isActive && it->second.confirmed) {
            end(it, RunEndKind::Lapsed, now, out);
        }
        it = next;
    }
    m_strangers.clear();
    m_acknowledged = {};
    m_acknowledgedThere = {};
    ++m_raises;
    m_retryAt = now;
}

void UpstreamLedger::lookAnswered(LookNumber number, const RunReport &report, TimePoint now,
                                  LedgerOutputs &out)
{
    if (!m_look || m_look->number != number) {
        return;
    }
    const Look look = *m_look;
    m_look.reset();
    m_failures = 0;
    m_retryAt = now;
    learnClock(report.clock, now);
    if (report.life != UpstreamLifeStart{} && report.life != m_life) {
        beginLife(report, now, out);
    }
    m_acknowledgedThere = std::max(m_acknowledgedThere, m_acknowledged);
    reconcile(look, report, now, out);
    step(now, out);
}

void UpstreamLedger::reconcile(const Look &look, const RunReport &report, TimePoint now,
                               LedgerOutputs &out)
{
    for (const EndedRun &it : report.ended) {
        m_acknowledged = std::max(m_acknowledged, it.position);
        if (const auto run = m_runs.find(Key{it.name, it.number}); run != m_runs.end()) {
            end(run, it.how, now, out);
        }
    }
    stopStrangers(report, out);
    for (const ActiveRun &it : report.active) {
        const auto run = m_runs.find(Key{it.name, it.number});
        if (run == m_runs.end()) {
            continue;
        }
        if (!run->second.confirmed) {
            run->second.confirmed = now;
        }
        State &state = run->second.state;
        if (state == State::Starting || state == State::Unconfirmed) {
            state = State::Active;
        } else if (state == State::Stopping
                   && now - run->second.stopSent >= m_times.stopRetryInterval) {
            sendStop(run->first, run->second, now, out);
        }
    }
    const auto isActive = [&](const Key &key) {
        return std::ranges::find(report.active, ActiveRun{key.name, key.number})
               != report.active.end();
    };
    for (auto it = m_runs.begin(); it != m_runs.end();) {
        const auto next = std::next(it);
        const Run &run = it->second;
        const bool isMissing = !isActive(it->first);
        if (isMissing && run.confirmed && *run.confirmed < look.sent) {
            // The upstream had the run and has lost it without listing an end.
            end(it, RunEndKind::Lapsed, now, out);
        } else if (isMissing && !run.confirmed && run.state != State::Starting
                   && run.token < look.token) {
            const TaskRef task = run.task;
            remove(it);
            out.emplace_back(RunNeverStarted{task, OrderResult::NoAnswer});
        }
        it = next;
    }
}

void UpstreamLedger::stopStrangers(const RunReport &report, LedgerOutputs &out)
{
    m_strangers.clear();
    for (const ActiveRun &it : report.active) {
        if (!m_runs.contains(Key{it.name, it.number})) {
            m_strangers.push_back(it);
            out.emplace_back(StopOrder{m_entry.id, it.name, it.number, token()});
        }
    }
}

void UpstreamLedger::lookFailed(LookNumber number, OrderResult result, TimePoint now,
                                LedgerOutputs &out)
{
    if (!m_look || m_look->number != number) {
        return;
    }
    const bool raisedSince = m_look->token < token();
    m_look.reset();
    if (result == OrderResult::OtherIncarnation
        || (result == OrderResult::Fenced && !raisedSince)) {
        out.emplace_back(UpstreamLost{m_entry.id, result});
        return;
    }
    const Duration pause = std::min(m_times.maxRetryDelay,
                                    m_times.firstRetryDelay * (1U << std::min(m_failures, 6U)));
    ++m_failures;
    m_retryAt = now + pause;
}

void UpstreamLedger::stop(const TaskRef &task, TimePoint now, LedgerOutputs &out)
{
    for (auto &[key, run] : m_runs) {
        if (run.task == task && run.state != State::Stopping) {
            run.state = State::Stopping;
            sendStop(key, run, now, out);
            return;
        }
    }
}

void UpstreamLedger::sendStop(const Key &key, Run &run, TimePoint now, LedgerOutputs &out)
{
    run.stopSent = now;
    out.emplace_back(StopOrder{m_entry.id, key.name, key.number, token()});
}

void UpstreamLedger::stopAnswered(const RunName &name, RunNumber number, OrderResult result,
                                  TimePoint now, LedgerOutputs &out)
{
    const auto it = m_runs.find(Key{name, number});
    if (it == m_runs.end()) {
        return;
    }
    Run &run = it->second;
    if (result == OrderResult::Done) {
        // A start that is still under way is refused from now on: a stopped run does not start.
        if (!run.confirmed) {
            run.confirmed = now;
        }
        return;
    }
    if (result == OrderResult::Fenced && run.token == token()) {
        out.emplace_back(UpstreamLost{m_entry.id, result});
        return;
    }
    if (!run.confirmed) {
        // Whether the run is there is open; the raised token decides it with the next look.
        m_raises += run.token < token() ? 0 : 1;
    }
    m_retryAt = now;
}

void UpstreamLedger::sendLook(TimePoint now, LedgerOutputs &out)
{
    const LookNumber number{m_nextLookNumber++};
    m_look = Look{number, token(), now};
    m_lastLook = now;
    const bool isBusy = !m_runs.empty();
    LookOrder order{m_entry.id, number, token(), m_acknowledged, {}, {}};
    // After a failure the lease is not renewed before an answer, so that its end is known.
    if (isBusy && m_clock && m_failures == 0) {
        order.leaseUntil = leaseUntil(now);
        m_leaseSent = now + m_times.lease;
    }
    const bool mustAcknowledge = m_acknowledgedThere < m_acknowledged;
    const bool awaitsStrangers = !m_strangers.empty() && !mustAcknowledge;
    if ((isBusy && m_failures == 0) || awaitsStrangers) {
        order.wait = m_times.pollWait;
    }
    out.emplace_back(std::move(order));
}

TimePoint UpstreamLedger::nextLook() const
{
    const bool isUrgent = !m_clock || !m_runs.empty() || !m_strangers.empty() || m_failures > 0
                          || m_acknowledgedThere < m_acknowledged;
    return isUrgent ? m_retryAt : std::max(m_retryAt, m_lastLook + m_times.idlePollInterval);
}

TimePoint UpstreamLedger::lapse() const
{
    return m_leaseSent + scaled(m_times.lease, m_times.maxClockDrift) + m_times.expiryMargin;
}

void UpstreamLedger::step(TimePoint now, LedgerOutputs &out)
{
    if (!m_runs.empty() && now >= lapse()) {
        endAll(RunEndKind::Lapsed, now, out);
    }
    if (!m_look && now >= nextLook()) {
        sendLook(now, out);
    }
}

std::optional<TimePoint> UpstreamLedger::nextTimer() const
{
    std::optional<TimePoint> next;
    if (!m_look) {
        next = nextLook();
    }
    if (!m_runs.empty() && (!next || lapse() < *next)) {
        next = lapse();
    }
    return next;
}

TimePoint UpstreamLedger::abandon(TimePoint now, LedgerOutputs &out)
{
    const TimePoint over = m_runs.empty() ? now : lapse();
    endAll(RunEndKind::Lapsed, now, out);
    return over;
}

} // namespace rattandock::fleet
