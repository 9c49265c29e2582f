// The virtual fleet's upstreams: how orders reach them, what they run and what they answer.
#include <algorithm>

#include "fleet_world_test.hpp"

namespace rattandock::fleet::test {

FleetWorld::Fate FleetWorld::drawFate()
{
    const double drawn = chance();
    if (drawn < m_faults.lost) {
        return Fate::Lost;
    }
    if (drawn < m_faults.lost + m_faults.answerLost) {
        return Fate::AnswerLost;
    }
    return drawn < m_faults.lost + m_faults.answerLost + m_faults.late ? Fate::Late
                                                                       : Fate::CarriedOut;
}

bool FleetWorld::reaches(std::size_t n, const Upstream &upstream) const
{
    return m_now >= upstream.darkUntil && !upstream.cutFrom.contains(n);
}

FleetWorld::Upstream &FleetWorld::upstreamOf(const UpstreamId &id)
{
    return *std::ranges::find(m_upstreams, id, [](const Upstream &it) { return it.entry.id; });
}

UpstreamTime FleetWorld::clockOf(const Upstream &upstream) const
{
    return UpstreamTime{m_now.time_since_epoch() + upstream.clockOffset};
}

void FleetWorld::order(std::size_t n, const UpstreamId &id,
                       const std::function<OrderResult(Upstream &)> &carryOutOrder,
                       const std::function<void(OrderResult, std::optional<UpstreamTime>)> &answer)
{
    const Fate fate = drawFate();
    const auto unanswered = [this, answer](Duration after) {
        at(m_now + after, [answer] { answer(OrderResult::NoAnswer, std::nullopt); });
    };
    if (!reaches(n, upstreamOf(id)) || fate == Fate::Lost) {
        return unanswered(orderTimeout);
    }
    if (fate == Fate::Late) {
        // The order was received on a connection of one process and is lost with it.
        at(m_now + between(2s, 12s), [this, id, carryOutOrder, life = upstreamOf(id).life] {
            if (upstreamOf(id).life == life) {
                carryOutOrder(upstreamOf(id));
            }
        });
        return unanswered(orderTimeout);
    }
    // Orders on different connections may overtake each other.
    at(m_now + between(travel, 5 * travel), [=, this] {
        Upstream &upstream = upstreamOf(id);
        if (!reaches(n, upstream)) {
            return unanswered(orderTimeout);
        }
        const OrderResult result = carryOutOrder(upstream);
        if (fate == Fate::AnswerLost) {
            return unanswered(orderTimeout);
        }
        const UpstreamTime clock = clockOf(upstream);
        at(m_now + travel, [answer, result, clock] { answer(result, clock); });
    });
}

OrderResult FleetWorld::startRun(Upstream &upstream, const StartOrder &order)
{
    if (order.token < upstream.fence) {
        return OrderResult::Fenced;
    }
    upstream.fence = order.token;
    const Duration lease = order.leaseUntil.value() - clockOf(upstream).value();
    if (lease <= Duration{}) {
        return OrderResult::Late;
    }
    upstream.leaseUntil = std::max(upstream.leaseUntil, m_now + std::min(lease, leaseMaximum));
    const RunKey key{order.name, order.number.value()};
    note(upstream.entry.id, " starts ", order.name.job, " task ", order.name.task, " run ",
         order.number, " token ", order.token.value() >> 20U, '.', order.token.value() & 0xfffffU);
    if (upstream.active.contains(key)) {
        return OrderResult::Done;
    }
    const auto highest = upstream.highestEnded.find(order.name);
    if (highest != upstream.highestEnded.end() && order.number.value() <= highest->second) {
        return OrderResult::OldRun;
    }
    ++m_starts;
    const std::string &job = order.name.job;
    if (m_neverRuns.contains(job)) {
        breach("a task of the refused job " + job + " starts");
    }
    const Room need = m_callers[m_callerOfJob.at(job)].job.need;
    for (const Upstream &other : m_upstreams) {
        for (const auto &[run, active] : other.active) {
            if (run.first == order.name && m_now >= other.darkUntil) {
                breach("two runs of " + job + " task " + std::to_string(order.name.task) + " on "
                       + other.entry.id.value() + " and " + upstream.entry.id.value());
            }
        }
    }
    std::uint32_t cpu = need.cpu.value();
    for (const auto &[run, active] : upstream.active) {
        cpu += active.need.cpu.value();
    }
    if (cpu > upstream.entry.capacity.cpu.value()) {
        breach("a start over the room of " + upstream.entry.id.value());
    }
    const Duration estimate = m_callers[m_callerOfJob.at(job)].job.estimate;
    const bool hangs = chance() < m_faults.hangs;
    upstream.active[key] = {need, m_now + (hangs ? 30s : between(estimate / 2, 2 * estimate)),
                            chance() < m_faults.failures};
    return OrderResult::Done;
}

OrderResult FleetWorld::stopRun(Upstream &upstream, const StopOrder &order)
{
    if (order.token < upstream.fence) {
        return OrderResult::Fenced;
    }
    upstream.fence = order.token;
    const RunKey key{order.name, order.number.value()};
    note(upstream.entry.id, " is told to stop ", order.name.job, " task ", order.name.task);
    auto &highest = upstream.highestEnded[order.name];
    highest = std::max(highest, order.number.value());
    if (upstream.active.contains(key)) {
        const UpstreamId id = upstream.entry.id;
        at(m_now + between(1ms, stopTime), [this, id, key, life = upstream.life] {
            Upstream &it = upstreamOf(id);
            if (it.life == life && it.active.contains(key)) {
                endRun(it, key, RunEndKind::Stopped);
            }
        });
    }
    return OrderResult::Done;
}

void FleetWorld::look(std::size_t n, const PollOrder &request)
{
    const std::uint64_t process = m_vms[n].process;
    const auto failed = [this, n, process, request](OrderResult result, Duration after) {
        post(n, process, LookFailed{request.upstream, request.number, result}, after);
    };
    const Fate fate = drawFate();
    if (!reaches(n, upstreamOf(request.upstream)) || fate == Fate::Lost || fate == Fate::Late) {
        return failed(OrderResult::NoAnswer, request.wait + orderTimeout);
    }
    at(m_now + between(travel, 5 * travel), [=, this] {
        Upstream &upstream = upstreamOf(request.upstream);
        if (!reaches(n, upstream)) {
            return failed(OrderResult::NoAnswer, request.wait + orderTimeout);
        }
        if (request.token < upstream.fence) {
            return failed(OrderResult::Fenced, travel);
        }
        upstream.fence = request.token;
        std::erase_if(upstream.ended,
                      [&](const EndedRun &it) { return it.position <= request.acknowledged; });
        if (request.leaseUntil) {
            const Duration lease = request.leaseUntil->value() - clockOf(upstream).value();
            upstream.leaseUntil =
                    std::max(upstream.leaseUntil, m_now + std::min(lease, leaseMaximum));
        }
        if (fate == Fate::AnswerLost) {
            return failed(OrderResult::NoAnswer, request.wait + orderTimeout);
        }
        if (upstream.waiting) {
            answerLook(upstream);
        }
        upstream.waiting = Waiting{n, process, request.number, m_now + request.wait};
        if (!upstream.ended.empty() || request.wait == Duration{}) {
            answerLook(upstream);
        }
    });
}

void FleetWorld::answerLook(Upstream &upstream)
{
    const Waiting waiting = *std::exchange(upstream.waiting, std::nullopt);
    RunReport report{clockOf(upstream), UpstreamProcessStart{upstream.life}, {}, upstream.ended};
    for (const auto &[key, active] : upstream.active) {
        report.active.push_back({key.first, RunNumber{key.second}});
    }
    if (reaches(waiting.vm, upstream)) {
        post(waiting.vm, waiting.process,
             LookAnswered{upstream.entry.id, waiting.number, std::move(report)}, travel);
    } else {
        post(waiting.vm, waiting.process,
             LookFailed{upstream.entry.id, waiting.number, OrderResult::NoAnswer}, orderTimeout);
    }
}

void FleetWorld::endRun(Upstream &upstream, const RunKey &key, RunEndKind how)
{
    note(upstream.entry.id, " ends ", key.first.job, " task ", key.first.task, " run ", key.second,
         " how ", static_cast<int>(how));
    upstream.active.erase(key);
    auto &highest = upstream.highestEnded[key.first];
    highest = std::max(highest, key.second);
    upstream.ended.push_back(
            {EndNumber{upstream.nextEnd++}, key.first, RunNumber{key.second}, how});
    if (upstream.waiting) {
        answerLook(upstream);
    }
}

void FleetWorld::stepUpstream(Upstream &upstream)
{
    std::vector<std::pair<RunKey, RunEndKind>> ended;
    for (const auto &[key, active] : upstream.active) {
        if (m_now >= upstream.leaseUntil) {
            ended.emplace_back(key, RunEndKind::Lapsed);
        } else if (m_now >= active.ends) {
            ended.emplace_back(key, active.fails ? RunEndKind::Failed : RunEndKind::Done);
        }
    }
    for (const auto &[key, how] : ended) {
        endRun(upstream, key, how);
    }
    if (upstream.waiting && m_now >= upstream.waiting->until) {
        answerLook(upstream);
    }
}

} // namespace rattandock::fleet::test
