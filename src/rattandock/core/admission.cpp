#include "rattandock/core/admission.hpp"

#include <algorithm>
#include <cmath>

namespace rattandock::core {

namespace {

/// Fraction of the slot time that admitted work may fill. The rest covers slots that are idle
/// because no task fits them and later bursts of other teams.
constexpr double admissibleShare = 0.85;
/// Deadlines are rounded down to multiples of this, so that a check visits at most 240 buckets for
/// deadlines of up to 60 s.
constexpr Duration bucketWidth = std::chrono::milliseconds{250};
/// A job is refused if it would wait longer than this in the queue, whatever its deadline.
constexpr Duration maxQueueWait = std::chrono::seconds{30};
constexpr Duration minRetryAfter = std::chrono::milliseconds{50};
constexpr Duration maxRetryAfter = std::chrono::seconds{60};
/// Time constant of the decaying average of the work that a team adds.
constexpr Duration arrivalRateTimeConstant = std::chrono::seconds{10};
/// A team without queued work is idle below this rate (work per unit of time).
constexpr double minActiveRate = 0.01;
/// Weight of a new sample in the moving average of run-time ratios.
constexpr double meanRatioSmoothing = 0.01;
constexpr double targetQuantile = 0.95;
/// Step by which a sample moves the estimate of the logarithmic quantile.
constexpr double logQuantileStep = 0.05;
/// Ratios of measured over expected run time are clamped to this factor. A task beyond it is a
/// straggler, and its run time does not help to predict that of other tasks.
constexpr double maxRunTimeRatio = 8.0;

double seconds(Duration time)
{
    return std::chrono::duration<double>(time).count();
}

Duration retryAfter(double waitSeconds)
{
    const Duration wait{static_cast<Duration::rep>(waitSeconds * 1e6)};
    return std::clamp(wait, minRetryAfter, maxRetryAfter);
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
        return NotRun{RefusalReason::NoUpstreams, minRetryAfter};
    }
    const double backlog =
            seconds(capacity.running) * m_meanRatio + slotSecondsFor(m_total, capacity);
    if (queue.tasks + request.tasks > m_limits.maxTasks
        || queue.bytes + request.bytes > m_limits.maxBytes) {
        // The fraction of the queue that must drain before the job fits.
        const double tasks = static_cast<double>(queue.tasks + request.tasks)
                             - static_cast<double>(m_limits.maxTasks);
        const double bytes = static_cast<double>(queue.bytes + request.bytes)
                             - static_cast<double>(m_limits.maxBytes);
        const double part = std::max(tasks / std::max<double>(1, static_cast<double>(queue.tasks)),
                                     bytes / std::max<double>(1, static_cast<double>(queue.bytes)));
        return NotRun{RefusalReason::QueueFull,
                      retryAfter(std::min(part, 1.0) * backlog / capacity.slots)};
    }
    const double idleFleetSeconds =
            std::max(seconds(request.longest) * capacity.fastestCost,
                     slotSecondsFor(request.work, capacity) / capacity.slots);
    if (idleFleetSeconds > seconds(request.deadline)) {
        return NotRun{RefusalReason::DeadlineTooShort, std::nullopt};
    }
    if (const double shortfall = deadlineShortfall(request, capacity, now); shortfall > 0) {
        return NotRun{RefusalReason::DeadlineTooShort, retryAfter(shortfall / capacity.slots)};
    }
    const double wait = backlog / capacity.slots - seconds(maxQueueWait);
    if (wait > 0) {
        return NotRun{RefusalReason::QueueFull, retryAfter(wait)};
    }
    if (const double shortfall = teamShareShortfall(request, capacity, shares, now);
        shortfall > 0) {
        return NotRun{RefusalReason::QuotaExceeded, retryAfter(shortfall / capacity.slots)};
    }
    return std::nullopt;
}

double Admission::deadlineShortfall(const Request &request, const Capacity &capacity,
                                    TimePoint now) const
{
    const Bucket due = deadlineBucket(now + request.deadline);
    const double own = slotSecondsFor(request.work, capacity);
    double before = seconds(capacity.running) * m_meanRatio;
    auto it = m_demand.begin();
    for (; it != m_demand.end() && it->first <= due; ++it) {
        before += slotSecondsFor(it->second, capacity);
    }
    // The longest task may start only after the work that is due earlier, and may take longer than
    // expected.
    const double tail = seconds(request.longest) * capacity.meanCost * std::exp(m_logQuantileRatio);
    const double room = (seconds(request.deadline) - tail) * capacity.slots * admissibleShare;
    // As many tasks as there are slots start at once. Only the remaining tasks wait for a slot.
    const double tasks = static_cast<double>(std::max<std::size_t>(request.tasks, 1));
    const double rest = own * std::max(0.0, 1.0 - capacity.slots / tasks);
    double shortfall = before + rest - room;
    for (double demand = before + own; it != m_demand.end(); ++it) {
        demand += slotSecondsFor(it->second, capacity);
        shortfall = std::max(shortfall, demand
                                                - seconds(bucketDeadline(it->first) - now)
                                                          * capacity.slots * admissibleShare);
    }
    return shortfall;
}

std::vector<Admission::CompetingDemand> Admission::competingDemands(const Request &request,
                                                                    const Capacity &capacity,
                                                                    const TeamShares &shares,
                                                                    TimePoint now) const
{
    std::vector<CompetingDemand> needs;
    for (std::uint32_t n = 0; n < m_teams.size(); ++n) {
        if (request.team == TeamIndex{n}) {
            continue;
        }
        const double rate = currentArrivalRate(m_teams[n], now);
        if (m_teams[n].total > Duration{} || rate > minActiveRate) {
            const Duration added{static_cast<Duration::rep>(
                    rate * static_cast<double>(request.deadline.count()))};
            needs.push_back({static_cast<double>(shares.weight(TeamIndex{n})),
                             slotSecondsFor(m_teams[n].total + added, capacity)});
        }
    }
    return needs;
}

double Admission::teamShareShortfall(const Request &request, const Capacity &capacity,
                                     const TeamShares &shares, TimePoint now) const
{
    std::vector<CompetingDemand> others = competingDemands(request, capacity, shares, now);
    if (others.empty()) {
        return 0;
    }
    // Weighted max-min fairness: a team that needs less than its share leaves the rest to all
    // others. Teams are served in ascending order of need over weight, up to the first team that
    // uses its whole share.
    std::ranges::sort(others, {},
                      [](const CompetingDemand &it) { return it.slotSeconds / it.weight; });
    const double weight = request.team ? shares.weight(*request.team) : 1.0;
    double weights = weight;
    for (const CompetingDemand &it : others) {
        weights += it.weight;
    }
    const double deadline = seconds(request.deadline);
    double left = deadline * capacity.slots * admissibleShare;
    for (const CompetingDemand &it : others) {
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
    double demand = slotSecondsFor(request.work, capacity);
    double shortfall = demand - slots * deadline;
    if (request.team && request.team->value() < m_teams.size()) {
        const Bucket due = deadlineBucket(now + request.deadline);
        for (const auto &[bucket, work] : m_teams[request.team->value()].byDeadline) {
            demand += slotSecondsFor(work, capacity);
            const double until = bucket <= due ? deadline : seconds(bucketDeadline(bucket) - now);
            shortfall = std::max(shortfall, demand - slots * until);
        }
    }
    // Scaled to slot time of the whole fleet, by which the caller computes the time to retry after.
    return shortfall * capacity.slots / std::max(slots, 1.0);
}

double Admission::currentArrivalRate(const TeamDemand &demand, TimePoint now)
{
    return demand.arrivalRate
           * std::exp(-seconds(now - demand.arrivalRateUpdated) / seconds(arrivalRateTimeConstant));
}

void Admission::add(TeamIndex team, TimePoint deadline, Duration work, TimePoint now)
{
    if (m_teams.size() <= team.value()) {
        m_teams.resize(team.value() + 1);
    }
    m_demand[deadlineBucket(deadline)] += work;
    TeamDemand &demand = m_teams[team.value()];
    demand.byDeadline[deadlineBucket(deadline)] += work;
    demand.total += work;
    demand.arrivalRate =
            currentArrivalRate(demand, now) + seconds(work) / seconds(arrivalRateTimeConstant);
    demand.arrivalRateUpdated = now;
    m_total += work;
}

void Admission::remove(TeamIndex team, TimePoint deadline, Duration work)
{
    const auto subtractWork = [&](Demand &demand) {
        const auto it = demand.find(deadlineBucket(deadline));
        it->second -= work;
        if (it->second <= Duration{}) {
            demand.erase(it);
        }
    };
    if (work <= Duration{}) {
        return;
    }
    TeamDemand &demand = m_teams[team.value()];
    subtractWork(m_demand);
    subtractWork(demand.byDeadline);
    demand.total -= work;
    m_total -= work;
}

void Admission::observeRunTime(Duration expected, Duration measured)
{
    if (expected <= Duration{} || measured <= Duration{}) {
        return;
    }
    const double ratio = std::clamp(seconds(measured) / seconds(expected), 1.0 / maxRunTimeRatio,
                                    maxRunTimeRatio);
    m_meanRatio += meanRatioSmoothing * (ratio - m_meanRatio);
    m_logQuantileRatio +=
            logQuantileStep
            * (std::log(ratio) > m_logQuantileRatio ? targetQuantile : targetQuantile - 1.0);
    m_logQuantileRatio = std::clamp(m_logQuantileRatio, 0.0, std::log(maxRunTimeRatio));
}

Admission::Bucket Admission::deadlineBucket(TimePoint deadline)
{
    return deadline.time_since_epoch() / bucketWidth;
}

TimePoint Admission::bucketDeadline(Bucket bucket)
{
    return TimePoint{bucket * bucketWidth};
}

double Admission::slotSecondsFor(Duration work, const Capacity &capacity) const
{
    return seconds(work) * capacity.meanCost * m_meanRatio;
}

} // namespace rattandock::core
