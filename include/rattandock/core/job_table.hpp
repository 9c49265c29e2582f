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

enum class TaskState : std::uint8_t { Unstarted, Sent, Done };

/// What the home knows of one job id.
struct JobRecord
{
    JobId id;
    /// Nothing if the id was cancelled before any submission of it arrived.
    std::optional<SpecDigest> digest;
    /// Tasks and payloads; emptied when the job has ended.
    JobSpec spec;
    std::vector<TaskState> states;
    std::vector<std::string> results;
    std::size_t doneCount = 0;
    std::vector<Requester> waiting;
    std::optional<JobOutcome> outcome;
    TimePoint accepted;
    TimePoint deadline;
    /// The record may be dropped from then on.
    TimePoint forgetAt;
    /// Position among the stored answers, if it has one.
    std::optional<std::uint64_t> storedAnswer;
};

/// Job records of this incarnation, addressed by handle and found by id.
/// Never forgets a record before its time. Thread safety: none.
class JobTable
{
public:
    JobTable(std::size_t maxRecords, Bytes answerStore);

    std::optional<JobHandle> find(const JobId &id) const;
    bool full() const;
    std::size_t size() const { return m_records.size(); }

    /// Precondition: no record has this id and the table is not full.
    JobHandle add(JobSpec job, TimePoint now, TimePoint forgetAt);

    /// Records an outcome for an id of which no submission arrived.
    /// Precondition: no record has this id and the table is not full.
    JobHandle addEnded(const JobId &id, JobOutcome outcome, TimePoint now, TimePoint forgetAt);

    /// Precondition: the handle is from this table and not forgotten.
    JobRecord &at(JobHandle job);
    const JobRecord &at(JobHandle job) const;
    bool contains(JobHandle job) const { return m_records.contains(job); }

    /// Stores the outcome, drops the spec, and bounds the stored answer bodies.
    /// Precondition: the job has no outcome yet.
    void end(JobHandle job, JobOutcome outcome);

    /// Drops ended records whose time has come.
    void forgetUntil(TimePoint now);

    /// The tasks of the job that started or may have started.
    static std::vector<TaskIndex> startedTasks(const JobRecord &record);

    /// All records, in order of their handles.
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
    std::multimap<TimePoint, JobHandle> m_byForgetTime;
    /// Ended jobs with a stored body, oldest end first.
    std::map<std::uint64_t, JobHandle> m_storedAnswers;
    std::uint64_t m_nextStored = 0;
};

} // namespace rattandock::core
