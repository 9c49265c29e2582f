#include "rattandock/fleet/ending_runs.hpp"

#include <algorithm>

namespace rattandock::fleet {

void EndingRuns::add(JobNumber job, const JobId &id, std::size_t runs)
{
    m_jobs[job] = {id.value(), runs};
    m_byId[id.value()].runs += runs;
}

void EndingRuns::runEnded(JobNumber job, TimePoint activeUntil)
{
    const auto ended = m_jobs.find(job);
    if (ended == m_jobs.end()) {
        return;
    }
    Ending &ending = m_byId.at(ended->second.id);
    --ending.runs;
    ending.activeUntil = std::max(ending.activeUntil, activeUntil);
    if (--ended->second.runs == 0) {
        m_jobs.erase(ended);
    }
}

void EndingRuns::holdUntil(const JobId &id, TimePoint time)
{
    Ending &ending = m_byId[id.value()];
    ending.activeUntil = std::max(ending.activeUntil, time);
}

bool EndingRuns::mayExecute(const JobId &id, TimePoint now) const
{
    const auto it = m_byId.find(id.value());
    return it != m_byId.end() && (it->second.runs > 0 || now < it->second.activeUntil);
}

void EndingRuns::expire(TimePoint now)
{
    std::erase_if(m_byId, [now](const auto &it) {
        return it.second.runs == 0 && it.second.activeUntil <= now;
    });
}

} // namespace rattandock::fleet
