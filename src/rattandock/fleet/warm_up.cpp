#include "rattandock/fleet/warm_up.hpp"

#include <algorithm>
#include <cmath>

namespace rattandock::fleet {

namespace {

/// Entries are written each 1.5 s and read some time later, so two of them state ends that differ
/// by less than this for one process.
constexpr Duration coldEndTolerance = std::chrono::seconds{1};
/// Bounds the memory for cold upstreams; a fleet has at most 4,000 upstreams.
constexpr std::size_t maxColdUpstreams = 4000;
/// Weight of a new run in the ratio, so that about the last 20 runs count.
constexpr double sampleWeight = 0.05;
/// A ratio of 1 counts as this many runs, so that one run that is long by chance does not keep
/// tasks from all cold upstreams.
constexpr double priorSamples = 2;
/// Bounds of the logarithm of one sample. The upper one is a ratio of 16.
constexpr double minLogSample = -1.0;
constexpr double maxLogSample = 2.7726;
/// A run that took longer than this multiple of its expected time does not raise the limit.
constexpr double inTimeFactor = 1.5;
/// Tasks need half of an upstream plus or minus 20%, and at most this many quarters.
constexpr std::uint32_t largestTaskQuarters = 3;

double logRatioOf(Duration warmExpected, Duration elapsed)
{
    const double ratio = static_cast<double>(std::max<Duration::rep>(1, elapsed.count()))
                         / static_cast<double>(warmExpected.count());
    return std::clamp(std::log(ratio), minLogSample, maxLogSample);
}

} // namespace

bool WarmUp::setColdUntil(const UpstreamId &upstream, TimePoint until, TimePoint now)
{
    until = std::min(until, now + maxTime);
    const auto it = m_coldUntil.find(upstream);
    const bool wasCold = it != m_coldUntil.end() && it->second > now;
    if (until <= now) {
        if (it != m_coldUntil.end()) {
            m_coldUntil.erase(it);
        }
        return wasCold;
    }
    if (it == m_coldUntil.end()) {
        return m_coldUntil.size() < maxColdUpstreams && m_coldUntil.emplace(upstream, until).second;
    }
    const bool isReplaced = until > it->second + coldEndTolerance;
    // An entry is old when it is read, so the earlier end is the more exact one.
    it->second = !wasCold || isReplaced ? until : std::min(it->second, until);
    return !wasCold || isReplaced;
}

TimePoint WarmUp::coldUntil(const UpstreamId &upstream) const
{
    const auto it = m_coldUntil.find(upstream);
    return it == m_coldUntil.end() ? TimePoint::min() : it->second;
}

void WarmUp::addLogRatio(double value)
{
    m_samples += 1;
    m_logRatio += (value - m_logRatio) * std::max(sampleWeight, 1 / (m_samples + priorSamples));
}

void WarmUp::addColdRun(Duration warmExpected, Duration elapsed)
{
    if (warmExpected > Duration{}) {
        addLogRatio(logRatioOf(warmExpected, elapsed));
    }
}

void WarmUp::addUnfinishedColdRun(Duration warmExpected, Duration elapsed)
{
    if (warmExpected <= Duration{}) {
        return;
    }
    if (const double least = logRatioOf(warmExpected, elapsed); least > m_logRatio) {
        addLogRatio(least);
    }
}

double WarmUp::ratio() const
{
    return std::exp(std::max(m_logRatio, 0.0));
}

void WarmUp::limit(const UpstreamId &upstream, TimePoint now)
{
    m_limits.try_emplace(upstream, Limit{4, now, now});
}

WarmUp::Step WarmUp::runEnded(const UpstreamId &upstream, TimePoint startedAt, Duration expected,
                              Duration elapsed, TimePoint now)
{
    const auto it = m_limits.find(upstream);
    if (it == m_limits.end() || startedAt < it->second.stepAt) {
        return Step::None;
    }
    // A run without an estimate cannot be judged and must not keep the limit.
    const bool isInTime = expected <= Duration{}
                          || static_cast<double>(elapsed.count())
                                     <= inTimeFactor * static_cast<double>(expected.count());
    if (!isInTime) {
        return Step::None;
    }
    it->second.divisor /= 2;
    it->second.stepAt = now;
    if (it->second.divisor > 1) {
        return Step::Half;
    }
    m_limits.erase(it);
    return Step::Full;
}

std::uint32_t WarmUp::limitedCpu(const Limit &limit, const Resources &capacity,
                                 const Resources &free)
{
    const std::uint32_t used = capacity.minus(free).cpu.value();
    const std::uint32_t allowed = capacity.cpu.value() / limit.divisor;
    return std::min(free.cpu.value(), allowed - std::min(allowed, used));
}

Resources WarmUp::usableRoom(const UpstreamId &upstream, const Resources &capacity,
                             const Resources &free, bool hasRuns) const
{
    const auto it = m_limits.find(upstream);
    if (it == m_limits.end() || !hasRuns) {
        return free;
    }
    Resources usable = free;
    usable.cpu = MilliCores{limitedCpu(it->second, capacity, free)};
    return usable;
}

std::uint32_t WarmUp::reportedCpu(const UpstreamId &upstream, const Resources &capacity,
                                  const Resources &free, bool hasRuns) const
{
    const std::uint32_t cpu = usableRoom(upstream, capacity, free, hasRuns).cpu.value();
    const bool isOneTask = !hasRuns && isLimited(upstream);
    return isOneTask ? std::min(cpu, capacity.cpu.value() / 4 * largestTaskQuarters) : cpu;
}

std::size_t WarmUp::usableStarts(const UpstreamId &upstream, const Resources &capacity,
                                 const Resources &free, bool hasRuns, MilliCores cpu) const
{
    const std::uint32_t need = std::max(cpu.value(), 1U);
    const auto it = m_limits.find(upstream);
    if (it == m_limits.end()) {
        return free.cpu.value() / need;
    }
    const std::size_t one = !hasRuns && free.cpu.value() >= need ? 1 : 0;
    return std::max<std::size_t>(one, limitedCpu(it->second, capacity, free) / need);
}

void WarmUp::expire(TimePoint now)
{
    std::erase_if(m_coldUntil, [&](const auto &it) { return it.second <= now; });
    std::erase_if(m_limits, [&](const auto &it) { return now - it.second.limitedAt >= maxTime; });
}

} // namespace rattandock::fleet
