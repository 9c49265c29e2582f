// Offers of tasks between the FleetDispatchers of different VMs.
#include <algorithm>

#include "rattandock/fleet/fleet_dispatcher.hpp"
#include "rattandock/fleet/wait_limit.hpp"

namespace rattandock::fleet {

void FleetDispatcher::offerWaitingTasks(JobNumber number, Job &job, TimePoint now,
                                        FleetActions &actions)
{
    std::vector<std::uint32_t> waiting;
    for (std::uint32_t n = 0; n < job.tasks.size(); ++n) {
        if (job.tasks[n].state == TaskState::Waiting && job.tasks[n].notBefore <= now) {
            waiting.push_back(n);
        }
    }
    const std::uint32_t maxPercent = maxUsefulRunTimePercent(job.spec, job.deadline - now);
    std::size_t next = 0;
    while (next < waiting.size()) {
        const auto share =
                m_sharedRoom.reserve(job.spec.need.cpu, waiting.size() - next, maxPercent);
        if (!share) {
            return;
        }
        TaskOffer offer{m_nextOffer++, job.spec, {}, 1};
        // Adds the answer margin, as the receiver subtracts it again and would otherwise abort the
        // job before this VM does.
        offer.job.deadline = job.deadline - now + m_options.answerMargin;
        offer.job.objective = job.objective - now;
        Offer &record = m_offers[offer.number];
        record.vm = share->vm;
        record.job = number;
        for (std::size_t n = 0; n < share->tasks; ++n) {
            const std::uint32_t index = waiting[next++];
            Task &task = job.tasks[index];
            task.state = TaskState::Offered;
            offer.firstRun = std::max(offer.firstRun, task.nextRun);
            offer.tasks.push_back(job.indices[index]);
            record.tasks.push_back(index);
        }
        job.waiting -= share->tasks;
        ++job.openOffers;
        actions.emplace_back(
                FleetLogRecord{FleetLogRecordKind::TasksOffered, "no-room-here", job.spec.id,
                               share->vm.value() + ", tasks " + std::to_string(share->tasks)});
        actions.emplace_back(SendToVm{share->vm, std::move(offer)});
    }
}

void FleetDispatcher::handleEvent(const OfferReceived &event, TimePoint now, FleetActions &actions)
{
    const TaskOffer &offer = event.offer;
    const auto answer = [&](OfferResult result) {
        actions.emplace_back(SendToVm{event.from, TaskOfferEnded{offer.number, result}});
    };
    if (m_stopAt || m_keptUpstreams.empty() || offer.tasks.empty()
        || m_staleLinks.contains(event.from)) {
        return answer(OfferResult::NotRun);
    }
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

void FleetDispatcher::endOffersOf(const VmId &vm, TimePoint now, FleetActions &actions)
{
    std::vector<JobNumber> jobsOfferedToPeer;
    std::erase_if(m_offers, [&](const auto &it) {
        if (it.second.vm == vm) {
            jobsOfferedToPeer.push_back(it.second.job);
            if (const auto job = m_jobs.find(it.second.job); job != m_jobs.end()) {
                actions.emplace_back(FleetLogRecord{FleetLogRecordKind::OfferEnded, "link-down",
                                                    job->second.spec.id, vm.value()});
            }
        }
        return it.second.vm == vm;
    });
    for (const JobNumber it : jobsOfferedToPeer) {
        abortJob(it, TurnAwayReason::Overload, BreakOffReason::PeerLost, now, actions);
    }
    std::vector<JobNumber> jobsOfferedByPeer;
    for (const auto &[offer, job] : m_jobsByOffer) {
        if (offer.first == vm) {
            jobsOfferedByPeer.push_back(job);
        }
    }
    // The peer ends these jobs on its side, and their callers may resubmit them under the same id.
    for (const JobNumber it : jobsOfferedByPeer) {
        endJob(it, JobBrokenOff{BreakOffReason::PeerLost}, now, actions);
    }
}

} // namespace rattandock::fleet
