#include "rattandock/core/job_table.hpp"

#include <cassert>

namespace rattandock::core {

JobTable::JobTable(std::size_t maxRecords, Bytes answerStore)
    : m_maxRecords(maxRecords)
    , m_answerStore(answerStore)
{
}

std::optional<JobHandle> JobTable::find(const JobId &id) const
{
    const auto it = m_byId.find(id);
    if (it == m_byId.end()) {
        return std::nullopt;
    }
    return it->second;
}

bool JobTable::full() const
{
    return m_records.size() >= m_maxRecords;
}

JobHandle JobTable::add(JobSpec job, TimePoint now, TimePoint expiresAt)
{
    assert(!full() && !find(job.id));
    JobRecord record;
    record.id = job.id;
    record.digest = digestOf(job);
    record.states.resize(job.tasks.size(), TaskState::Unstarted);
    record.results.resize(job.tasks.size());
    record.accepted = now;
    record.deadline = now + job.deadline;
    record.expiresAt = expiresAt;
    record.spec = std::move(job);
    return insert(std::move(record));
}

JobHandle JobTable::addWithOutcome(const JobId &id, JobOutcome outcome, TimePoint now,
                                   TimePoint expiresAt)
{
    assert(!full() && !find(id));
    JobRecord record;
    record.id = id;
    record.accepted = now;
    record.deadline = now;
    record.expiresAt = expiresAt;
    record.outcome = std::move(outcome);
    return insert(std::move(record));
}

JobHandle JobTable::insert(JobRecord record)
{
    const JobHandle handle{m_nextHandle++};
    m_byId.emplace(record.id, handle);
    m_byExpiry.emplace(record.expiresAt, handle);
    m_records.emplace(handle, std::move(record));
    return handle;
}

JobRecord &JobTable::at(JobHandle job)
{
    return m_records.at(job);
}

const JobRecord &JobTable::at(JobHandle job) const
{
    return m_records.at(job);
}

void JobTable::end(JobHandle job, JobOutcome outcome)
{
    JobRecord &record = at(job);
    assert(!record.outcome);
    if (const std::uint64_t n = bodyBytes(outcome); n > 0) {
        m_storedBytes += n;
        record.storedAnswer = m_nextStored++;
        m_storedAnswers.emplace(*record.storedAnswer, job);
    }
    record.outcome = std::move(outcome);
    record.spec = {};
    record.results.clear();
    record.results.shrink_to_fit();
    evictAnswers();
}

void JobTable::eraseExpired(TimePoint now)
{
    while (!m_byExpiry.empty() && m_byExpiry.begin()->first <= now) {
        const JobHandle job = m_byExpiry.begin()->second;
        const auto it = m_records.find(job);
        if (!it->second.outcome) {
            // The deadline of a job precedes its expiry, so a job that is still running here ends
            // as soon as its deadline is processed.
            return;
        }
        m_byExpiry.erase(m_byExpiry.begin());
        dropStoredAnswer(it->second);
        m_byId.erase(it->second.id);
        m_records.erase(it);
    }
}

void JobTable::dropStoredAnswer(JobRecord &record)
{
    if (record.storedAnswer) {
        m_storedBytes -= bodyBytes(*record.outcome);
        m_storedAnswers.erase(*record.storedAnswer);
        record.storedAnswer.reset();
    }
}

std::vector<TaskIndex> JobTable::startedTasks(const JobRecord &record)
{
    std::vector<TaskIndex> started;
    for (std::uint32_t n = 0; n < record.states.size(); ++n) {
        if (record.states[n] != TaskState::Unstarted) {
            started.emplace_back(n);
        }
    }
    return started;
}

void JobTable::evictAnswers()
{
    while (m_storedBytes > m_answerStore.value() && !m_storedAnswers.empty()) {
        JobRecord &record = at(m_storedAnswers.begin()->second);
        dropStoredAnswer(record);
        record.outcome = withoutBody(*record.outcome);
    }
}

} // namespace rattandock::core
