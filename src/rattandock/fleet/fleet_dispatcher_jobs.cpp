// Admission, refusal and end of the jobs of a FleetDispatcher.
#include <algorithm>

#include "rattandock/base/overloaded.hpp"
#include "rattandock/fleet/fleet_dispatcher.hpp"
#include "rattandock/fleet/wait_limit.hpp"

namespace rattandock::fleet {

namespace {

/// Short, as the other VMs take over the work of a stopping VM at once.
constexpr Duration stoppingRetryAfter = std::chrono::milliseconds{500};
/// The next read of the list of upstreams may return some.
constexpr Duration noUpstreamsRetryAfter = std::chrono::seconds{1};
/// Long, as upstreams of another size are rarely added.
constexpr Duration nothingFitsRetryAfter = std::chrono::seconds{30};
constexpr Duration pausedRetryAfter = std::chrono::milliseconds{100};
/// Time after a pause of this process in which requests that were buffered in the sockets are
/// read. Their callers may have sent them to another VM meanwhile, so they are refused.
constexpr Duration pauseBacklogTime = std::chrono::milliseconds{100};
/// Shortest run time to allow for, relative to the expected one, as estimates may be too high. A
/// job is refused for its estimate alone only if even such a run would miss the deadline.
constexpr double minRunTimeFactor = 0.6;
/// Time from the start of this VM until it has claimed upstreams and received their first reports.
constexpr Duration startupTime = std::chrono::milliseconds{1000};
/// A stopping VM accepts jobs on open connections until this long before its stop limit, so that
/// they can end in time.
constexpr Duration stoppingReserve = std::chrono::milliseconds{2000};

Duration scaled(Duration time, double factor)
{
    return Duration{static_cast<Duration::rep>(static_cast<double>(time.count()) * factor)};
}

CoreWork workOf(const FleetJob &job, std::size_t tasks, Duration expected)
{
    return static_cast<CoreWork>(tasks) * job.need.cpu.value()
           * static_cast<CoreWork>(expected.count());
}

/// Bounds of an offer, above all that this program sends. Others come from a faulty sender and
/// would overflow times or take too much memory.
constexpr std::size_t maxOfferedTasks = 10'000;
constexpr std::uint32_t maxOfferedRun = 1'000'000;
constexpr Duration maxOfferedTime = std::chrono::hours{2400};

bool isValidOffer(const TaskOffer &offer)
{
    const FleetJob &job = offer.job;
    const auto isBounded = [](Duration time) {
        return time >= -maxOfferedTime && time <= maxOfferedTime;
    };
    if (offer.tasks.empty() || offer.tasks.size() > maxOfferedTasks || offer.firstRun == 0
        || offer.firstRun > maxOfferedRun || job.estimate < Duration{} || !isBounded(job.estimate)
        || !isBounded(job.deadline) || !isBounded(job.objective)) {
        return false;
    }
    std::vector<std::uint32_t> tasks = offer.tasks;
    std::ranges::sort(tasks);
    return tasks.back() < job.taskCount && std::ranges::adjacent_find(tasks) == tasks.end();
}

FleetLogRecord makeJobEndNote(const JobEnd &end, const FleetJob &job, const std::string &progress)
{
    const auto note = [&](FleetLogRecordKind kind, std::string_view reason) {
        return FleetLogRecord{kind, reason, job.id, "queue " + job.queue.value() + progress};
    };
    return std::visit(Overloaded{[&](const JobCompleted &) {
                                     return note(FleetLogRecordKind::JobCompleted, "done");
                                 },
                                 [&](const JobFailed &) {
                                     return note(FleetLogRecordKind::JobFailed, "attempts");
                                 },
                                 [&](const JobTurnedAway &it) {
                                     return note(FleetLogRecordKind::JobTurnedAway,
                                                 name(it.reason));
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

Duration retryAfterFor(TurnAwayReason reason)
{
    switch (reason) {
    case TurnAwayReason::Stopping:
        return stoppingRetryAfter;
    case TurnAwayReason::Paused:
        return pausedRetryAfter;
    default:
        return noUpstreamsRetryAfter;
    }
}

} // namespace

CoreWork FleetDispatcher::queuedWork(TimePoint before) const
{
    CoreWork sum = 0;
    for (const auto &[number, job] : m_jobs) {
        const Duration expected = expectedRun(job.spec);
        if (job.waiting > 0 && job.objective - expected < before) {
            sum += workOf(job.spec, job.waiting, expected);
        }
    }
    return sum;
}

std::uint64_t FleetDispatcher::usableCpu(TimePoint now) const
{
    std::uint64_t sum = m_sharedRoom.usableCpu();
    for (const auto &[id, kept] : m_keptUpstreams) {
        sum += mayPlaceOn(kept, now) ? kept.ledger.entry().capacity.cpu.value() : 0;
    }
    return sum;
}

std::size_t FleetDispatcher::placesFor(const FleetJob &job, TimePoint now) const
{
    const std::uint32_t maxPercent = maxUsefulRunTimePercent(job, job.deadline);
    std::size_t places = m_sharedRoom.countFittingTasks(job.need.cpu, maxPercent);
    for (const auto &[id, kept] : m_keptUpstreams) {
        const UpstreamEntry &entry = kept.ledger.entry();
        const bool isUseful = 100 * m_runTimes.factor(id, upstreamKind(entry)) <= maxPercent;
        if (entry.service == job.service && isUseful && mayPlaceOn(kept, now)) {
            places += std::min<std::size_t>(kept.ledger.freeRoom().cpu.value()
                                                    / std::max(job.need.cpu.value(), 1U),
                                            m_upstreamWatch.startsLeft(id, now));
        }
    }
    return places;
}

std::optional<JobTurnedAway> FleetDispatcher::checkAdmission(const FleetJob &job,
                                                             TimePoint now) const
{
    if (m_stopAt && now > *m_stopAt - stoppingReserve) {
        return JobTurnedAway{TurnAwayReason::Stopping, stoppingRetryAfter};
    }
    if (m_pausedAt && now - *m_pausedAt < pauseBacklogTime) {
        return JobTurnedAway{TurnAwayReason::Paused, pausedRetryAfter};
    }
    if (m_jobs.size() >= m_options.maxOpenJobs) {
        return JobTurnedAway{TurnAwayReason::Overload, noUpstreamsRetryAfter};
    }
    bool isServed = false;
    bool fits = false;
    for (const auto &[id, listed] : m_listedUpstreams) {
        if (fits) {
            break;
        }
        const bool serves = listed.entry.service == job.service;
        isServed = isServed || serves;
        fits = fits
               || (serves && listed.entry.capacity.covers(job.need) && hasLabel(listed.entry, job));
    }
    if (!isServed) {
        return JobTurnedAway{TurnAwayReason::NoUpstreams, noUpstreamsRetryAfter};
    }
    if (!fits) {
        return JobTurnedAway{TurnAwayReason::NothingFits, nothingFitsRetryAfter};
    }
    const Duration expected = expectedRun(job);
    AdmissionInputs view;
    view.usableCpu = usableCpu(now);
    view.queuedWorkAhead = queuedWork(now + job.objective - expected) + m_sharedRoom.queuedWork();
    // dispatch() found no use of the room that is free now for any waiting job.
    view.fitsNow = placesFor(job, now) >= job.taskCount;
    view.minRunTime = scaled(fastestRun(job), minRunTimeFactor);
    view.isStarting = !isMembershipSettled(now) || now - *m_startedAt < startupTime;
    view.jobWork = workOf(job, job.taskCount, expected);
    view.untilObjective = job.objective;
    view.untilDeadline = job.deadline - m_options.answerMargin;
    if (const auto retryAfter = refusalRetryAfter(view)) {
        const auto reason =
                view.usableCpu == 0 ? TurnAwayReason::NoUpstreams : TurnAwayReason::Overload;
        return JobTurnedAway{reason, *retryAfter};
    }
    return std::nullopt;
}

void FleetDispatcher::handleEvent(const JobSubmitted &event, TimePoint now, FleetActions &actions)
{
    replaceJob(event.job.id, std::nullopt, now, actions);
    if (const auto refusal = checkAdmission(event.job, now)) {
        return turnAway(event.request, event.job, *refusal, actions);
    }
    std::vector<std::uint32_t> indices(event.job.taskCount);
    for (std::uint32_t n = 0; n < event.job.taskCount; ++n) {
        indices[n] = n;
    }
    const JobNumber number = addJob(event.job, event.request, std::move(indices), 1, now);
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
    const JobNumber number{m_nextJob++};
    Job &job = m_jobs[number];
    job.origin = std::move(origin);
    job.waiting = indices.size();
    job.tasks.resize(indices.size());
    for (Task &it : job.tasks) {
        it.nextRun = firstRun;
    }
    job.indices = std::move(indices);
    job.objective = now + spec.objective;
    job.deadline = now + spec.deadline - m_options.answerMargin;
    job.firstStartLimit = firstStartLimit(now, job.deadline);
    job.spec = std::move(spec);
    return number;
}

void FleetDispatcher::turnAway(CallerRequestId request, const FleetJob &job,
                               const JobTurnedAway &end, FleetActions &actions)
{
    actions.emplace_back(FleetLogRecord{
            FleetLogRecordKind::JobTurnedAway, name(end.reason), job.id,
            "queue " + job.queue.value() + ", tasks " + std::to_string(job.taskCount)
                    + ", retry after " + std::to_string(toMilliseconds(end.retryAfter)) + " ms"});
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
}

void FleetDispatcher::handleEvent(const OfferReceived &event, TimePoint now, FleetActions &actions)
{
    const TaskOffer &offer = event.offer;
    const auto answer = [&](OfferResult result) {
        actions.emplace_back(SendToVm{event.from, TaskOfferEnded{offer.number, result}});
    };
    if (m_stopAt || m_keptUpstreams.empty() || !isValidOffer(offer)
        || m_staleLinks.contains(event.from)) {
        return answer(OfferResult::NotRun);
    }
    replaceJob(offer.job.id, event.from, now, actions);
    const JobNumber number = addJob(offer.job, OfferOrigin{event.from, offer.number}, offer.tasks,
                                    offer.firstRun, now);
    m_jobs.at(number).firstStartLimit = offeredStartLimit(now);
    m_jobsByOffer[{event.from, offer.number}] = number;
}

void FleetDispatcher::handleEvent(const OfferWithdrawn &event, TimePoint now, FleetActions &actions)
{
    const auto it = m_jobsByOffer.find({event.from, event.withdrawal.number});
    if (it == m_jobsByOffer.end()) {
        return;
    }
    const JobNumber number = it->second;
    stopTasks(number, m_jobs.at(number), now, actions);
    m_jobsByOffer.erase(it);
    m_jobs.erase(number);
}

void FleetDispatcher::handleEvent(const OfferEnded &event, TimePoint now, FleetActions &actions)
{
    const auto it = m_offers.find(event.end.number);
    if (it == m_offers.end() || it->second.vm != event.from) {
        return;
    }
    const Offer offer = std::move(it->second);
    m_offers.erase(it);
    const auto found = m_jobs.find(offer.job);
    if (found == m_jobs.end()) {
        return;
    }
    Job &job = found->second;
    --job.openOffers;
    job.hasStarted = job.hasStarted || event.end.result != OfferResult::NotRun;
    switch (event.end.result) {
    case OfferResult::Done:
        for (const std::uint32_t index : offer.tasks) {
            job.tasks[index].state = TaskState::Done;
        }
        job.done += offer.tasks.size();
        if (job.done == job.tasks.size()) {
            endJob(offer.job, JobCompleted{}, now, actions);
        }
        return;
    case OfferResult::Failed:
        return endJob(offer.job, JobFailed{}, now, actions);
    case OfferResult::GivenUp:
        return abortJob(offer.job, TurnAwayReason::DeadlinePassed, BreakOffReason::DeadlinePassed,
                        now, actions);
    case OfferResult::NotRun:
        m_sharedRoom.markFull(event.from);
        for (const std::uint32_t index : offer.tasks) {
            ++job.tasks[index].nextRun;
            requeueTask(job, job.tasks[index], now);
        }
        actions.emplace_back(FleetLogRecord{FleetLogRecordKind::OfferEnded, "not-run", job.spec.id,
                                            event.from.value()});
        return;
    }
}

void FleetDispatcher::stopTasks(JobNumber number, Job &job, TimePoint now, FleetActions &actions)
{
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
            kept->second.ledger.stop({number, TaskIndex{n}}, now, outputs);
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
    std::string progress = ", tasks done " + std::to_string(job.done) + " of "
                           + std::to_string(job.tasks.size()) + ", waiting "
                           + std::to_string(job.waiting);
    if (!std::holds_alternative<JobCompleted>(end)) {
        progress += describeUnfinishedTasks(number, job, now);
    }
    stopTasks(number, job, now, actions);
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
        endJob(number, JobTurnedAway{ifUnstarted, retryAfterFor(ifUnstarted)}, now, actions);
    }
}

void FleetDispatcher::expireJobs(TimePoint now, FleetActions &actions)
{
    std::vector<JobNumber> missingDeadline;
    std::vector<JobNumber> unstarted;
    for (const auto &[number, job] : m_jobs) {
        const Duration shortest =
                job.waiting > 0 ? scaled(fastestRun(job.spec), minRunTimeFactor) : Duration{};
        if (now + shortest >= job.deadline) {
            missingDeadline.push_back(number);
        } else if (job.isUnstarted() && now >= job.firstStartLimit) {
            unstarted.push_back(number);
        }
    }
    for (const JobNumber it : missingDeadline) {
        abortJob(it, TurnAwayReason::DeadlinePassed, BreakOffReason::DeadlinePassed, now, actions);
    }
    for (const JobNumber it : unstarted) {
        abortJob(it, TurnAwayReason::WaitedTooLong, BreakOffReason::DeadlinePassed, now, actions);
    }
    if (!m_stopAt || now < *m_stopAt) {
        return;
    }
    while (!m_jobs.empty()) {
        abortJob(m_jobs.begin()->first, TurnAwayReason::Stopping, BreakOffReason::Stopping, now,
                 actions);
    }
}

} // namespace rattandock::fleet
