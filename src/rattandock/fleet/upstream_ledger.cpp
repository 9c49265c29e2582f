#include "rattandock/fleet/upstream_ledger.hpp"

#include <algorithm>
#include <cmath>
#include <unordered_set>
#include <utility>

namespace rattandock::fleet {

namespace {

/// Runs that were started within this time of the last one are all suspected of a crash, as the
/// order in which the upstream started them is unknown.
constexpr Duration crashSuspectWindow = std::chrono::milliseconds{10};

/// Number of token values per epoch, so that a new keeper's tokens exceed all of its predecessor's.
constexpr std::uint64_t tokenIncrementsPerEpoch = 1U << 20U;

/// Start and stop orders to one upstream that may be under way together. Upstreams accept 64
/// connections. The poll and a probe take one each, and a former keeper may hold 8 idle ones.
constexpr std::size_t maxOpenOrders = 54;
/// Start orders among them, if there are no stop orders.
constexpr std::size_t maxUnconfirmedRuns = 32;
/// Start orders for which there is a connection however many runs are being stopped, so that the
/// jobs of other callers go on.
constexpr std::size_t reservedStartOrders = 16;

} // namespace

UpstreamLedger::UpstreamLedger(UpstreamEntry entry, std::uint64_t epoch, const LeaseTimes &times)
    : m_entry(std::move(entry))
    , m_epoch(epoch)
    , m_times(times)
    , m_stops(times.stopRetryInterval)
{
}

FencingToken UpstreamLedger::token() const
{
    return FencingToken{m_epoch * tokenIncrementsPerEpoch + m_tokenIncrements};
}

bool UpstreamLedger::takesOrders() const
{
    return m_clock && m_failures == 0 && m_unknownRuns.empty();
}

bool UpstreamLedger::mayStart(TimePoint now) const
{
    const std::size_t unconfirmed = m_runs.size() - m_confirmedRuns;
    return unconfirmed < maxUnconfirmedRuns && unconfirmed + m_stops.openCount() < maxOpenOrders
           && grantedLeaseEnd(now) - now >= m_times.shortestStartLease;
}

std::size_t UpstreamLedger::maxOpenStops() const
{
    const std::size_t unconfirmed = m_runs.size() - m_confirmedRuns;
    return maxOpenOrders - std::clamp(unconfirmed, reservedStartOrders, maxUnconfirmedRuns);
}

std::size_t UpstreamLedger::runCountOfStep(const RunName &task) const
{
    const auto own = std::ranges::count_if(
            m_runs, [&](const auto &it) { return areOfOneStep(it.first.name, task); });
    const auto unknown = std::ranges::count_if(
            m_unknownRuns, [&](const ActiveRun &it) { return areOfOneStep(it.name, task); });
    return static_cast<std::size_t>(own + unknown);
}

TimePoint UpstreamLedger::grantedLeaseEnd(TimePoint now) const
{
    return std::min(now + m_times.lease, m_stops.earliestLimit() - m_times.expiryDelay());
}

UpstreamTime UpstreamLedger::leaseUntil(TimePoint now) const
{
    return UpstreamTime{m_clock->first.value() + (grantedLeaseEnd(now) - m_clock->second)};
}

void UpstreamLedger::startSent(const TaskRef &task, const RunName &name, RunNumber number,
                               const Resources &need, TimePoint now)
{
    m_runs.emplace(ActiveRun{name, number}, Run{task, need, State::Starting, token(), now, {}});
    m_reservedRoom = m_reservedRoom.plus(need);
    leaseSent(now);
}

void UpstreamLedger::leaseSent(TimePoint now)
{
    m_leaseSent = now;
    m_leaseEnd = std::max(m_leaseEnd, grantedLeaseEnd(now));
    m_leaseUntil = std::max(m_leaseUntil, leaseUntil(now));
}

void UpstreamLedger::confirm(Run &run, TimePoint now)
{
    if (!run.confirmed) {
        run.confirmed = now;
        ++m_confirmedRuns;
    }
}

void UpstreamLedger::startAnswered(const RunName &name, RunNumber number, OrderResult result,
                                   std::optional<UpstreamTime> clock, TimePoint now,
                                   LedgerOutputs &out)
{
    if (clock) {
        updateClock(*clock, now);
    }
    const auto it = m_runs.find(ActiveRun{name, number});
    if (it == m_runs.end()) {
        return;
    }
    Run &run = it->second;
    const bool tokenRaisedSince = run.token < token();
    switch (result) {
    case OrderResult::Done:
        confirm(run, now);
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
        // The next poll carries a higher token, after which the upstream refuses this order unless
        // it has already executed it.
        m_tokenIncrements += tokenRaisedSince ? 0 : 1;
        m_retryAt = now;
        return;
    case OrderResult::Fenced:
    case OrderResult::OtherIncarnation:
        if (result == OrderResult::OtherIncarnation || !tokenRaisedSince) {
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
    m_reservedRoom = m_reservedRoom.minus(it->second.need);
    m_confirmedRuns -= it->second.confirmed ? 1 : 0;
    m_stops.remove(it->first);
    return m_runs.erase(it);
}

void UpstreamLedger::end(Runs::iterator it, RunEndKind kind, TimePoint now, LedgerOutputs &out)
{
    const Run &run = it->second;
    // It is unknown whether an unconfirmed run was on the process that crashed.
    const bool hasCrashed = run.hasCrashed && run.confirmed;
    const RunEndKind actual = kind == RunEndKind::Lapsed && hasCrashed ? RunEndKind::Crashed : kind;
    out.emplace_back(RunEnded{run.task, actual, now - run.sent, run.confirmed.has_value(),
                              run.isCrashSuspect});
    remove(it);
}

void UpstreamLedger::endAll(RunEndKind kind, TimePoint now, LedgerOutputs &out)
{
    while (!m_runs.empty()) {
        end(m_runs.begin(), kind, now, out);
    }
}

void UpstreamLedger::updateClock(UpstreamTime clock, TimePoint now)
{
    if (m_clock) {
        const Duration expected = m_clock->first.value() + (now - m_clock->second);
        // The upstream limits what it grants, whatever time was requested.
        m_leaseUntil = std::min(m_leaseUntil, UpstreamTime{clock.value() + m_times.maxLease});
        if (clock.value() < expected) {
            // A late answer, or one of a new process with a clock that started anew. Leases that
            // were requested by the former reading end later than the ledger expected.
            m_leaseEnd = std::max(m_leaseEnd, now + (m_leaseUntil.value() - clock.value()));
        }
    }
    m_clock.emplace(clock, now);
}

void UpstreamLedger::handleProcessRestart(UpstreamProcessStart processStart, TimePoint now,
                                          LedgerOutputs &out)
{
    const bool isRestart = m_processStart != UpstreamProcessStart{};
    m_processStart = processStart;
    if (!isRestart) {
        return;
    }
    markCrashed(out);
    // The new process has none of the previous runs and has received no token, so it would execute
    // an old order that is still in transit. It refuses such orders once the next poll has
    // delivered the raised token. Runs that it lists nowhere are ended by reconcile(), except those
    // that were confirmed after the poll was sent: the new process may have started them since.
    setUnknownRuns({}, now);
    m_acknowledged = {};
    m_acknowledgedByUpstream = {};
    ++m_tokenIncrements;
    m_retryAt = now;
}

TimePoint UpstreamLedger::crashSuspectsSince() const
{
    TimePoint last = TimePoint::min();
    for (const auto &[key, run] : m_runs) {
        last = std::max(last, run.sent);
    }
    for (const LapsedRun &it : m_lapsedRuns) {
        last = std::max(last, it.sent);
    }
    return last == TimePoint::min() ? last : last - crashSuspectWindow;
}

void UpstreamLedger::markCrashSuspects()
{
    // A draining upstream ends as announced.
    if (m_entry.draining) {
        return;
    }
    const TimePoint since = crashSuspectsSince();
    for (auto &[key, run] : m_runs) {
        run.isCrashSuspect = run.sent >= since;
    }
}

void UpstreamLedger::markCrashed(LedgerOutputs &out)
{
    if (!m_entry.draining) {
        markCrashSuspects();
        for (auto &[key, run] : m_runs) {
            run.hasCrashed = true;
        }
        const TimePoint since = crashSuspectsSince();
        for (const LapsedRun &it : m_lapsedRuns) {
            out.emplace_back(LapsedRunCrashed{it.task, it.sent >= since});
        }
    }
    m_lapsedRuns.clear();
}

void UpstreamLedger::pollAnswered(PollNumber number, const RunReport &report, TimePoint now,
                                  LedgerOutputs &out)
{
    if (!m_openPoll || m_openPoll->number != number) {
        return;
    }
    const Poll poll = *m_openPoll;
    m_openPoll.reset();
    m_failures = 0;
    m_retryAt = now;
    updateClock(report.clock, now);
    if (report.processStart != UpstreamProcessStart{} && report.processStart != m_processStart) {
        handleProcessRestart(report.processStart, now, out);
    }
    m_lapsedRuns.clear();
    m_acknowledgedByUpstream = std::max(m_acknowledgedByUpstream, m_acknowledged);
    reconcile(poll, report, now, out);
    step(now, out);
}

void UpstreamLedger::reconcile(const Poll &poll, const RunReport &report, TimePoint now,
                               LedgerOutputs &out)
{
    for (const EndedRun &it : report.ended) {
        m_acknowledged = std::max(m_acknowledged, it.position);
        if (const auto run = m_runs.find(ActiveRun{it.name, it.number}); run != m_runs.end()) {
            end(run, it.kind, now, out);
        }
    }
    std::vector<ActiveRun> unknown;
    std::ranges::copy_if(report.active, std::back_inserter(unknown),
                         [this](const ActiveRun &it) { return !m_runs.contains(it); });
    setUnknownRuns(std::move(unknown), now);
    for (const ActiveRun &it : report.active) {
        const auto run = m_runs.find(it);
        if (run == m_runs.end()) {
            continue;
        }
        confirm(run->second, now);
        // An order that reached the next process after the crash of the former one.
        run->second.hasCrashed = false;
        State &state = run->second.state;
        if (state == State::Starting || state == State::Unconfirmed) {
            state = State::Active;
        }
    }
    // A run that is not listed may be among the ends of the next report.
    if (!report.hasMoreEnds) {
        endMissingRuns(poll, report, now, out);
    }
}

void UpstreamLedger::endMissingRuns(const Poll &poll, const RunReport &report, TimePoint now,
                                    LedgerOutputs &out)
{
    const std::unordered_set<ActiveRun, ActiveRunHash> active(report.active.begin(),
                                                              report.active.end());
    for (auto it = m_runs.begin(); it != m_runs.end();) {
        const auto next = std::next(it);
        const Run &run = it->second;
        const bool isMissing = !active.contains(it->first);
        if (isMissing && run.confirmed && *run.confirmed < poll.sent) {
            // The upstream had confirmed the run and now lists it neither as active nor as ended.
            end(it, RunEndKind::Lapsed, now, out);
        } else if (isMissing && !run.confirmed && run.state != State::Starting
                   && run.token < poll.token) {
            if (run.hasCrashed) {
                end(it, RunEndKind::Lapsed, now, out);
            } else {
                const TaskRef task = run.task;
                remove(it);
                out.emplace_back(RunNeverStarted{task, OrderResult::NoAnswer});
            }
        }
        it = next;
    }
}

void UpstreamLedger::setUnknownRuns(std::vector<ActiveRun> runs, TimePoint now)
{
    const std::unordered_set<ActiveRun, ActiveRunHash> present(runs.begin(), runs.end());
    for (const ActiveRun &it : m_unknownRuns) {
        if (!present.contains(it)) {
            m_stops.remove(it);
        }
    }
    // Whose runs these are is unknown: their jobs may be at work elsewhere already.
    const TimePoint limit = now + m_times.runsEndAfter({});
    for (const ActiveRun &it : runs) {
        m_stops.add(it, limit, now);
    }
    m_unknownRuns = std::move(runs);
}

void UpstreamLedger::pollFailed(PollNumber number, OrderResult result, TimePoint now,
                                LedgerOutputs &out)
{
    if (!m_openPoll || m_openPoll->number != number) {
        return;
    }
    const bool tokenRaisedSince = m_openPoll->token < token();
    m_openPoll.reset();
    if (result == OrderResult::OtherIncarnation
        || (result == OrderResult::Fenced && !tokenRaisedSince)) {
        out.emplace_back(UpstreamLost{m_entry.id, result});
        return;
    }
    // Refused connections after a failure are typical of a crash. They do not show that the runs
    // have ended, but their tasks are kept apart from others when they start again.
    if (result == OrderResult::ConnectionRefused && m_failures > 0) {
        markCrashSuspects();
    }
    const Duration pause = std::min(m_times.maxRetryDelay,
                                    m_times.firstRetryDelay * (1U << std::min(m_failures, 6U)));
    ++m_failures;
    m_retryAt = now + pause;
}

void UpstreamLedger::stop(const TaskRef &task, TimePoint limit, TimePoint now, LedgerOutputs &out)
{
    for (auto &[key, run] : m_runs) {
        if (run.task == task) {
            run.state = State::Stopping;
            m_stops.add(key, limit, now);
            return sendDueStops(now, out);
        }
    }
}

void UpstreamLedger::sendDueStops(TimePoint now, LedgerOutputs &out)
{
    for (const ActiveRun &it : m_stops.takeDue(now, maxOpenStops())) {
        out.emplace_back(StopOrder{m_entry.id, it.name, it.number, token()});
    }
}

void UpstreamLedger::stopAnswered(const RunName &name, RunNumber number, OrderResult result,
                                  TimePoint now, LedgerOutputs &out)
{
    m_stops.answered({name, number}, result == OrderResult::Done, now);
    sendDueStops(now, out);
    const auto it = m_runs.find(ActiveRun{name, number});
    if (it == m_runs.end()) {
        return;
    }
    Run &run = it->second;
    if (result == OrderResult::Done) {
        // The upstream refuses to start a stopped run, so a start order still in transit has no
        // effect.
        confirm(run, now);
        return;
    }
    if (result == OrderResult::Fenced && run.token == token()) {
        out.emplace_back(UpstreamLost{m_entry.id, result});
        return;
    }
    if (!run.confirmed) {
        // It is unknown whether the run has started. The report of the next poll, which carries the
        // raised token, shows it.
        m_tokenIncrements += run.token < token() ? 0 : 1;
    }
    m_retryAt = now;
}

void UpstreamLedger::sendPoll(TimePoint now, LedgerOutputs &out)
{
    const PollNumber number{m_nextPollNumber++};
    m_openPoll = Poll{number, token(), now};
    m_lastPoll = now;
    const bool isBusy = !m_runs.empty();
    // If stop orders are lost again and again, the runs end with their lease instead.
    const bool needsLease = std::ranges::any_of(
            m_runs, [](const auto &it) { return it.second.state != State::Stopping; });
    PollOrder order{m_entry.id, number, token(), m_acknowledged, {}, {}};
    // After a failed poll, the lease is not renewed until a reply arrives. Otherwise each lost poll
    // would move the time at which the runs are considered ended.
    if (needsLease && m_clock && m_failures == 0 && grantedLeaseEnd(now) > now) {
        order.leaseUntil = leaseUntil(now);
        leaseSent(now);
    }
    const bool mustAcknowledge = m_acknowledgedByUpstream < m_acknowledged;
    const bool awaitsUnknownRuns = !m_unknownRuns.empty() && !mustAcknowledge;
    if ((isBusy && m_failures == 0) || awaitsUnknownRuns) {
        order.wait = m_times.pollWait;
    }
    out.emplace_back(std::move(order));
}

TimePoint UpstreamLedger::nextPoll() const
{
    const bool isUrgent = !m_clock || !m_runs.empty() || !m_unknownRuns.empty() || m_failures > 0
                          || m_acknowledgedByUpstream < m_acknowledged;
    return isUrgent ? m_retryAt : std::max(m_retryAt, m_lastPoll + m_times.idlePollInterval);
}

TimePoint UpstreamLedger::leaseExpiry() const
{
    return m_leaseEnd + m_times.expiryDelay();
}

TimePoint UpstreamLedger::unconfirmedLeaseExpiry() const
{
    return std::max(m_leaseEnd, m_leaseSent + m_times.maxLease)
           + m_times.expiryDelay(m_times.maxLease);
}

std::optional<TimePoint> UpstreamLedger::nextExpiry() const
{
    if (m_runs.empty()) {
        return std::nullopt;
    }
    return m_confirmedRuns > 0 ? leaseExpiry() : unconfirmedLeaseExpiry();
}

void UpstreamLedger::endExpired(TimePoint now, LedgerOutputs &out)
{
    const bool areUnconfirmedOver = now >= unconfirmedLeaseExpiry();
    for (auto it = m_runs.begin(); it != m_runs.end();) {
        const auto next = std::next(it);
        const Run &run = it->second;
        if (run.confirmed) {
            m_lapsedRuns.push_back({run.task, run.sent});
        }
        if (run.confirmed || areUnconfirmedOver) {
            end(it, RunEndKind::Lapsed, now, out);
        }
        it = next;
    }
}

void UpstreamLedger::step(TimePoint now, LedgerOutputs &out)
{
    if (const auto expiry = nextExpiry(); expiry && now >= *expiry) {
        endExpired(now, out);
    }
    sendDueStops(now, out);
    if (!m_openPoll && now >= nextPoll()) {
        sendPoll(now, out);
    }
}

std::optional<TimePoint> UpstreamLedger::nextTimer() const
{
    std::optional<TimePoint> next;
    if (!m_openPoll) {
        next = nextPoll();
    }
    const auto consider = [&next](const std::optional<TimePoint> &it) {
        if (it && (!next || *it < *next)) {
            next = it;
        }
    };
    consider(nextExpiry());
    if (m_stops.openCount() < maxOpenStops()) {
        consider(m_stops.nextDue());
    }
    return next;
}

TimePoint UpstreamLedger::abandon(TimePoint now, LedgerOutputs &out)
{
    const TimePoint lastExpiry = hasUnconfirmedRuns() ? unconfirmedLeaseExpiry() : leaseExpiry();
    const TimePoint over = m_runs.empty() ? now : lastExpiry;
    endAll(RunEndKind::Lapsed, now, out);
    return over;
}

} // namespace rattandock::fleet
