#include "rattandock/core/admission.hpp"

#include <algorithm>
#include <cmath>

namespace rattandock::core {

namespace {

/// Part of the slot time that may be promised. The rest covers slots that stand idle because no
/// task fits them and bursts of other teams that come later.
constexpr double promisedPart = 0.85;
/// Deadlines are rounded down to this, so that a check visits at most 240 sums for 60 s.
constexpr Duration bucketWidth = std::chrono::milliseconds{250};
/// No job waits longer than this in the queue, whatever its deadline.
constexpr Duration maxQueueAge = std::chrono::seconds{30};
constexpr Duration leastRetryAfter = std::chrono::milliseconds{50};
constexpr Duration longestRetryAfter = std::chrono::seconds{60};
/// Time over which a team's rate of new work is averaged.
constexpr Duration rateMemory = std::chrono::seconds{10};
/// Below this rate (work per unit of time) a team counts as idle.
constexpr double leastRate = 0.01;
constexpr double meanWeight = 0.01;
constexpr double quantile = 0.95;
constexpr double quantileStep = 0.05;
/// Run times beyond this factor of their expectation are stragglers, which say nothing of others.
constexpr double outlierFactor = 8.0;

double seconds(Duration time)
{
    return std::chrono::duration<double>(time).count();
}

Duration retryAfter(double waitSeconds)
{
    const Duration wait{static_cast<Duration::rep>(waitSeconds * 1e6)};
    return std::clamp(wait, leastRetryAfter, longestRetryAfter);
}

} // namespace

Admission::Admission(Limits limits)
    : m_limits(limits)
{
}

std::optional<NotRun> Admission::refusalFor(const Request &request, const Queue &queue,
                                            const Capacity &capacity, const TeamShares &shares,
                                            TimePoint now) const
{
    if (capacity.slots <= 0) {
        return NotRun{RefusalReason::NoUpstreams, leastRetryAfter};
    }
    const double backlog = seconds(capacity.running) * m_meanRatio + slotTime(m_total, capacity);
    if (queue.tasks + request.tasks > m_limits.maxTasks
        || queue.bytes + request.bytes > m_limits.maxBytes) {
        // The share of the queue that must drain before the job has room.
        const double tasks = static_cast<double>(queue.tasks + request.tasks)
                             - static_cast<double>(m_limits.maxTasks);
        const double bytes = static_cast<double>(queue.bytes + request.bytes)
                             - static_cast<double>(m_limits.maxBytes);
        const double part = std::max(tasks / std::max<double>(1, static_cast<double>(queue.tasks)),
                                     bytes / std::max<double>(1, static_cast<double>(queue.bytes)));
        return NotRun{RefusalReason::QueueFull,
                      retryAfter(std::min(part, 1.0) * backlog / capacity.slots)};
    }
    const double alone = std::max(seconds(request.longest) * capacity.fastestCost,
                                  slotTime(request.work, capacity) / capacity.slots);
    if (alone > seconds(request.deadline)) {
        return NotRun{RefusalReason::DeadlineTooShort, std::nullopt};
    }
    if (const double missing = excess(request, capacity, now); missing > 0) {
        return NotRun{RefusalReason::DeadlineTooShort, retryAfter(missing / capacity.slots)};
    }
    const double wait = backlog / capacity.slots - seconds(maxQueueAge);
    if (wait > 0) {
        return NotRun{RefusalReason::QueueFull, retryAfter(wait)};
    }
    if (const double missing = teamExcess(request, capacity, shares, now); missing > 0) {
        return NotRun{RefusalReason::QuotaExceeded, retryAfter(missing / capacity.slots)};
    }
    return std::nullopt;
}

double Admission::excess(const Request &request, const Capacity &capacity, TimePoint now) const
{
    const Bucket due = bucketOf(now + request.deadline);
    const double own = slotTime(request.work, capacity);
    double before = seconds(capacity.running) * m_meanRatio;
    auto it = m_demand.begin();
    for (; it != m_demand.end() && it->first <= due; ++it) {
        before += slotTime(it->second, capacity);
    }
    // The longest task starts after the work before it and may take longer than expected.
    const double tail = seconds(request.longest) * capacity.meanCost * std::exp(m_logHighRatio);
    const double room = (seconds(request.deadline) - tail) * capacity.slots * promisedPart;
    // As many tasks as there are slots start side by side; only the rest waits for them.
    const double tasks = static_cast<double>(std::max<std::size_t>(request.tasks, 1));
    const double rest = own * std::max(0.0, 1.0 - capacity.slots / tasks);
    double missing = before + rest - room;
    for (double demand = before + own; it != m_demand.end(); ++it) {
        demand += slotTime(it->second, capacity);
        missing = std::max(
                missing, demand - seconds(endOf(it->first) - now) * capacity.slots * promisedPart);
    }
    return missing;
}

std::vector<Admission::Need> Admission::othersNeeds(const Request &request,
                                                    const Capacity &capacity,
                                                    const TeamShares &shares, TimePoint now) const
{
    std::vector<Need> needs;
    for (std::uint32_t n = 0; n < m_teams.size(); ++n) {
        if (request.team == TeamIndex{n}) {
            continue;
        }
        const double rate = rateOf(m_teams[n], now);
        if (m_teams[n].total > Duration{} || rate > leastRate) {
            const Duration added{static_cast<Duration::rep>(
                    rate * static_cast<double>(request.deadline.count()))};
            needs.push_back({static_cast<double>(shares.weight(TeamIndex{n})),
                             slotTime(m_teams[n].total + added, capacity)});
        }
    }
    return needs;
}

double Admission::teamExcess(const Request &request, const Capacity &capacity,
                             const TeamShares &shares, TimePoint now) const
{
    std::vector<Need> others = othersNeeds(request, capacity, shares, now);
    if (others.empty()) {
        return 0;
    }
    // Teams that need less than their share leave the rest to all others, so they are served in
    // order of need over weight until one would take its whole share.
    std::ranges::sort(others, {}, [](const Need &it) { return it.slotSeconds / it.weight; });
    const double weight = request.team ? shares.weight(*request.team) : 1.0;
    double weights = weight;
    for (const Need &it : others) {
        weights += it.weight;
    }
    const double deadline = seconds(request.deadline);
    double left = deadline * capacity.slots * promisedPart;
    for (const Need &it : others) {
        if (it.slotSeconds > left * it.weight / weights) {
            break;
        }
        left -= it.slotSeconds;
        weights -= it.weight;
    }
    double slots = left * weight / weights / deadline;
    const std::uint32_t quota = request.team ? shares.quota(*request.team) : 0;
    if (quota > 0) {
        slots = std::min(slots, static_cast<double>(quota));
    }
    double demand = slotTime(request.work, capacity);
    double missing = demand - slots * deadline;
    if (request.team && request.team->value() < m_teams.size()) {
        const Bucket due = bucketOf(now + request.deadline);
        for (const auto &[bucket, work] : m_teams[request.team->value()].byDeadline) {
            demand += slotTime(work, capacity);
            const double until = bucket <= due ? deadline : seconds(endOf(bucket) - now);
            missing = std::max(missing, demand - slots * until);
        }
    }
    // In slot time of the whole fleet, so that the caller comes back when the team has room.
    return missing * capacity.slots / std::max(slots, 1.0);
}

double Admission::rateOf(const TeamDemand &demand, TimePoint now)
{
    return demand.rate * std::exp(-seconds(now - demand.rateTime) / seconds(rateMemory));
}

void Admission::add(TeamIndex team, TimePoint deadline, Duration work, TimePoint now)
{
    if (m_teams.size() <= team.value()) {
        m_teams.resize(team.value() + 1);
    }
    m_demand[bucketOf(deadline)] += work;
    TeamDemand &demand = m_teams[team.value()];
    demand.byDeadline[bucketOf(deadline)] += work;
    demand.total += work;
    demand.rate = rateOf(demand, now) + seconds(work) / seconds(rateMemory);
    demand.rateTime = now;
    m_total += work;
}

void Admission::remove(TeamIndex team, TimePoint deadline, Duration work)
{
    const auto removeFrom = [&](Demand &demand) {
        const auto it = demand.find(bucketOf(deadline));
        it->second -= work;
        if (it->second <= Duration{}) {
            demand.erase(it);
        }
    };
    if (work <= Duration{}) {
        return;
    }
    TeamDemand &demand = m_teams[team.value()];
    removeFrom(m_demand);
    removeFrom(demand.byDeadline);
    demand.total -= work;
    m_total -= work;
}

void Admission::observe(Duration expected, Duration measured)
{
    if (expected <= Duration{} || measured <= Duration{}) {
        return;
    }
    const double ratio =
            std::clamp(seconds(measured) / seconds(expected), 1.0 / outlierFactor, outlierFactor);
    m_meanRatio += meanWeight * (ratio - m_meanRatio);
    m_logHighRatio += quantileStep * (std::log(ratio) > m_logHighRatio ? quantile : quantile - 1.0);
    m_logHighRatio = std::clamp(m_logHighRatio, 0.0, std::log(outlierFactor));
}

Admission::Bucket Admission::bucketOf(TimePoint deadline)
{
    return deadline.time_since_epoch() / bucketWidth;
}

TimePoint Admission::endOf(Bucket bucket)
{
    return TimePoint{bucket * bucketWidth};
}

double Admission::slotTime(Duration work, const Capacity &capacity) const
{
    return seconds(work) * capacity.meanCost * m_meanRatio;
}

} // namespace rattandock::core
