#pragma once

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "rattandock/base/units.hpp"
#include "rattandock/core/job_handle.hpp"
#include "rattandock/core/job_outcome.hpp"
#include "rattandock/core/job_spec.hpp"
#include "rattandock/core/requester.hpp"

namespace rattandock::core {

/// Progress of a task. A task in state Sent may have started.
enum class TaskState : std::uint8_t { Unstarted, Sent, Done };

/// State of one job id on its home VM.
struct JobRecord
{
    JobId id;
    /// Empty if the id was cancelled before any submission of it arrived.
    std::optional<SpecDigest> digest;
    /// Tasks and payloads. Cleared when the job ends.
    JobSpec spec;
    std::vector<TaskState> states;
    std::vector<std::string> results;
    std::size_t doneCount = 0;
    /// Callers and peers that wait for the answer.
    std::vector<Requester> waiting;
    std::optional<JobOutcome> outcome;
    TimePoint accepted;
    TimePoint deadline;
    /// From this time on the record may be erased, provided that the job has ended.
    TimePoint expiresAt;
    /// Key of the record in the table's list of stored answers, if its answer body is stored.
    std::optional<std::uint64_t> storedAnswer;
};

/// Job records of this incarnation, indexed by handle and by id. A record is never erased before
/// its expiry time. Thread safety: none.
class JobTable
{
public:
    JobTable(std::size_t maxRecords, Bytes answerStore);

    /// Returns the handle of the record with this id, or `std::nullopt` if there is none.
    std::optional<JobHandle> find(const JobId &id) const;
    bool full() const;
    std::size_t size() const { return m_records.size(); }

    /// Adds a record for an accepted job.
    /// Precondition: no record has this id and the table is not full.
    JobHandle add(JobSpec job, TimePoint now, TimePoint expiresAt);

    /// Adds a record that has an outcome already, for an id without a submission.
    /// Precondition: no record has this id and the table is not full.
    JobHandle addWithOutcome(const JobId &id, JobOutcome outcome, TimePoint now,
                             TimePoint expiresAt);

    /// Precondition: the handle was returned by this table and its record has not been erased.
    JobRecord &at(JobHandle job);
    const JobRecord &at(JobHandle job) const;
    bool contains(JobHandle job) const { return m_records.contains(job); }

    /// Stores the outcome and clears the spec. Evicts the oldest answer bodies if the stored ones
    /// exceed their limit.
    /// Precondition: the job has no outcome yet.
    void end(JobHandle job, JobOutcome outcome);

    /// Erases the records of ended jobs that expire at or before `now`.
    void eraseExpired(TimePoint now);

    /// Returns the tasks of the job that started or may have started.
    static std::vector<TaskIndex> startedTasks(const JobRecord &record);

    /// Returns all records in the order of their handles.
    const std::map<JobHandle, JobRecord> &records() const { return m_records; }

private:
    JobHandle insert(JobRecord record);
    void dropStoredAnswer(JobRecord &record);
    void evictAnswers();

    std::size_t m_maxRecords;
    Bytes m_answerStore;
    std::uint64_t m_storedBytes = 0;
    std::uint64_t m_nextHandle = 1;
    std::map<JobHandle, JobRecord> m_records;
    std::unordered_map<JobId, JobHandle> m_byId;
    std::multimap<TimePoint, JobHandle> m_byExpiry;
    /// Ended jobs whose answer body is stored, in the order in which they ended.
    std::map<std::uint64_t, JobHandle> m_storedAnswers;
    std::uint64_t m_nextStored = 0;
};

} // namespace rattandock::core
