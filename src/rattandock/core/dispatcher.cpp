#include "rattandock/core/dispatcher.hpp"

#include <algorithm>

#include "rattandock/base/overloaded.hpp"

namespace rattandock::core {

namespace {

/// By then another upstream that is large enough for the job may be available.
constexpr Duration noUpstreamsRetryAfter = std::chrono::seconds{1};

} // namespace

Dispatcher::Dispatcher(DispatcherOptions options, std::uint64_t seed, const SafetyRules &rules)
    : m_options(std::move(options))
    , m_rules(rules)
    , m_tokens(m_options.vm, m_options.incarnation, m_options.tokenLifetime, m_options.tokenSecret)
    , m_jobs(m_options.maxRecords, m_options.answerStore)
    , m_forwards(m_options.incarnation)
    , m_sealedSets(rules, m_options.answerStore)
    , m_sender(m_options.zone, m_options.handoverTimeout)
    , m_keyRanges(m_options, rules)
    , m_scheduler(m_options, seed)
{
}

void Dispatcher::handle(const Event &event, TimePoint now, Actions &actions)
{
    detectPause(now);
    std::visit([&](const auto &it) { handleEvent(it, now, actions); }, event);
    expire(now, actions);
    startDueTasks(now, actions);
    if (m_options.keyRanges) {
        m_keyRanges.step(now, actions);
    }
    continueStop(now, actions);
}

std::optional<TimePoint> Dispatcher::nextTimer() const
{
    std::optional<TimePoint> next = m_scheduler.nextTimer();
    const auto include = [&next](std::optional<TimePoint> time) {
        if (time && (!next || *time < *next)) {
            next = time;
        }
    };
    include(m_forwards.nextTimer());
    if (m_options.keyRanges) {
        include(m_keyRanges.nextTimer());
        if (m_lastHandled) {
            include(*m_lastHandled + m_options.keyTransitTime / 8);
        }
    }
    if (m_draining && !m_stopped) {
        include(m_sender.nextTimer());
        include(m_sealed ? m_stopDeadline : runningJobsDeadline());
    }
    if (!m_deadlines.empty()) {
        include(m_deadlines.begin()->first);
    }
    return next;
}

DispatcherStatus Dispatcher::status() const
{
    return {m_jobs.size(),
            m_scheduler.queuedTasks(),
            m_scheduler.runningTasks(),
            m_draining,
            m_configuration,
            m_sealedSets.all().size(),
            m_keyRanges.heldCount(),
            m_keyRanges.knownCount()};
}

std::optional<JobView> Dispatcher::view(const JobId &id) const
{
    const auto job = m_jobs.find(id);
    if (!job) {
        return std::nullopt;
    }
    const JobRecord &record = m_jobs.at(*job);
    return JobView{record.id, record.states.size(), JobTable::startedTasks(record).size(),
                   record.doneCount, record.outcome};
}

void Dispatcher::handleEvent(const JobSubmitted &event, TimePoint now, Actions &actions)
{
    submit(event.request, event.job, now, actions);
}

void Dispatcher::handleEvent(const JobCancelled &event, TimePoint now, Actions &actions)
{
    const auto job = m_jobs.find(event.job);
    if (!job) {
        return cancelUnsubmitted(event.job, now, actions);
    }
    if (!m_jobs.at(*job).outcome) {
        endIncompleteJob(*job, RefusalReason::Cancelled, FailureReason::Cancelled, std::nullopt,
                         actions);
    }
}

void Dispatcher::handleEvent(const CallerDisconnected &event, TimePoint /*now*/,
                             Actions & /*actions*/)
{
    m_forwards.drop(event.request);
    const auto it = m_requests.find(event.request);
    if (it == m_requests.end()) {
        return;
    }
    std::erase(m_jobs.at(it->second).waiting, Requester{event.request});
    m_requests.erase(it);
}

void Dispatcher::handleEvent(const AttemptEnded &event, TimePoint now, Actions &actions)
{
    const auto it = m_attempts.find(event.attempt);
    if (it == m_attempts.end()) {
        actions.emplace_back(Note{NoteKind::UnknownAttempt, "unknown-attempt", {}, {}});
        return;
    }
    const Attempt attempt = it->second;
    m_attempts.erase(it);
    m_scheduler.attemptEnded(attempt.task, attempt.upstream, event.result, event.elapsed, now,
                             actions);
    if (event.upstreamLeaving) {
        m_leavingBeforeListed.insert(attempt.upstream);
        m_scheduler.setUpstreamLife(attempt.upstream, UpstreamLife::Leaving, now, actions);
        endUnrunnableJobs(actions);
    }
    if (attempt.resultNeeded) {
        completeAttempt(attempt, event.result, now, actions);
    }
}

void Dispatcher::completeAttempt(const Attempt &attempt, const AttemptResult &result, TimePoint now,
                                 Actions &actions)
{
    const JobHandle job = attempt.task.job;
    const std::uint32_t index = attempt.task.task.value();
    JobRecord &record = m_jobs.at(job);
    const auto completed = [&](const AttemptCompleted &it) {
        record.states[index] = TaskState::Done;
        record.results[index] = it.body;
        if (++record.doneCount == record.states.size()) {
            endJob(job, Complete{record.results}, actions);
        }
    };
    const auto notStarted = [&](const AttemptNotStarted &it) {
        record.states[index] = TaskState::Unstarted;
        const auto verdict = m_scheduler.requeue(attempt.task, record.spec.tasks[index],
                                                 record.spec.team, record.deadline, now);
        if (verdict == RequeueResult::BudgetEmpty) {
            endIncompleteJob(job, RefusalReason::RetryBudgetEmpty, FailureReason::RetryBudgetEmpty,
                             m_options.retryBackoff, actions);
            return;
        }
        actions.emplace_back(
                Note{NoteKind::TaskResent, name(it.reason), record.id,
                     "task " + std::to_string(index) + ", " + attempt.upstream.value()});
    };
    const auto failed = [&](const AttemptFailed &it) {
        const auto reason = it.reason == AttemptFailure::BadStatus ? FailureReason::TaskFailed
                            : it.reason == AttemptFailure::CrossedReply
                                    ? FailureReason::CrossedReply
                            : it.reason == AttemptFailure::TimedOut ? FailureReason::DeadlinePassed
                                                                    : FailureReason::ConnectionLost;
        if (!m_rules.failAfterReset && it.reason == AttemptFailure::ConnectionLost) {
            return notStarted({NotStartedReason::RequestNotWritten});
        }
        endIncompleteJob(job, RefusalReason::Cancelled, reason, std::nullopt, actions);
    };
    std::visit(Overloaded{completed, notStarted, failed}, result);
}

void Dispatcher::endIncompleteJob(JobHandle job, RefusalReason refusalIfUnstarted,
                                  FailureReason failureIfStarted,
                                  std::optional<Duration> retryAfter, Actions &actions)
{
    m_scheduler.withdraw(job);
    const auto started = JobTable::startedTasks(m_jobs.at(job));
    for (auto &[id, attempt] : m_attempts) {
        if (attempt.task.job == job && attempt.resultNeeded) {
            attempt.resultNeeded = false;
            actions.emplace_back(StopTask{id, attempt.upstream});
        }
    }
    if (started.empty()) {
        endJob(job, NotRun{refusalIfUnstarted, retryAfter}, actions);
    } else {
        endJob(job, Failed{failureIfStarted, started}, actions);
    }
}

void Dispatcher::endUnrunnableJobs(Actions &actions)
{
    for (const JobHandle &it : m_scheduler.unplaceableJobs()) {
        endIncompleteJob(it, RefusalReason::NoUpstreams, FailureReason::NoUpstreams,
                         noUpstreamsRetryAfter, actions);
    }
}

void Dispatcher::endJob(JobHandle job, JobOutcome outcome, Actions &actions)
{
    JobRecord &record = m_jobs.at(job);
    for (const Requester &it : record.waiting) {
        answer(it, record.id, outcome, actions);
        if (const auto *request = std::get_if<CallerRequestId>(&it)) {
            m_requests.erase(*request);
        }
    }
    record.waiting.clear();
    m_deadlines.erase({record.deadline, job});
    actions.emplace_back(
            Note{NoteKind::JobEnded, name(outcome), record.id, std::string{reasonName(outcome)}});
    m_jobs.end(job, std::move(outcome));
}

void Dispatcher::handleEvent(const UpstreamStateReported &event, TimePoint now, Actions &actions)
{
    if (event.life == UpstreamLife::Live && m_leavingBeforeListed.contains(event.upstream)) {
        return;
    }
    m_leavingBeforeListed.erase(event.upstream);
    m_scheduler.setUpstreamLife(event.upstream, event.life, now, actions);
    endUnrunnableJobs(actions);
}

void Dispatcher::handleEvent(const ConfigurationAccepted &event, TimePoint now, Actions &actions)
{
    if (event.version <= m_configuration) {
        return;
    }
    m_configuration = event.version;
    m_scheduler.configure(event.upstreams, event.teams, now);
    endUnrunnableJobs(actions);
    actions.emplace_back(Note{NoteKind::ConfigurationInForce,
                              "accepted",
                              {},
                              "version " + std::to_string(event.version.value())});
}

void Dispatcher::handleEvent(const TableRowsRead &event, TimePoint now, Actions &actions)
{
    m_keyRanges.on(event, m_sealedSets, m_peers.linked().size(), now, actions);
}

void Dispatcher::handleEvent(const TableTransacted &event, TimePoint now, Actions &actions)
{
    m_keyRanges.on(event, now, actions);
}

void Dispatcher::handleEvent(const TableOperationFailed &event, TimePoint now,
                             Actions & /*actions*/)
{
    m_keyRanges.on(event, now);
}

void Dispatcher::handleEvent(const TimerFired & /*event*/, TimePoint /*now*/, Actions & /*actions*/)
{
}

void Dispatcher::expire(TimePoint now, Actions &actions)
{
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        const JobHandle job = m_deadlines.begin()->second;
        const bool shortened =
                m_jobs.at(job).deadline < m_jobs.at(job).accepted + m_jobs.at(job).spec.deadline;
        endIncompleteJob(
                job, shortened ? RefusalReason::KeyValidityPassed : RefusalReason::DeadlinePassed,
                FailureReason::DeadlinePassed, Duration{}, actions);
    }
    for (const PendingForward &it : m_forwards.takeExpired(now)) {
        answer(it.request, it.job, Unknown{UnknownReason::HomeUnreachable}, actions);
    }
    if (!m_sealed) {
        m_jobs.eraseExpired(now);
        expireHandovers(now);
    }
}

void Dispatcher::startDueTasks(TimePoint now, Actions &actions)
{
    std::vector<PlacedTask> placed;
    m_scheduler.dispatch(now, placed);
    for (const PlacedTask &it : placed) {
        JobRecord &record = m_jobs.at(it.task.job);
        const std::uint32_t index = it.task.task.value();
        const TaskSpec &task = record.spec.tasks[index];
        record.states[index] = TaskState::Sent;
        const AttemptId attempt{m_nextAttempt++};
        m_attempts.emplace(attempt, Attempt{it.task, it.upstream});
        actions.emplace_back(Note{NoteKind::TaskPlaced, it.reason, record.id,
                                  "task " + std::to_string(index) + " on " + it.upstream.value()});
        actions.emplace_back(StartTask{attempt, record.id, it.task.task, it.upstream, task.estimate,
                                       task.payload, record.deadline,
                                       record.deadline + m_options.replyGrace});
    }
}

} // namespace rattandock::core
