// The upstreams of the simulated fleet: delivery of orders, execution of runs and answers.
#include <algorithm>

#include "fleet_world_test.hpp"

namespace rattandock::fleet::test {

FleetWorld::OrderOutcome FleetWorld::drawOrderOutcome()
{
    const double drawn = drawUniform();
    if (drawn < m_faults.orderLost) {
        return OrderOutcome::Lost;
    }
    if (drawn < m_faults.orderLost + m_faults.replyLost) {
        return OrderOutcome::ReplyLost;
    }
    return drawn < m_faults.orderLost + m_faults.replyLost + m_faults.orderDelayed
                   ? OrderOutcome::Delayed
                   : OrderOutcome::Executed;
}

bool FleetWorld::canReach(std::size_t n, const Upstream &upstream) const
{
    return m_now >= upstream.unreachableUntil && m_now >= upstream.refusesUntil
           && !upstream.unreachableFrom.contains(n);
}

bool FleetWorld::refusesConnections(std::size_t n, const Upstream &upstream) const
{
    return (m_now < upstream.unreachableUntil || m_now < upstream.refusesUntil)
           && !upstream.unreachableFrom.contains(n);
}

FleetWorld::Upstream &FleetWorld::findUpstream(const UpstreamId &id)
{
    return *std::ranges::find(m_upstreams, id, [](const Upstream &it) { return it.entry.id; });
}

bool FleetWorld::takeConnection(const UpstreamId &id)
{
    Upstream &upstream = findUpstream(id);
    if (upstream.openConnections >= maxConnections) {
        ++m_ordersWithoutConnection;
        return false;
    }
    ++upstream.openConnections;
    return true;
}

UpstreamTime FleetWorld::upstreamClock(const Upstream &upstream) const
{
    const auto steady =
            std::chrono::duration_cast<Duration>(m_now.time_since_epoch() * m_faults.clockRate);
    return UpstreamTime{steady + upstream.clockOffset};
}

void FleetWorld::extendLease(Upstream &upstream, UpstreamTime until) const
{
    const Duration lease = std::min(until.value() - upstreamClock(upstream).value(), maxLease);
    upstream.leaseUntil = std::max(upstream.leaseUntil, m_now + fromUpstreamTime(lease));
}

void FleetWorld::sendOrder(
        std::size_t n, const UpstreamId &id,
        const std::function<OrderResult(Upstream &)> &executeOrder,
        const std::function<void(OrderResult, std::optional<UpstreamTime>)> &answerOrder,
        Duration answerTime)
{
    if (!takeConnection(id)) {
        schedule(m_now + networkDelay,
                 [answerOrder] { answerOrder(OrderResult::NotSent, std::nullopt); });
        return;
    }
    const auto answer = [this, id, answerOrder](OrderResult result, auto clock) {
        freeConnection(id);
        answerOrder(result, clock);
    };
    const OrderOutcome outcome = drawOrderOutcome();
    const auto unanswered = [this, answer](Duration after) {
        schedule(m_now + after, [answer] { answer(OrderResult::NoAnswer, std::nullopt); });
    };
    if (refusesConnections(n, findUpstream(id))) {
        schedule(m_now + networkDelay,
                 [answer] { answer(OrderResult::ConnectionRefused, std::nullopt); });
        return;
    }
    if (!canReach(n, findUpstream(id)) || outcome == OrderOutcome::Lost) {
        return unanswered(orderTimeout);
    }
    if (outcome == OrderOutcome::Delayed) {
        // The order was received by the upstream's current process; a crash discards it.
        schedule(m_now + drawDuration(2s, 12s),
                 [this, id, executeOrder, process = findUpstream(id).process] {
                     if (findUpstream(id).process == process) {
                         executeOrder(findUpstream(id));
                     }
                 });
        return unanswered(orderTimeout);
    }
    // Orders on different connections may overtake each other.
    schedule(m_now + drawDuration(networkDelay, 5 * networkDelay), [=, this] {
        Upstream &upstream = findUpstream(id);
        if (!canReach(n, upstream)) {
            return unanswered(orderTimeout);
        }
        const OrderResult result = executeOrder(upstream);
        if (outcome == OrderOutcome::ReplyLost) {
            return unanswered(orderTimeout);
        }
        const UpstreamTime clock = upstreamClock(upstream);
        schedule(m_now + networkDelay + answerTime,
                 [answer, result, clock] { answer(result, clock); });
    });
}

OrderResult FleetWorld::startRun(std::size_t vm, Upstream &upstream, const StartOrder &order)
{
    if (order.token < upstream.highestToken) {
        return OrderResult::Fenced;
    }
    upstream.highestToken = order.token;
    if (order.leaseUntil <= upstreamClock(upstream)) {
        return OrderResult::Late;
    }
    extendLease(upstream, order.leaseUntil);
    const RunKey key{order.name, order.number.value()};
    trace(upstream.entry.id, " starts ", order.name.job, " task ", order.name.task, " run ",
          order.number, " token ", order.token.value() >> 20U, '.', order.token.value() & 0xfffffU);
    if (upstream.activeRuns.contains(key)) {
        return OrderResult::Done;
    }
    const auto highest = upstream.highestEndedRun.find(order.name);
    if (highest != upstream.highestEndedRun.end() && order.number.value() <= highest->second) {
        return OrderResult::OldRun;
    }
    ++m_starts;
    ++m_startsByZone[upstream.entry.zone];
    checkEvacuation(vm, upstream);
    const std::string &job = order.name.job;
    m_startedJobs.insert(job);
    if (m_refusedJobs.contains(job)) {
        reportViolation("a task of the refused job " + job + " starts");
    }
    const Resources need = m_callers[m_callerByJob.at(job)].job.need;
    for (const Upstream &other : m_upstreams) {
        for (const auto &[run, active] : other.activeRuns) {
            if (run.first == order.name && m_now >= other.unreachableUntil) {
                reportViolation("two concurrent runs of " + job + " task "
                                + std::to_string(order.name.task) + " on " + other.entry.id.value()
                                + " and " + upstream.entry.id.value());
            }
        }
    }
    std::uint32_t cpu = need.cpu.value();
    std::uint32_t tasksOfJob = 1;
    for (const auto &[run, active] : upstream.activeRuns) {
        cpu += active.need.cpu.value();
        tasksOfJob += run.first.job == job ? 1 : 0;
    }
    if (m_faults.maxPerUpstream > 0 && tasksOfJob > m_faults.maxPerUpstream) {
        reportViolation(std::to_string(tasksOfJob) + " tasks of " + job + " on "
                        + upstream.entry.id.value());
    }
    if (cpu > upstream.entry.capacity.cpu.value()) {
        reportViolation("a start exceeds the capacity of " + upstream.entry.id.value());
    }
    const Duration estimate = m_callers[m_callerByJob.at(job)].job.estimate;
    const bool hangs = drawUniform() < m_faults.runHang;
    upstream.activeRuns[key] = {need,
                                m_now + (hangs ? 30s : drawDuration(estimate / 2, 2 * estimate)),
                                drawUniform() < m_faults.runFailure};
    m_mostRunsOnAnUpstream = std::max(m_mostRunsOnAnUpstream, upstream.activeRuns.size());
    return OrderResult::Done;
}

OrderResult FleetWorld::stopRun(Upstream &upstream, const StopOrder &order)
{
    if (order.token < upstream.highestToken) {
        return OrderResult::Fenced;
    }
    upstream.highestToken = order.token;
    if (m_faults.stopRefused > 0 && drawUniform() < m_faults.stopRefused) {
        return OrderResult::Unhealthy;
    }
    const RunKey key{order.name, order.number.value()};
    trace(upstream.entry.id, " receives the stop order for ", order.name.job, " task ",
          order.name.task);
    auto &highest = upstream.highestEndedRun[order.name];
    highest = std::max(highest, order.number.value());
    if (upstream.activeRuns.contains(key)) {
        const UpstreamId id = upstream.entry.id;
        schedule(m_now + drawDuration(1ms, maxStopTime),
                 [this, id, key, process = upstream.process] {
                     Upstream &it = findUpstream(id);
                     if (it.process == process && it.activeRuns.contains(key)) {
                         endRun(it, key, RunEndKind::Stopped);
                     }
                 });
    }
    return OrderResult::Done;
}

void FleetWorld::sendLook(std::size_t n, const PollOrder &request)
{
    const std::uint64_t process = m_vms[n].process;
    if (!takeConnection(request.upstream)) {
        return post(n, process,
                    RunReportFailed{request.upstream, request.number, OrderResult::NotSent},
                    networkDelay);
    }
    const auto failed = [this, n, process, request](OrderResult result, Duration after) {
        schedule(m_now + after, [this, request] { freeConnection(request.upstream); });
        post(n, process, RunReportFailed{request.upstream, request.number, result}, after);
    };
    const OrderOutcome outcome = drawOrderOutcome();
    if (refusesConnections(n, findUpstream(request.upstream))) {
        return failed(OrderResult::ConnectionRefused, networkDelay);
    }
    if (!canReach(n, findUpstream(request.upstream)) || outcome == OrderOutcome::Lost
        || outcome == OrderOutcome::Delayed) {
        return failed(OrderResult::NoAnswer, request.wait + orderTimeout);
    }
    schedule(m_now + drawDuration(networkDelay, 5 * networkDelay), [=, this] {
        Upstream &upstream = findUpstream(request.upstream);
        if (!canReach(n, upstream)) {
            return failed(OrderResult::NoAnswer, request.wait + orderTimeout);
        }
        if (request.token < upstream.highestToken) {
            return failed(OrderResult::Fenced, networkDelay);
        }
        upstream.highestToken = request.token;
        std::erase_if(upstream.endedRuns,
                      [&](const EndedRun &it) { return it.position <= request.acknowledged; });
        if (request.leaseUntil) {
            extendLease(upstream, *request.leaseUntil);
        }
        if (outcome == OrderOutcome::ReplyLost) {
            return failed(OrderResult::NoAnswer, request.wait + orderTimeout);
        }
        if (upstream.pendingLook) {
            answerLook(upstream);
        }
        upstream.pendingLook = PendingLook{n, process, request.number, m_now + request.wait};
        if (!upstream.endedRuns.empty() || request.wait == Duration{}) {
            answerLook(upstream);
        }
    });
}

void FleetWorld::answerLook(Upstream &upstream)
{
    const PendingLook pending = *std::exchange(upstream.pendingLook, std::nullopt);
    freeConnection(upstream.entry.id);
    RunReport report{upstreamClock(upstream),
                     UpstreamProcessStart{upstream.process},
                     {},
                     upstream.endedRuns};
    report.hasMoreEnds = report.ended.size() >= endsPerReport;
    report.ended.resize(std::min(report.ended.size(), endsPerReport));
    for (const auto &[key, active] : upstream.activeRuns) {
        report.active.push_back({key.first, RunNumber{key.second}});
    }
    if (canReach(pending.vm, upstream)) {
        post(pending.vm, pending.process,
             RunReportReceived{upstream.entry.id, pending.number, std::move(report)}, networkDelay);
    } else {
        post(pending.vm, pending.process,
             RunReportFailed{upstream.entry.id, pending.number, OrderResult::NoAnswer},
             orderTimeout);
    }
}

void FleetWorld::endRun(Upstream &upstream, const RunKey &key, RunEndKind how)
{
    trace(upstream.entry.id, " ends ", key.first.job, " task ", key.first.task, " run ", key.second,
          " how ", static_cast<int>(how));
    upstream.activeRuns.erase(key);
    m_lapsedRuns += how == RunEndKind::Lapsed ? 1 : 0;
    m_stoppedRuns += how == RunEndKind::Stopped ? 1 : 0;
    auto &highest = upstream.highestEndedRun[key.first];
    highest = std::max(highest, key.second);
    upstream.endedRuns.push_back(
            {EndNumber{upstream.nextEndNumber++}, key.first, RunNumber{key.second}, how});
    if (upstream.pendingLook) {
        answerLook(upstream);
    }
}

void FleetWorld::advanceUpstream(Upstream &upstream)
{
    std::vector<std::pair<RunKey, RunEndKind>> ended;
    for (const auto &[key, active] : upstream.activeRuns) {
        if (m_now >= upstream.leaseUntil) {
            ended.emplace_back(key, RunEndKind::Lapsed);
        } else if (m_now >= active.endsAt) {
            ended.emplace_back(key, active.fails ? RunEndKind::Failed : RunEndKind::Done);
        }
    }
    for (const auto &[key, how] : ended) {
        endRun(upstream, key, how);
    }
    if (upstream.pendingLook && m_now >= upstream.pendingLook->until) {
        answerLook(upstream);
    }
}

} // namespace rattandock::fleet::test
