// How a FleetDispatcher accepts, refuses and ends jobs.
#include <algorithm>

#include "rattandock/base/overloaded.hpp"
#include "rattandock/fleet/fleet_dispatcher.hpp"
#include "rattandock/fleet/wait_limit.hpp"

namespace rattandock::fleet {

namespace {

/// A VM that stops sends callers to others, which take over at once.
constexpr Duration stoppingRetryAfter = std::chrono::milliseconds{500};
/// While no upstream is known, the next reading of the list may bring some.
constexpr Duration noUpstreamsRetryAfter = std::chrono::seconds{1};
/// Upstreams of another size may be added, but seldom.
constexpr Duration nothingFitsRetryAfter = std::chrono::seconds{30};
constexpr Duration pausedRetryAfter = std::chrono::milliseconds{100};
/// Requests that lay in the sockets during a pause are read within this time. Their callers may
/// have sent them to another VM since.
constexpr Duration pauseShadow = std::chrono::milliseconds{100};
/// A run may take this part of its expected time; below it a caller is not sent away for its
/// estimate alone.
constexpr double shortestPart = 0.6;
/// Upstreams are kept and answer about this long after a start.
constexpr Duration startingTime = std::chrono::milliseconds{1000};
/// A stopping VM takes jobs on open connections only while they can end before it does.
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

FleetNote noteOf(const JobEnd &end, const FleetJob &job, const std::string &progress)
{
    const auto note = [&](FleetNoteKind kind, std::string_view reason) {
        return FleetNote{kind, reason, job.id, "queue " + job.queue.value() + progress};
    };
    return std::visit(
            Overloaded{
                    [&](const JobCompleted &) { return note(FleetNoteKind::JobCompleted, "done"); },
                    [&](const JobFailed &) { return note(FleetNoteKind::JobFailed, "attempts"); },
                    [&](const JobTurnedAway &it) {
                        return note(FleetNoteKind::JobTurnedAway, name(it.reason));
                    },
                    [&](const JobBrokenOff &it) {
                        return note(FleetNoteKind::JobBrokenOff, name(it.reason));
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

Duration retryAfterFor(TurnedAway reason)
{
    switch (reason) {
    case TurnedAway::Stopping:
        return stoppingRetryAfter;
    case TurnedAway::Paused:
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
    std::uint64_t sum = m_shared.usableCpu();
    for (const auto &[id, kept] : m_kept) {
        sum += mayPlaceOn(kept, now) ? kept.ledger.entry().capacity.cpu.value() : 0;
    }
    return sum;
}

std::size_t FleetDispatcher::placesFor(const FleetJob &job, TimePoint now) const
{
    const std::uint32_t maxPercent = slowestUsefulPercent(job, job.deadline);
    std::size_t places = m_shared.placesFor(job.need.cpu, maxPercent);
    for (const auto &[id, kept] : m_kept) {
        const UpstreamEntry &entry = kept.ledger.entry();
        const bool isUseful = 100 * m_times.factor(id, kindOf(entry)) <= maxPercent;
        if (entry.service == job.service && isUseful && mayPlaceOn(kept, now)) {
            places += kept.ledger.freeRoom().cpu.value() / std::max(job.need.cpu.value(), 1U);
        }
    }
    return places;
}

std::optional<JobTurnedAway> FleetDispatcher::refusalOf(const FleetJob &job, TimePoint now) const
{
    if (m_stopAt && now > *m_stopAt - stoppingReserve) {
        return JobTurnedAway{TurnedAway::Stopping, stoppingRetryAfter};
    }
    if (m_pausedAt && now - *m_pausedAt < pauseShadow) {
        return JobTurnedAway{TurnedAway::Paused, pausedRetryAfter};
    }
    if (m_jobs.size() >= m_options.maxWaitingJobs) {
        return JobTurnedAway{TurnedAway::Overload, noUpstreamsRetryAfter};
    }
    bool isServed = false;
    bool fits = false;
    for (const auto &[id, listed] : m_listed) {
        if (fits) {
            break;
        }
        const bool serves = listed.entry.service == job.service;
        isServed = isServed || serves;
        fits = fits
               || (serves && listed.entry.capacity.holds(job.need) && hasLabel(listed.entry, job));
    }
    if (!isServed) {
        return JobTurnedAway{TurnedAway::NoUpstreams, noUpstreamsRetryAfter};
    }
    if (!fits) {
        return JobTurnedAway{TurnedAway::NothingFits, nothingFitsRetryAfter};
    }
    const Duration expected = expectedRun(job);
    AdmissionView view;
    view.usableCpu = usableCpu(now);
    view.ahead = queuedWork(now + job.objective - expected) + m_shared.queuedWork();
    // Room that is left was of no use to any waiting job.
    view.fitsNow = placesFor(job, now) >= job.taskCount;
    view.longest = scaled(fastestRun(job), shortestPart);
    view.isStarting = !isSettled(now) || now - *m_startedAt < startingTime;
    view.work = workOf(job, job.taskCount, expected);
    view.untilObjective = job.objective;
    view.untilDeadline = job.deadline - m_options.answerMargin;
    if (const auto retryAfter = refusalRetryAfter(view)) {
        const auto reason = view.usableCpu == 0 ? TurnedAway::NoUpstreams : TurnedAway::Overload;
        return JobTurnedAway{reason, *retryAfter};
    }
    return std::nullopt;
}

void FleetDispatcher::on(const JobArrived &event, TimePoint now, FleetActions &actions)
{
    replace(event.job.id, now, actions);
    if (const auto refusal = refusalOf(event.job, now)) {
        return turnAway(event.request, event.job, *refusal, actions);
    }
    std::vector<std::uint32_t> indices(event.job.taskCount);
    for (std::uint32_t n = 0; n < event.job.taskCount; ++n) {
        indices[n] = n;
    }
    const JobNumber number = addJob(event.job, event.request, std::move(indices), 1, now);
    m_jobOfId[event.job.id] = number;
    m_jobOfRequest[event.request] = number;
}

void FleetDispatcher::replace(const JobId &id, TimePoint now, FleetActions &actions)
{
    // The caller has given up its former connection, as it sends the job again.
    if (const auto it = m_jobOfId.find(id); it != m_jobOfId.end()) {
        endJob(it->second, JobBrokenOff{BrokenOff::Resubmitted}, now, actions);
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
    actions.emplace_back(FleetNote{
            FleetNoteKind::JobTurnedAway, name(end.reason), job.id,
            "queue " + job.queue.value() + ", tasks " + std::to_string(job.taskCount)
                    + ", retry after " + std::to_string(toMilliseconds(end.retryAfter)) + " ms"});
    actions.emplace_back(AnswerJob{request, job.id, end});
}

void FleetDispatcher::on(const CallerGone &event, TimePoint now, FleetActions &actions)
{
    const auto it = m_jobOfRequest.find(event.request);
    if (it == m_jobOfRequest.end()) {
        return;
    }
    const JobNumber number = it->second;
    stopTasks(number, m_jobs.at(number), now, actions);
    m_jobOfId.erase(m_jobs.at(number).spec.id);
    m_jobOfRequest.erase(it);
    m_jobs.erase(number);
}

void FleetDispatcher::on(const OfferArrived &event, TimePoint now, FleetActions &actions)
{
    const TaskOffer &offer = event.offer;
    const auto answer = [&](OfferResult result) {
        actions.emplace_back(SendToVm{event.from, TaskOfferEnded{offer.number, result}});
    };
    if (m_stopAt || m_kept.empty() || offer.tasks.empty() || m_staleLinks.contains(event.from)) {
        return answer(OfferResult::NotRun);
    }
    const JobNumber number = addJob(offer.job, OfferOrigin{event.from, offer.number}, offer.tasks,
                                    offer.firstRun, now);
    m_jobs.at(number).firstStartLimit = offeredStartLimit(now);
    m_jobOfOffer[{event.from, offer.number}] = number;
}

void FleetDispatcher::on(const OfferWithdrawn &event, TimePoint now, FleetActions &actions)
{
    const auto it = m_jobOfOffer.find({event.from, event.withdrawal.number});
    if (it == m_jobOfOffer.end()) {
        return;
    }
    const JobNumber number = it->second;
    stopTasks(number, m_jobs.at(number), now, actions);
    m_jobOfOffer.erase(it);
    m_jobs.erase(number);
}

void FleetDispatcher::on(const OfferEnded &event, TimePoint now, FleetActions &actions)
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
        return giveUp(offer.job, TurnedAway::DeadlinePassed, BrokenOff::DeadlinePassed, now,
                      actions);
    case OfferResult::NotRun:
        m_shared.clear(event.from);
        for (const std::uint32_t index : offer.tasks) {
            ++job.tasks[index].nextRun;
            taskWaits(job, job.tasks[index], now);
        }
        actions.emplace_back(
                FleetNote{FleetNoteKind::OfferEnded, "not-run", job.spec.id, event.from.value()});
        return;
    }
}

void FleetDispatcher::stopTasks(JobNumber number, Job &job, TimePoint now, FleetActions &actions)
{
    std::size_t running = 0;
    LedgerOutputs outputs;
    for (std::uint32_t n = 0; n < job.tasks.size(); ++n) {
        const Task &task = job.tasks[n];
        if (task.state != TaskState::Running) {
            continue;
        }
        ++running;
        if (const auto kept = m_kept.find(task.upstream); kept != m_kept.end()) {
            kept->second.ledger.stop({number, TaskIndex{n}}, now, outputs);
        }
    }
    for (LedgerOutput &it : outputs) {
        if (auto *const order = std::get_if<StopOrder>(&it)) {
            actions.emplace_back(std::move(*order));
        }
    }
    if (running > 0) {
        m_endingRuns[job.spec.id.value()] += running;
        m_endedJobs[number] = job.spec.id.value();
    }
    std::erase_if(m_offers, [&](const auto &it) {
        if (it.second.job != number) {
            return false;
        }
        actions.emplace_back(SendToVm{it.second.vm, TaskOfferWithdrawn{it.first}});
        return true;
    });
}

std::string FleetDispatcher::unfinishedOf(JobNumber number, const Job &job, TimePoint now) const
{
    // Enough to find the cause; a job may have dozens of tasks.
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
            text += ", " + std::to_string(offer.tasks.size()) + " at " + offer.vm.value();
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
        progress += unfinishedOf(number, job, now);
    }
    stopTasks(number, job, now, actions);
    std::visit(Overloaded{[&](CallerRequestId request) {
                              actions.push_back(noteOf(end, job.spec, progress));
                              actions.emplace_back(AnswerJob{request, job.spec.id, end});
                              m_jobOfRequest.erase(request);
                              m_jobOfId.erase(job.spec.id);
                          },
                          [&](const OfferOrigin &offer) {
                              const OfferResult result = offerResultOf(end);
                              actions.emplace_back(FleetNote{
                                      FleetNoteKind::OfferAnswered, name(result), job.spec.id,
                                      "from " + offer.vm.value() + progress});
                              actions.emplace_back(
                                      SendToVm{offer.vm, TaskOfferEnded{offer.number, result}});
                              m_jobOfOffer.erase({offer.vm, offer.number});
                          }},
               job.origin);
    m_jobs.erase(found);
}

void FleetDispatcher::giveUp(JobNumber number, TurnedAway ifUnstarted, BrokenOff ifStarted,
                             TimePoint now, FleetActions &actions)
{
    const auto found = m_jobs.find(number);
    if (found == m_jobs.end()) {
        return;
    }
    if (!found->second.isUntouched()) {
        endJob(number, JobBrokenOff{ifStarted}, now, actions);
    } else {
        endJob(number, JobTurnedAway{ifUnstarted, retryAfterFor(ifUnstarted)}, now, actions);
    }
}

void FleetDispatcher::expireJobs(TimePoint now, FleetActions &actions)
{
    std::vector<JobNumber> hopeless;
    std::vector<JobNumber> unstarted;
    for (const auto &[number, job] : m_jobs) {
        const Duration shortest =
                job.waiting > 0 ? scaled(fastestRun(job.spec), shortestPart) : Duration{};
        if (now + shortest >= job.deadline) {
            hopeless.push_back(number);
        } else if (job.isUntouched() && now >= job.firstStartLimit) {
            unstarted.push_back(number);
        }
    }
    for (const JobNumber it : hopeless) {
        giveUp(it, TurnedAway::DeadlinePassed, BrokenOff::DeadlinePassed, now, actions);
    }
    for (const JobNumber it : unstarted) {
        giveUp(it, TurnedAway::WaitedTooLong, BrokenOff::DeadlinePassed, now, actions);
    }
    if (!m_stopAt || now < *m_stopAt) {
        return;
    }
    while (!m_jobs.empty()) {
        giveUp(m_jobs.begin()->first, TurnedAway::Stopping, BrokenOff::Stopping, now, actions);
    }
}

} // namespace rattandock::fleet
