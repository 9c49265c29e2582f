// The VMs, upstreams, store and callers of a fleet replay.
#include "fleet_replay_test.hpp"

#include "rattandock/base/overloaded.hpp"
#include "rattandock/fleet/link_choice.hpp"

namespace rattandock::fleet::fleet_replay {

namespace {

/// VMs and upstreams of each zone. The first two VMs have the larger weight.
constexpr std::array<std::size_t, zoneLoads.size()> vmsOfZone{11, 9, 8, 8};
constexpr std::array<std::size_t, zoneLoads.size()> upstreamsOfZone{88, 88, 87, 87};
constexpr std::size_t largeVmsOfZone = 2;
constexpr double largeWeight = 0.5;
constexpr double smallWeight = 0.12;
constexpr std::array<double, 3> speeds{0.8, 1.0, 1.25};
constexpr Duration storeDelay = 8ms;
/// Time until all upstreams have keepers.
constexpr Duration warmUpTime = 4s;

ZoneId zoneId(std::size_t zone)
{
    return ZoneId{std::string{"zone-"} + std::to_string(zone)};
}

} // namespace

void QueueResult::add(const QueueResult &other)
{
    jobs += other.jobs;
    completed += other.completed;
    largeJobs += other.largeJobs;
    largeCompleted += other.largeCompleted;
    largeLastStart += other.largeLastStart;
    largeOnFast += other.largeOnFast;
    brokenOff += other.brokenOff;
}

void Result::add(const Result &other)
{
    for (std::size_t n = 0; n < queues.size(); ++n) {
        queues.at(n).add(other.queues.at(n));
    }
    offers += other.offers;
    offersInVain += other.offersInVain;
    messages += other.messages;
}

FleetReplay::FleetReplay(const Options &options)
    : m_options(options)
    , m_random(options.seed * 7919)
{
    m_start = m_now + warmUpTime;
    JobLoad load;
    load.seed = options.seed;
    load.perSecond = options.perSecond;
    load.from = m_start;
    load.length = options.length;
    load.burst = options.burst;
    load.deadline = options.deadline;
    m_jobs = drawJobs(load);
    m_outcomes.resize(m_jobs.size());
    for (std::size_t n = 0; n < m_jobs.size(); ++n) {
        m_jobById[m_jobs[n].spec.id.value()] = n;
    }
    addUpstreams();
    addVms();
    for (std::size_t zone = 0; zone < vmsOfZone.size(); ++zone) {
        std::vector<std::size_t> &callers = m_vmOfCaller.emplace_back();
        std::vector<std::size_t> vms;
        for (std::size_t n = 0; n < m_vms.size(); ++n) {
            if (m_vms[n].zone == zone) {
                vms.push_back(n);
            }
        }
        for (std::size_t n = 0; n < load.callersPerZone; ++n) {
            callers.push_back(vms[m_random() % vms.size()]);
        }
    }
}

void FleetReplay::addUpstreams()
{
    std::vector<std::size_t> kinds;
    for (std::size_t zone = 0; zone < upstreamsOfZone.size(); ++zone) {
        for (std::size_t n = 0; n < upstreamsOfZone.at(zone); ++n) {
            const std::uint32_t cpu = m_random() % 3 == 0 ? 48'000 : 32'000;
            if (std::uniform_real_distribution<double>{}(m_random) < m_options.lostShare) {
                continue;
            }
            Upstream &it = m_upstreams.emplace_back();
            it.entry = {UpstreamId{std::string{"u"} + std::to_string(m_upstreams.size())},
                        ServiceId{"s"},
                        zoneId(zone),
                        "127.0.0.1:1",
                        false,
                        {MilliCores{cpu}, Megabytes{65'536}, Accelerators{0}},
                        {"kind"}};
            it.speed = m_options.hasSpeeds ? speeds.at(m_random() % speeds.size()) : 1.0;
            it.hangs = std::uniform_real_distribution<double>{}(m_random) < m_options.hangingShare;
            m_upstreamById[it.entry.id] = m_upstreams.size() - 1;
        }
    }
}

void FleetReplay::addVms()
{
    for (std::size_t zone = 0; zone < vmsOfZone.size(); ++zone) {
        for (std::size_t n = 0; n < vmsOfZone.at(zone); ++n) {
            Vm &vm = m_vms.emplace_back();
            vm.id = VmId{std::string{"vm-"} + std::to_string(zone) + "-" + std::to_string(n)};
            vm.zone = zone;
            vm.weight = n < largeVmsOfZone ? largeWeight : smallWeight;
            FleetOptions options;
            options.vm = vm.id;
            options.zone = zoneId(zone);
            options.incarnation = Incarnation{m_vms.size()};
            vm.dispatcher = std::make_unique<FleetDispatcher>(options);
            m_vmById[vm.id] = m_vms.size() - 1;
            m_memberRows[vm.id] = {
                    vm.id, options.incarnation, options.zone, "127.0.0.1:1", vm.weight, false,
                    0,     ownMessageLevel};
        }
    }
    UpstreamListRead list{{}, {}, true};
    for (const Upstream &it : m_upstreams) {
        list.present.push_back(it.entry);
    }
    for (std::size_t n = 0; n < m_vms.size(); ++n) {
        for (const VmId &it : chooseLinks(m_vms[n].id, m_memberRows)) {
            m_vms[n].links.insert(m_vmById.at(it));
            post(n, PeerLinkChanged{it, true}, 1ms);
        }
        post(n, list, 5ms);
        // The VMs do not send their heartbeats at the same moments.
        schedule(Duration{static_cast<Duration::rep>(m_random() % 200'000)},
                 [this, n] { heartbeat(n); });
        schedule(Duration{static_cast<Duration::rep>(m_random() % 200'000)},
                 [this, n] { readStore(n); });
    }
}

Result FleetReplay::run()
{
    for (std::size_t n = 0; n < m_jobs.size(); ++n) {
        const JobTimes &job = m_jobs[n];
        const std::size_t vm = m_vmOfCaller[job.zone][job.caller];
        m_queue.emplace(job.arrived, [this, vm, n] {
            handle(vm, JobSubmitted{CallerRequestId{n + 1}, m_jobs[n].spec});
        });
    }
    const TimePoint end = m_start + m_options.length + 2s;
    while (!m_queue.empty() && m_queue.begin()->first <= end) {
        m_now = m_queue.begin()->first;
        auto node = m_queue.extract(m_queue.begin());
        node.mapped()();
    }
    return result();
}

void FleetReplay::schedule(Duration delay, std::function<void()> action)
{
    m_queue.emplace(m_now + delay, std::move(action));
}

void FleetReplay::post(std::size_t vm, FleetEvent event, Duration delay)
{
    schedule(delay, [this, vm, event = std::move(event)] { handle(vm, event); });
}

void FleetReplay::handle(std::size_t vm, const FleetEvent &event)
{
    const bool isDecision = std::holds_alternative<JobSubmitted>(event)
                            || std::holds_alternative<OfferEnded>(event)
                            || std::holds_alternative<OfferedTasksReturned>(event)
                            || std::holds_alternative<RunReportReceived>(event);
    if (m_options.peerState == PeerState::True && isDecision) {
        deliverTrueState(vm);
    }
    FleetActions actions;
    m_vms[vm].dispatcher->handle(event, m_now, actions);
    execute(vm, actions);
    armTimer(vm);
}

void FleetReplay::armTimer(std::size_t n)
{
    Vm &vm = m_vms[n];
    const auto next = vm.dispatcher->nextTimer();
    if (!next || (vm.timerAt && *vm.timerAt <= *next && *vm.timerAt > m_now)) {
        return;
    }
    vm.timerAt = std::max(*next, m_now + 1ms);
    schedule(*vm.timerAt - m_now, [this, n, at = *vm.timerAt] {
        if (m_vms[n].timerAt == at) {
            m_vms[n].timerAt.reset();
            handle(n, TimerDue{});
        }
    });
}

void FleetReplay::execute(std::size_t vm, FleetActions &actions)
{
    for (FleetAction &action : actions) {
        std::visit(
                Overloaded{[&](const StartOrder &it) { start(vm, it); },
                           [&](const StopOrder &it) { stop(vm, it); },
                           [&](const PollOrder &it) { poll(vm, it); },
                           [&](const AnswerJob &it) {
                               Outcome &outcome = m_outcomes[it.request.value() - 1];
                               outcome.isCompleted = std::holds_alternative<JobCompleted>(it.end);
                               outcome.isBrokenOff = std::holds_alternative<JobBrokenOff>(it.end);
                           },
                           [&](const SendToVm &it) { sendToVm(vm, it); },
                           [&](const SendHeartbeat &it) { sendHeartbeat(vm, it.vms); },
                           [&](const WriteKeepers &it) { writeKeepers(vm, it); },
                           [&](const ProbeUpstream &it) {
                               post(vm, UpstreamProbed{it.zone, true}, 2ms);
                           },
                           [](const ResetPeerConnections &) {}, [](const ReleaseConnections &) {},
                           [](const FleetLogRecord &) {}},
                action);
    }
}

void FleetReplay::sendToVm(std::size_t from, const SendToVm &message)
{
    const std::size_t to = m_vmById.at(message.vm);
    const VmId &sender = m_vms[from].id;
    const Duration delay = delayBetween(m_vms[from].zone, m_vms[to].zone);
    m_result.messages += 1;
    std::visit(Overloaded{[&](const TaskOffer &it) {
                              m_result.offers += 1;
                              post(to, OfferReceived{sender, it}, delay);
                          },
                          [&](const QueuedTaskOffer &it) {
                              m_result.offers += 1;
                              post(to, OfferReceived{sender, it.offer, it.startWithin}, delay);
                          },
                          [&](const TasksReturned &it) {
                              m_result.offersInVain += 1;
                              post(to, OfferedTasksReturned{sender, it}, delay);
                          },
                          [&](const TaskOfferEnded &it) {
                              m_result.offersInVain += it.result == OfferResult::NotRun ? 1 : 0;
                              post(to, OfferEnded{sender, it}, delay);
                          },
                          [&](const TaskOfferWithdrawn &it) {
                              post(to, OfferWithdrawn{sender, it}, delay);
                          },
                          [&](const EvacuationState &it) {
                              post(to, EvacuationStateReceived{sender, it}, delay);
                          },
                          [&](const ColdUpstreams &it) {
                              post(to, ColdUpstreamsReceived{sender, it}, delay);
                          },
                          [&](const UpstreamSuspicion &it) {
                              post(to, SuspicionReceived{sender, it}, delay);
                          }},
               message.message);
}

bool FleetReplay::isHanging(const Upstream &upstream) const
{
    return upstream.hangs && m_now >= m_start + 8s && m_now < m_start + 14s;
}

void FleetReplay::start(std::size_t vm, const StartOrder &order)
{
    schedule(500us, [this, vm, order] {
        const std::size_t index = m_upstreamById.at(order.upstream);
        Upstream &upstream = m_upstreams[index];
        if (order.token < upstream.token) {
            return post(vm,
                        StartOrderCompleted{order.upstream, order.name, order.number,
                                            OrderResult::Fenced,
                                            UpstreamTime{m_now.time_since_epoch()}},
                        500us);
        }
        upstream.token = order.token;
        upstream.runs.push_back({order.name, order.number});
        const std::size_t job = m_jobById.at(order.name.job);
        Outcome &outcome = m_outcomes[job];
        outcome.lastStart = m_now;
        ++outcome.starts;
        outcome.fastStarts += upstream.speed > 1.1 ? 1U : 0U;
        if (!isHanging(upstream)) {
            schedule(scaledBy(m_jobs[job].tasks.at(order.name.task), 1 / upstream.speed),
                     [this, index, order] {
                         endRun(index, order.name, order.number, RunEndKind::Done);
                     });
        }
        post(vm,
             StartOrderCompleted{order.upstream, order.name, order.number, OrderResult::Done,
                                 UpstreamTime{m_now.time_since_epoch()}},
             500us);
    });
}

void FleetReplay::stop(std::size_t vm, const StopOrder &order)
{
    schedule(500us, [this, vm, order] {
        const std::size_t index = m_upstreamById.at(order.upstream);
        if (order.token < m_upstreams[index].token) {
            return post(vm,
                        StopOrderCompleted{order.upstream, order.name, order.number,
                                           OrderResult::Fenced},
                        500us);
        }
        m_upstreams[index].token = order.token;
        schedule(10ms, [this, index, order] {
            endRun(index, order.name, order.number, RunEndKind::Stopped);
        });
        post(vm, StopOrderCompleted{order.upstream, order.name, order.number, OrderResult::Done},
             500us);
    });
}

void FleetReplay::poll(std::size_t vm, const PollOrder &order)
{
    schedule(500us, [this, vm, order] {
        const std::size_t index = m_upstreamById.at(order.upstream);
        Upstream &upstream = m_upstreams[index];
        if (order.token < upstream.token) {
            return post(vm, RunReportFailed{order.upstream, order.number, OrderResult::Fenced},
                        500us);
        }
        upstream.token = order.token;
        std::erase_if(upstream.ended,
                      [&](const EndedRun &it) { return it.position <= order.acknowledged; });
        if (upstream.poll) {
            answerPoll(index);
        }
        upstream.poll = Poll{vm, order.number};
        if (!upstream.ended.empty() || order.wait == Duration{}) {
            return answerPoll(index);
        }
        schedule(order.wait, [this, index, vm, number = order.number] {
            const auto &pending = m_upstreams[index].poll;
            if (pending && pending->vm == vm && pending->number == number) {
                answerPoll(index);
            }
        });
    });
}

void FleetReplay::answerPoll(std::size_t index)
{
    Upstream &upstream = m_upstreams[index];
    const Poll pending = *std::exchange(upstream.poll, std::nullopt);
    RunReport report{
            UpstreamTime{m_now.time_since_epoch()}, UpstreamProcessStart{1}, {}, upstream.ended};
    for (const Run &it : upstream.runs) {
        report.active.push_back({it.name, it.number});
    }
    post(pending.vm, RunReportReceived{upstream.entry.id, pending.number, std::move(report)},
         500us);
}

void FleetReplay::endRun(std::size_t index, const RunName &name, RunNumber number, RunEndKind kind)
{
    Upstream &upstream = m_upstreams[index];
    const auto it = std::ranges::find_if(upstream.runs, [&](const Run &run) {
        return run.name == name && run.number == number;
    });
    if (it == upstream.runs.end()) {
        return;
    }
    upstream.runs.erase(it);
    upstream.ended.push_back({EndNumber{upstream.nextEnd++}, name, number, kind});
    if (upstream.poll) {
        answerPoll(index);
    }
}

void FleetReplay::writeKeepers(std::size_t vm, const WriteKeepers &order)
{
    schedule(storeDelay, [this, vm, order] {
        KeeperWriteCompleted written{order.zone, true, {}};
        for (const KeeperRow &it : order.rows) {
            const auto present = m_keeperRows.find(it.upstream);
            if ((present == m_keeperRows.end() ? 0 : present->second.version) != it.version) {
                written.committed = false;
            }
        }
        m_storeVersion += *written.committed ? 1U : 0U;
        for (KeeperRow row : order.rows) {
            if (*written.committed) {
                row.version = m_storeVersion;
                m_keeperRows[row.upstream] = row;
            }
            if (m_keeperRows.contains(row.upstream)) {
                written.rows.push_back(m_keeperRows.at(row.upstream));
            }
        }
        if (*written.committed) {
            const KeepersRead read{written.rows, false, order.zone};
            for (std::size_t n = 0; n < m_vms.size(); ++n) {
                if (n != vm && zoneId(m_vms[n].zone) == order.zone) {
                    post(n, read, storeDelay + 100ms);
                }
            }
        }
        post(vm, std::move(written), storeDelay);
    });
}

void FleetReplay::readStore(std::size_t n)
{
    Vm &vm = m_vms[n];
    MemberRow &row = m_memberRows.at(vm.id);
    row.beat = ++vm.beat;
    MembersRead members;
    members.rows.emplace();
    for (const auto &[id, it] : m_memberRows) {
        members.rows->push_back(it);
    }
    post(n, std::move(members), storeDelay);
    KeepersRead keepers{{}, true};
    for (const auto &[id, it] : m_keeperRows) {
        keepers.rows.push_back(it);
    }
    post(n, std::move(keepers), storeDelay);
    post(n, UpstreamListRead{{}, {}, false, m_now}, storeDelay);
    schedule(700ms, [this, n] { readStore(n); });
}

CapacityReport FleetReplay::reportOf(std::size_t vm) const
{
    CapacityReport report = m_vms[vm].dispatcher->roomReport(m_now);
    if (m_options.peerState == PeerState::None) {
        report.free.clear();
    }
    return report;
}

void FleetReplay::sendHeartbeat(std::size_t n, const std::vector<VmId> &vms)
{
    const Vm &vm = m_vms[n];
    const CapacityReport report = reportOf(n);
    for (const VmId &it : vms) {
        const std::size_t to = m_vmById.at(it);
        m_result.messages += 1;
        post(to,
             PeerCapacityReported{vm.id, zoneId(vm.zone), false, report, std::nullopt,
                                  fleetRevision},
             delayBetween(vm.zone, m_vms[to].zone));
    }
}

void FleetReplay::heartbeat(std::size_t n)
{
    std::vector<VmId> linked;
    for (const std::size_t it : m_vms[n].links) {
        linked.push_back(m_vms[it].id);
    }
    sendHeartbeat(n, linked);
    schedule(heartbeatIntervalFor(linked.size()), [this, n] { heartbeat(n); });
}

void FleetReplay::deliverTrueState(std::size_t n)
{
    Vm &vm = m_vms[n];
    for (const std::size_t it : vm.links) {
        FleetActions actions;
        vm.dispatcher->handle(PeerCapacityReported{m_vms[it].id, zoneId(m_vms[it].zone), false,
                                                   reportOf(it), std::nullopt, fleetRevision},
                              m_now, actions);
        execute(n, actions);
    }
}

Result FleetReplay::result() const
{
    Result result = m_result;
    std::array<std::vector<std::size_t>, queueLoads.size()> byQueue;
    for (std::size_t n = 0; n < m_jobs.size(); ++n) {
        byQueue.at(m_jobs[n].queue).push_back(n);
    }
    for (std::size_t queue = 0; queue < byQueue.size(); ++queue) {
        std::vector<std::size_t> &jobs = byQueue.at(queue);
        std::ranges::sort(jobs, std::greater{}, [&](std::size_t it) { return m_jobs[it].work(); });
        QueueResult &it = result.queues.at(queue);
        for (std::size_t n = 0; n < jobs.size(); ++n) {
            const Outcome &outcome = m_outcomes[jobs[n]];
            const double completed = outcome.isCompleted ? 1 : 0;
            it.jobs += 1;
            it.completed += completed;
            it.brokenOff += outcome.isBrokenOff ? 1 : 0;
            if (n * 10 >= jobs.size()) {
                continue;
            }
            it.largeJobs += 1;
            it.largeCompleted += completed;
            if (outcome.starts > 0) {
                it.largeLastStart +=
                        static_cast<double>((outcome.lastStart - m_jobs[jobs[n]].arrived) / 1ms);
                it.largeOnFast += static_cast<double>(outcome.fastStarts)
                                  / static_cast<double>(outcome.starts);
            }
        }
    }
    return result;
}

} // namespace rattandock::fleet::fleet_replay
