// Arrival and end of the jobs of a FleetDispatcher.
#include <algorithm>

#include "rattandock/base/overloaded.hpp"
#include "rattandock/fleet/fleet_dispatcher.hpp"
#include "rattandock/fleet/wait_limit.hpp"

namespace rattandock::fleet {

namespace {

std::string retryAfterText(const JobTurnedAway &end)
{
    return ", retry after " + std::to_string(toMilliseconds(end.retryAfter)) + " ms";
}

/// Returns what a task of the job needs, as text for a log line.
std::string describeSize(const FleetJob &job)
{
    return ", cpu " + std::to_string(job.need.cpu.value()) + ", estimate "
           + std::to_string(toMilliseconds(job.estimate)) + " ms, predicted "
           + std::to_string(toMilliseconds(predictedRun(job))) + " ms";
}

FleetLogRecord makeJobEndNote(const JobEnd &end, const FleetJob &job, const std::string &progress)
{
    const auto note = [&](FleetLogRecordKind kind, std::string_view reason) {
        return FleetLogRecord{kind, reason, job.id, "queue " + job.queue.value() + progress};
    };
    return std::visit(Overloaded{[&](const JobCompleted &) {
                                     return note(FleetLogRecordKind::JobCompleted, "done");
                                 },
                                 [&](const JobFailed &it) {
                                     return note(FleetLogRecordKind::JobFailed, name(it.reason));
                                 },
                                 [&](const JobTurnedAway &it) {
                                     FleetLogRecord record = note(FleetLogRecordKind::JobTurnedAway,
                                                                  name(it.reason));
                                     record.detail += retryAfterText(it);
                                     return record;
                                 },
                                 [&](const JobBrokenOff &it) {
                                     return note(FleetLogRecordKind::JobBrokenOff, name(it.reason));
                                 }},
                      end);
}

OfferResult offerResultOf(const JobEnd &end)
{
    return std::visit(Overloaded{[](const JobCompleted &) { return OfferResult::Done; },
                                 [](const JobFailed &) { return OfferResult::Failed; },
                                 [](const JobTurnedAway &) { return OfferResult::NotRun; },
                                 [](const JobBrokenOff &) { return OfferResult::GivenUp; }},
                      end);
}

} // namespace

void FleetDispatcher::handleEvent(const JobSubmitted &event, TimePoint now, FleetActions &actions)
{
    replaceJob(event.job.id, std::nullopt, now, actions);
    FleetJob job = event.job;
    predictRunTime(job);
    const CoreWork work = expectedWork(job, job.taskCount);
    m_queueProfiles.recordArrival(job, work, now);
    if (const auto refusal = checkAdmission(job, now)) {
        return turnAway(event.request, job, *refusal, actions);
    }
    m_queueProfiles.recordAdmission(job, work, now);
    std::vector<std::uint32_t> indices(job.taskCount);
    for (std::uint32_t n = 0; n < job.taskCount; ++n) {
        indices[n] = n;
    }
    const JobNumber number = addJob(std::move(job), event.request, std::move(indices), 1, now);
    m_jobsById[event.job.id] = number;
    m_jobsByRequest[event.request] = number;
}

void FleetDispatcher::replaceJob(const JobId &id, const std::optional<VmId> &offeredBy,
                                 TimePoint now, FleetActions &actions)
{
    // A caller that resubmits a job, here or at another VM, no longer waits for the answer to the
    // former request. The VM that has it may not have noticed yet.
    std::vector<JobNumber> offered;
    for (const auto &[offer, number] : m_jobsByOffer) {
        if (offer.first != offeredBy && m_jobs.at(number).spec.id == id) {
            offered.push_back(number);
        }
    }
    for (const JobNumber it : offered) {
        endJob(it, JobBrokenOff{BreakOffReason::Resubmitted}, now, actions);
    }
    if (const auto it = m_jobsById.find(id); it != m_jobsById.end()) {
        endJob(it->second, JobBrokenOff{BreakOffReason::Resubmitted}, now, actions);
    }
}

JobNumber FleetDispatcher::addJob(FleetJob spec, Origin origin, std::vector<std::uint32_t> indices,
                                  std::uint32_t firstRun, TimePoint now)
{
    // The mean follows a change of the load within some twenty jobs.
    constexpr double meanWeight = 0.05;
    const double cpu = spec.need.cpu.value();
    m_meanTaskCpu += (cpu - m_meanTaskCpu) * (m_meanTaskCpu > 0 ? meanWeight : 1);
    const JobNumber number{m_nextJob++};
    Job &job = m_jobs[number];
    job.origin = std::move(origin);
    job.firstRun = firstRun;
    job.waiting = indices.size();
    job.tasks.resize(indices.size());
    for (Task &it : job.tasks) {
        it.nextRun = firstRun;
    }
    job.indices = std::move(indices);
    job.arrivedAt = now;
    job.objective = now + spec.objective;
    job.deadline = now + spec.deadline - m_options.answerMargin;
    job.spec = std::move(spec);
    setStartLimits(job, now);
    if (needsFastUpstream(job.spec, job.deadline - now)) {
        m_fastNeededAt = now;
    }
    m_isDispatchDue = true;
    return number;
}

void FleetDispatcher::turnAway(CallerRequestId request, const FleetJob &job,
                               const JobTurnedAway &end, FleetActions &actions)
{
    actions.emplace_back(FleetLogRecord{FleetLogRecordKind::JobTurnedAway, name(end.reason), job.id,
                                        "queue " + job.queue.value() + ", tasks "
                                                + std::to_string(job.taskCount) + describeSize(job)
                                                + retryAfterText(end)});
    actions.emplace_back(AnswerJob{request, job.id, end});
}

void FleetDispatcher::handleEvent(const CallerDisconnected &event, TimePoint now,
                                  FleetActions &actions)
{
    const auto it = m_jobsByRequest.find(event.request);
    if (it == m_jobsByRequest.end()) {
        return;
    }
    const JobNumber number = it->second;
    stopTasks(number, m_jobs.at(number), now, actions);
    m_jobsById.erase(m_jobs.at(number).spec.id);
    m_jobsByRequest.erase(it);
    m_jobs.erase(number);
    m_isDispatchDue = true;
}

void FleetDispatcher::handleEvent(const JobCancelled &event, TimePoint now, FleetActions &actions)
{
    if (const auto it = m_jobsById.find(event.job); it != m_jobsById.end()) {
        endJob(it->second, JobFailed{FailureReason::Cancelled}, now, actions);
    }
}

void FleetDispatcher::stopTasks(JobNumber number, Job &job, TimePoint now, FleetActions &actions)
{
    // The caller submits the job again some time after this VM has answered or lost it. The end of
    // another VM's offer may reach this VM as late as the silence limit of their link allows.
    const LeaseTimes &times = m_options.lease;
    const bool isOffered = std::holds_alternative<OfferOrigin>(job.origin);
    const TimePoint limit = now + (isOffered ? times.runsEndAfter({}) : times.runsEndAfterJob());
    std::size_t running = 0;
    LedgerOutputs outputs;
    for (std::uint32_t n = 0; n < job.tasks.size(); ++n) {
        const Task &task = job.tasks[n];
        if (task.state == TaskState::Waiting && task.notBefore > now) {
            // The run that ended last may still execute on an upstream that this VM has lost.
            m_endingRuns.holdUntil(job.spec.id, task.notBefore);
        }
        if (task.state != TaskState::Running) {
            continue;
        }
        ++running;
        if (const auto kept = m_keptUpstreams.find(task.upstream); kept != m_keptUpstreams.end()) {
            kept->second.ledger.stop({number, TaskIndex{n}}, limit, now, outputs);
        }
    }
    for (LedgerOutput &it : outputs) {
        if (auto *const order = std::get_if<StopOrder>(&it)) {
            actions.emplace_back(std::move(*order));
        }
    }
    if (running > 0) {
        m_endingRuns.add(number, job.spec.id, running);
    }
    std::erase_if(m_offers, [&](const auto &it) {
        if (it.second.job != number) {
            return false;
        }
        actions.emplace_back(SendToVm{it.second.vm, TaskOfferWithdrawn{it.first}});
        // The other VM does not confirm the withdrawal, which may be lost with the link.
        m_endingRuns.holdUntil(job.spec.id, now + runsEndAfterLoss());
        return true;
    });
}

std::string FleetDispatcher::describeUnfinishedTasks(JobNumber number, const Job &job,
                                                     TimePoint now) const
{
    // Limits the length of the log line, as a job may have dozens of tasks.
    constexpr std::size_t maxTasks = 3;
    std::string text;
    std::size_t shown = 0;
    for (std::size_t n = 0; n < job.tasks.size() && shown < maxTasks; ++n) {
        const Task &task = job.tasks[n];
        if (task.state == TaskState::Running) {
            ++shown;
            text += ", task " + std::to_string(job.indices[n]) + " on " + task.upstream.value()
                    + " for " + std::to_string(toMilliseconds(now - task.startedAt))
                    + " ms, expected " + std::to_string(toMilliseconds(task.expected)) + " ms";
        }
    }
    for (const auto &[offerNumber, offer] : m_offers) {
        if (offer.job == number) {
            text += ", " + std::to_string(offer.tasks.size()) + " tasks offered to "
                    + offer.vm.value();
        }
    }
    for (const UnfinishedOffer &it : job.unfinishedOffers) {
        text += ", " + std::to_string(it.tasks) + " tasks " + std::string{it.outcome} + " "
                + it.vm.value();
    }
    return text;
}

std::string FleetDispatcher::describeJob(const Job &job)
{
    std::string text = ", tasks done " + std::to_string(job.done) + " of "
                       + std::to_string(job.tasks.size()) + ", waiting "
                       + std::to_string(job.waiting) + describeSize(job.spec);
    if (job.lastStartAt != TimePoint{}) {
        text += ", last start after "
                + std::to_string(toMilliseconds(job.lastStartAt - job.arrivedAt)) + " ms";
    }
    return text;
}

void FleetDispatcher::endJob(JobNumber number, const JobEnd &end, TimePoint now,
                             FleetActions &actions)
{
    const auto found = m_jobs.find(number);
    if (found == m_jobs.end()) {
        return;
    }
    Job &job = found->second;
    std::string progress = describeJob(job);
    if (!std::holds_alternative<JobCompleted>(end)) {
        progress += describeUnfinishedTasks(number, job, now);
    }
    stopTasks(number, job, now, actions);
    m_isDispatchDue = true;
    if (std::holds_alternative<JobCompleted>(end)) {
        // Of an incomplete job only the shorter runs have ended.
        addSpeeds(job);
    }
    std::visit(Overloaded{[&](CallerRequestId request) {
                              actions.push_back(makeJobEndNote(end, job.spec, progress));
                              actions.emplace_back(AnswerJob{request, job.spec.id, end});
                              m_jobsByRequest.erase(request);
                              m_jobsById.erase(job.spec.id);
                          },
                          [&](const OfferOrigin &offer) {
                              const OfferResult result = offerResultOf(end);
                              actions.emplace_back(FleetLogRecord{
                                      FleetLogRecordKind::OfferAnswered, name(result), job.spec.id,
                                      "from " + offer.vm.value() + progress});
                              actions.emplace_back(
                                      SendToVm{offer.vm, TaskOfferEnded{offer.number, result}});
                              m_jobsByOffer.erase({offer.vm, offer.number});
                          }},
               job.origin);
    m_jobs.erase(found);
}

void FleetDispatcher::abortJob(JobNumber number, TurnAwayReason ifUnstarted,
                               BreakOffReason ifStarted, TimePoint now, FleetActions &actions)
{
    const auto found = m_jobs.find(number);
    if (found == m_jobs.end()) {
        return;
    }
    if (!found->second.isUnstarted()) {
        endJob(number, JobBrokenOff{ifStarted}, now, actions);
    } else {
        const Duration retryAfter = retryAfterFor(ifUnstarted, found->second.spec.id);
        endJob(number, JobTurnedAway{ifUnstarted, retryAfter}, now, actions);
    }
}

} // namespace rattandock::fleet
